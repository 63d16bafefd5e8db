//! The parsers on anything at all: no panic, and no message before its last byte is there.

use pooler_proxy::{discovery::http, protocol};
use pooler_routing::LoadReportField;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_a_parser_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some(message)) = protocol::parse_frontend_message(&data) {
            prop_assert!(message.size <= data.len() && message.body.len() == message.size - 5);
        }
        let _ = (protocol::parse_startup_message(&data), protocol::parse_query(&data), protocol::parse_error_response(&data));
        let _ = (protocol::parse_parameter_status(&data), protocol::parse_data_row(&data), http::head(&data), http::chunk(&data));
        if let Ok(Some(message)) = protocol::parse_backend_message(&data) {
            let _ = protocol::ResponseParser::default().accept(&message);
        }
        let text = String::from_utf8_lossy(&data);
        let _ = (protocol::classify_statement(&text), protocol::first_quoted_literal(&text), protocol::parse_load_report(&text, &[]));
    }

    #[test]
    fn a_cut_message_is_waited_for(body in prop::collection::vec(any::<u8>(), 0..100), tag: u8, cut in 0.0..1.0) {
        let mut data = vec![tag];
        data.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        data.extend_from_slice(&body);
        let at = (data.len() as f64 * cut) as usize;
        prop_assert_eq!(protocol::parse_frontend_message(&data[..at]), Ok(None));
        prop_assert_eq!(protocol::parse_frontend_message(&data), Ok(Some(protocol::Message { tag, body: &body, size: data.len() })));
    }

    #[test]
    fn queries_are_passed_over_in_pieces_of_any_size(
        sizes in prop::collection::vec(0_usize..300, 1..20),
        piece in 1_usize..70,
        rest in 0_usize..9,
    ) {
        let mut data = Vec::new();
        for size in &sizes {
            protocol::write::query(&mut data, &"x".repeat(*size));
        }
        let mut begun = Vec::new();
        protocol::write::query(&mut begun, "something");
        data.extend_from_slice(&begun[..rest]);
        let mut skipper = protocol::QuerySkipper::default();
        for bytes in data.chunks(piece) {
            prop_assert_eq!(skipper.advance(bytes), Ok(()));
        }
        prop_assert_eq!(skipper.take_queries(), sizes.len());
        prop_assert_eq!((skipper.is_between_messages(), skipper.is_terminated()), (rest == 0, false));
        prop_assert_eq!(skipper.advance(&begun[rest..]), Ok(()));
        prop_assert_eq!((skipper.take_queries(), skipper.is_between_messages()), (1, true));
        prop_assert!(skipper.clone().advance(b"P\0\0\0\x08").is_err(), "not a query");
        prop_assert!(skipper.advance(b"Q\x7f\0\0\0").is_err(), "an impossible length");
    }

    #[test]
    fn an_answer_is_one_value_or_one_error_and_nothing_else(tags in "[TDCESNZ]{1,7}") {
        let column = [&b"\0\x01content\0"[..], &[0; 18]].concat();
        let body = |tag: char| match tag {
            'T' => column.clone(),
            'D' => b"\0\x01\0\0\0\x02ab".to_vec(),
            'C' => b"SELECT 1\0".to_vec(),
            'E' => b"SERROR\0C53300\0\0".to_vec(),
            'S' => b"part\0replica\0".to_vec(),
            'N' => b"\0".to_vec(),
            _ => b"I".to_vec(),
        };
        let mut answer = protocol::ResponseParser::default();
        let mut passed = 0;
        let ended = tags.chars().map(|tag| {
            let body = body(tag);
            let part = answer.accept(&protocol::Message { tag: tag as u8, body: &body, size: 5 + body.len() });
            passed += usize::from(matches!(part, Ok(protocol::ResponsePart::Forward { .. })));
            part
        });
        // Up to what spoils or ends it.
        let ended = ended.take_while(Result::is_ok).map(Result::unwrap).find(|part| *part == protocol::ResponsePart::Ready);
        let own: String = tags.chars().filter(|tag| !"SN".contains(*tag)).collect();
        let good = own.starts_with("TDCZ") || own.starts_with("EZ");
        prop_assert_eq!(ended.is_some(), good, "{}", tags);
        if good {
            prop_assert_eq!((passed, answer.error_code().is_none()), if own.starts_with('T') { (3, true) } else { (0, false) });
        }
    }

    #[test]
    fn a_load_report_that_can_not_be_is_none(gauges in "(x0=(1767225600.5|inf|1e99|-1|)|x1=(0|1|2|nan)|x2=1|noise){1}(,(x1=(0|1|7)|x0=5))?") {
        let fields = [("x0".to_owned(), LoadReportField::Position), ("x1".to_owned(), LoadReportField::Primary)];
        let good = ["x0=1767225600.5,x1=0", "x0=1767225600.5,x1=1", "x1=0,x0=5", "x1=1,x0=5"];
        prop_assert_eq!(protocol::parse_load_report(&gauges, &fields).is_some(), good.contains(&gauges.as_str()), "{}", gauges);
    }

    #[test]
    fn a_request_comment_gives_the_place_of_its_wait(wait in 0_u32..100_000, key in "[a-z'é/*]{0,12}") {
        let key = key.replace('\'', "''");
        let statement = format!("SELECT content FROM kv WHERE name = '{key}' /* id=9b, c=menu,d={wait}, cluster=2 */");
        let Ok(protocol::StatementKind::Request(comment)) = protocol::classify_statement(&statement) else { panic!("{statement}") };
        prop_assert_eq!(&statement[comment.timeout_digits.clone()], wait.to_string());
        prop_assert_eq!((comment.class, comment.group, comment.last_write_ms), ("menu", 2, None));
        prop_assert_eq!(protocol::first_quoted_literal(&statement), Some(key.as_str()));
    }
}

#[test]
fn a_comment_that_says_a_thing_twice_is_no_request() {
    // A server may read the first of two waits, and only one is rewritten to what the client has left.
    let one = "SELECT 1 /* id=a1,c=any,d=480,cluster=2 */";
    assert!(matches!(protocol::classify_statement(one), Ok(protocol::StatementKind::Request(_))));
    for twice in ["id=a2", "c=other", "d=100", "cluster=3"] {
        let statement = format!("SELECT 1 /* id=a1,c=any,d=480,cluster=2,{twice} */");
        assert!(protocol::classify_statement(&statement).is_err(), "{twice}");
    }
    let unreadable = "SELECT 1 /* id=a1,c=any,d=480,cluster=2,after=soon */";
    assert!(
        protocol::classify_statement(unreadable).is_err(),
        "a session's last write that can't be read is not none"
    );
}
