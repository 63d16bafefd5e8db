//! The parsers on arbitrary input: no parser panics, and none returns a message before its last byte has
//! arrived.

use pooler_proxy::discovery::http::{self, ChunkedBody, ChunkedPart, HttpError};
use pooler_proxy::protocol::{
    self, Message, QuerySkipper, ResponseParser, ResponsePart, StatementKind, classify_statement,
    first_quoted_literal, parse_load_report, write,
};
use pooler_routing::{GroupId, LoadReportField, TimeDelta};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Parses a chunked body that arrives in pieces. Returns its content, and whether it has ended.
fn chunked_content(body: &[u8], piece_size: usize) -> Result<(Vec<u8>, bool), HttpError> {
    let (mut parser, mut data, mut content) = (ChunkedBody::default(), Vec::new(), Vec::new());
    for piece in body.chunks(piece_size) {
        data.extend_from_slice(piece);
        loop {
            match parser.next_part(&data)? {
                ChunkedPart::Content(range) => {
                    assert!(range.end > 0, "a part without bytes would be returned for ever");
                    content.extend_from_slice(&data[range.clone()]);
                    data.drain(..range.end);
                }
                ChunkedPart::Incomplete => break,
                ChunkedPart::End => return Ok((content, true)),
            }
        }
    }
    Ok((content, false))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_parser_panics_on_arbitrary_input(data in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some(message)) = protocol::parse_frontend_message(&data) {
            prop_assert!(message.size <= data.len());
            prop_assert_eq!(message.body.len(), message.size - protocol::HEADER_SIZE);
        }
        let _ = protocol::parse_startup_message(&data);
        let _ = protocol::parse_query(&data);
        let _ = protocol::parse_error_response(&data);
        let _ = protocol::parse_parameter_status(&data);
        let _ = protocol::parse_data_row(&data);
        let _ = http::parse_head(&data);
        let _ = chunked_content(&data, data.len().max(1));
        if let Ok(Some(message)) = protocol::parse_backend_message(&data) {
            let _ = ResponseParser::default().accept(&message);
        }
        let text = String::from_utf8_lossy(&data);
        let _ = classify_statement(&text);
        let _ = first_quoted_literal(&text);
        let _ = parse_load_report(&text, &[]);
    }

    #[test]
    fn a_chunked_body_is_parsed_in_pieces_of_any_size(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..60), 0..8),
        noise in prop::collection::vec(any::<u8>(), 0..20),
        piece_size in 1_usize..70,
    ) {
        // Guards against content that is lost, or read twice, where a chunk arrives in parts.
        let mut body = Vec::new();
        for chunk in &chunks {
            body.extend_from_slice(format!("{:x};x=1\r\n", chunk.len()).as_bytes());
            body.extend_from_slice(chunk);
            body.extend_from_slice(b"\r\n");
        }
        let incomplete = body.len();
        body.extend_from_slice(b"0\r\n\r\n");
        prop_assert_eq!(chunked_content(&body, piece_size), Ok((chunks.concat(), true)));
        prop_assert_eq!(chunked_content(&body[..incomplete], piece_size), Ok((chunks.concat(), false)));
        // Whatever follows a part of it, the parser neither panics nor stays where it is.
        let _ = chunked_content(&[&body[..incomplete / 2], &noise].concat(), piece_size);
    }

    #[test]
    fn an_incomplete_message_is_not_parsed(
        body in prop::collection::vec(any::<u8>(), 0..100),
        tag: u8,
        part in 0.0..1.0,
    ) {
        let mut data = vec![tag];
        data.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        data.extend_from_slice(&body);
        let arrived = (data.len() as f64 * part) as usize;
        prop_assert_eq!(protocol::parse_frontend_message(&data[..arrived]), Ok(None));
        let message = Message { tag, body: &body, size: data.len() };
        prop_assert_eq!(protocol::parse_frontend_message(&data), Ok(Some(message)));
    }

    #[test]
    fn queries_are_skipped_in_pieces_of_any_size(
        sizes in prop::collection::vec(0_usize..300, 1..20),
        piece_size in 1_usize..70,
        started in 0_usize..9,
    ) {
        let mut data = Vec::new();
        for size in &sizes {
            write::query(&mut data, &"x".repeat(*size));
        }
        let mut last_query = Vec::new();
        write::query(&mut last_query, "something");
        data.extend_from_slice(&last_query[..started]);
        let mut skipper = QuerySkipper::default();
        for piece in data.chunks(piece_size) {
            prop_assert_eq!(skipper.advance(piece), Ok(()));
        }
        prop_assert_eq!(skipper.take_query_count(), sizes.len());
        prop_assert_eq!((skipper.is_between_messages(), skipper.is_terminated()), (started == 0, false));
        prop_assert_eq!(skipper.advance(&last_query[started..]), Ok(()));
        prop_assert_eq!((skipper.take_query_count(), skipper.is_between_messages()), (1, true));
        prop_assert!(skipper.clone().advance(b"P\0\0\0\x08").is_err(), "not a query");
        prop_assert!(skipper.advance(b"Q\x7f\0\0\0").is_err(), "invalid length");
    }

    #[test]
    fn only_a_single_value_or_a_single_error_is_a_response(tags in "[TDCESNZ]{1,7}") {
        let row_description = [&b"\0\x01content\0"[..], &[0; 18]].concat();
        let body = |tag: char| match tag {
            'T' => row_description.clone(),
            'D' => b"\0\x01\0\0\0\x02ab".to_vec(),
            'C' => b"SELECT 1\0".to_vec(),
            'E' => b"SERROR\0C53300\0\0".to_vec(),
            'S' => b"part\0replica\0".to_vec(),
            'N' => b"\0".to_vec(),
            _ => b"I".to_vec(),
        };
        let mut parser = ResponseParser::default();
        let mut forwarded = 0;
        let parts = tags.chars().map(|tag| {
            let body = body(tag);
            let part = parser.accept(&Message { tag: tag as u8, body: &body, size: 5 + body.len() });
            forwarded += usize::from(matches!(part, Ok(ResponsePart::Forward { .. })));
            part
        });
        // Parses up to the first error or the end of the response.
        let end = parts.take_while(Result::is_ok).map(Result::unwrap).find(|part| *part == ResponsePart::Ready);
        let without_notices: String = tags.chars().filter(|tag| !"SN".contains(*tag)).collect();
        let is_value = without_notices.starts_with("TDCZ");
        let is_error = without_notices.starts_with("EZ");
        prop_assert_eq!(end.is_some(), is_value || is_error, "{}", tags);
        if end.is_some() {
            let expected = if is_value { (3, true) } else { (0, false) };
            prop_assert_eq!((forwarded, parser.error_code().is_none()), expected);
        }
    }

    #[test]
    fn an_invalid_load_report_is_ignored(report in "(x0=(1767225600.5|inf|1e99|-1|)|x1=(0|1|2|nan)|x2=1|noise){1}(,(x1=(0|1|7)|x0=5))?") {
        let fields = [("x0".to_owned(), LoadReportField::Position), ("x1".to_owned(), LoadReportField::Primary)];
        let valid_reports = ["x0=1767225600.5,x1=0", "x0=1767225600.5,x1=1", "x1=0,x0=5", "x1=1,x0=5"];
        let is_valid = valid_reports.contains(&report.as_str());
        prop_assert_eq!(parse_load_report(&report, &fields).is_some(), is_valid, "{}", report);
    }

    #[test]
    fn the_byte_range_of_a_timeout_is_reported(timeout in 0_u32..100_000, key in "[a-z'é/*]{0,12}") {
        let key = key.replace('\'', "''");
        let statement = format!("SELECT content FROM kv WHERE name = '{key}' /* id=9b, c=menu,d={timeout}, cluster=2 */");
        let Ok(StatementKind::Request(comment)) = classify_statement(&statement) else { panic!("{statement}") };
        prop_assert_eq!(&statement[comment.timeout_digits.clone()], timeout.to_string());
        prop_assert_eq!(comment.timeout, TimeDelta::from_millis(timeout.into()));
        prop_assert_eq!((comment.class, comment.group, comment.last_write), ("menu", GroupId(2), None));
        prop_assert_eq!(first_quoted_literal(&statement), Some(key.as_str()));
    }
}

#[test]
fn a_request_comment_with_a_repeated_or_malformed_value_is_rejected() {
    // A server may use the first of two timeouts, and only one is rewritten to the client's remaining time.
    let valid = "SELECT 1 /* id=a1,c=any,d=480,cluster=2 */";
    assert!(matches!(classify_statement(valid), Ok(StatementKind::Request(_))));
    for repeated in ["id=a2", "c=other", "d=100", "cluster=3"] {
        let statement = format!("SELECT 1 /* id=a1,c=any,d=480,cluster=2,{repeated} */");
        assert!(classify_statement(&statement).is_err(), "{repeated}");
    }
    let malformed = "SELECT 1 /* id=a1,c=any,d=480,cluster=2,after=soon */";
    assert!(classify_statement(malformed).is_err(), "a malformed last write must not count as a missing one");
}

#[test]
fn a_comment_is_searched_for_and_read_only_up_to_its_limit() {
    // Guards against commands of the largest size whose tens of thousands of fields take a millisecond each.
    let request =
        |fields: usize| format!("SELECT 1 /* id=1,c=bundle-menu,d=100,cluster=2{} */", ",a=1".repeat(fields));
    assert!(matches!(classify_statement(&request(1_000)), Ok(StatementKind::Request(_))));
    assert!(classify_statement(&request(1_020)).is_err(), "a comment of over 4 KiB is rejected");
    // A comment behind a large value, and one that begins exactly at the limit.
    let large_value = format!("INSERT '{}' {}", "ab".repeat(64 * 1024), &request(0)[9..]);
    assert!(matches!(classify_statement(&large_value), Ok(StatementKind::Request(_))));
    assert_eq!(classify_statement("SELECT 'é*/"), Ok(StatementKind::Unsupported));
    let multibyte = format!("{}*/", "é".repeat(4 * 1024));
    assert!(classify_statement(&multibyte).is_err(), "the search may begin within a character");
}
