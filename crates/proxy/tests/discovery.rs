//! When a pooler opens its watch again, and how it reads the objects of one.

use pooler_proxy::discovery::backoff::{Backoff, WatchEnd};
use pooler_proxy::discovery::json_stream::{JsonStream, JsonStreamError};
use std::time::Duration;

/// How long discovery lets a call wait before it rejects it.
const REJECTED_AFTER: Duration = Duration::from_secs(2);

/// How many calls a fleet makes in each second after all its watches broke at once, when each call fails
/// after it has waited two seconds.
fn calls(fleet: u32, shared: bool, seconds: usize) -> Vec<usize> {
    let mut calls = vec![0; seconds];
    for seed in 0..u64::from(fleet) {
        let mut backoff = Backoff::new(seed, fleet, shared);
        let mut at = backoff.next_pause(WatchEnd::Lost);
        while let Some(second) = calls.get_mut(at.as_secs() as usize) {
            *second += 1;
            at += REJECTED_AFTER + backoff.next_pause(WatchEnd::Rejected);
        }
    }
    calls
}

#[test]
fn a_fleet_that_shares_one_service_reconnects_spread_out() {
    let calls = calls(100, true, 40);
    assert!(calls.iter().all(|calls| *calls <= 45), "{calls:?}");
    assert!(calls[3..].iter().all(|calls| *calls >= 10), "{calls:?}: no pooler gives up");
}

#[test]
fn a_fleet_whose_calls_were_rejected_reconnects_spread_out() {
    let calls = calls(100, false, 40);
    assert!(calls[2..].iter().all(|calls| *calls <= 45), "{calls:?}");
}

#[test]
fn a_lost_watch_is_reopened_at_once_however_large_the_fleet() {
    // What the agent knows binds after the grace of a drain: half a second here, a quarter at other sites.
    for fleet in [1, 100, 1_000] {
        let mut backoff = Backoff::new(2, fleet, false);
        backoff.next_pause(WatchEnd::Rejected);
        assert!((0..50).all(|_| backoff.next_pause(WatchEnd::Lost) <= Duration::from_millis(80)));
    }
}

#[test]
fn after_any_failure_the_next_call_is_made_within_six_seconds_of_a_change() {
    for (fleet, shared) in [(1, true), (100, false), (1_000, false), (1_000, true)] {
        let mut backoff = Backoff::new(3, fleet, shared);
        let longest = (0..200)
            .map(|at| backoff.next_pause(if at % 2 == 0 { WatchEnd::Rejected } else { WatchEnd::Lost }))
            .max()
            .unwrap();
        assert!(REJECTED_AFTER + longest <= Duration::from_millis(5_100), "{fleet} {shared}: {longest:?}");
    }
}

/// All objects of a stream that comes in pieces of this size.
fn objects(bytes: &[u8], size: usize) -> Result<Vec<String>, JsonStreamError> {
    let (mut stream, mut found) = (JsonStream::default(), Vec::new());
    for piece in bytes.chunks(size) {
        stream.push(piece);
        while let Some(object) = stream.next_object()? {
            found.push(String::from_utf8(object).unwrap().trim().to_owned());
        }
    }
    Ok(found)
}

#[test]
fn lists_are_read_on_one_line_or_indented_and_split_anywhere() {
    let plain = r#"{"generation":1,"instances":[{"instanceId":"a}\"{"}]}"#;
    let indented =
        "{\n  \"generation\": 2,\n  \"instances\": [\n    {\n      \"zone\": \"\\\\\"\n    }\n  ]\n}";
    let stream = format!("\n{plain}\n\r\n{indented}\n\n{plain}{plain}\n");
    for size in [1, 2, 3, 7, 1_000] {
        assert_eq!(objects(stream.as_bytes(), size).unwrap(), [plain, indented, plain, plain], "{size}");
    }
}

#[test]
fn an_invalid_stream_is_detected_before_much_of_it_is_buffered() {
    assert_eq!(objects(b"\n\nnoise", 2), Err(JsonStreamError::UnexpectedByte(b'n')));
    assert_eq!(objects(b"}", 1), Err(JsonStreamError::UnexpectedByte(b'}')));
    // A truncated list hides no later one: the keep-alive line comes inside it.
    assert_eq!(objects(b"{\"generation\":1,\n\n{\"generation\":2}\n\n", 5), Err(JsonStreamError::Truncated));
    let endless = [&b"{\"instances\":\""[..], &vec![b'x'; 9 * 1024 * 1024]].concat();
    assert_eq!(objects(&endless, 64 * 1024), Err(JsonStreamError::TooLong));
}

#[test]
fn a_call_that_never_left_this_machine_is_retried_at_once() {
    // Nothing reached the shared service: its window is for calls that it has to answer.
    for (fleet, shared) in [(1, true), (1_000, true), (1_000, false)] {
        let mut backoff = Backoff::new(4, fleet, shared);
        assert!((0..50).all(|_| backoff.next_pause(WatchEnd::NotSent) <= Duration::from_millis(80)));
    }
}
