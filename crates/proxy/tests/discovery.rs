//! Tests of the backoff between discovery watches, and of splitting a watch's stream into JSON objects.

use pooler_proxy::discovery::backoff::{Backoff, WatchEnd};
use pooler_proxy::discovery::json_stream::{JsonStream, JsonStreamError};
use std::time::{Duration, Instant};

/// A change of the endpoint list counts as known after this time.
const CHANGE_APPLIED_WITHIN: Duration = Duration::from_secs(6);
/// The number of objects in one part of a stream: a chunk of the largest size, 4 MiB, can hold twice as
/// many.
const OBJECTS: usize = 1_000_000;
/// How long a call waits at discovery before it is rejected.
const REJECTED_AFTER: Duration = Duration::from_secs(2);

/// The number of calls that a fleet makes in each second after all its watches were lost at the same time, if
/// every call is rejected after 2 s.
fn calls_per_second(fleet_size: u32, shared_service: bool, seconds: usize) -> Vec<usize> {
    let mut calls = vec![0; seconds];
    for seed in 0..u64::from(fleet_size) {
        let mut backoff = Backoff::new(seed, fleet_size, shared_service);
        let mut time = backoff.next_delay(WatchEnd::Lost);
        while let Some(second) = calls.get_mut(time.as_secs() as usize) {
            *second += 1;
            time += REJECTED_AFTER + backoff.next_delay(WatchEnd::Rejected);
        }
    }
    calls
}

#[test]
fn a_fleet_that_shares_one_service_spreads_its_reconnects() {
    let calls = calls_per_second(100, true, 40);
    assert!(calls.iter().all(|calls| *calls <= 45), "{calls:?}");
    assert!(calls[3..].iter().all(|calls| *calls >= 10), "{calls:?}: all poolers keep reconnecting");
}

#[test]
fn a_fleet_whose_calls_are_rejected_spreads_its_reconnects() {
    let calls = calls_per_second(100, false, 40);
    assert!(calls[2..].iter().all(|calls| *calls <= 45), "{calls:?}");
}

#[test]
fn a_watch_lost_at_the_poolers_own_agent_is_reopened_within_80_ms() {
    // A change that the agent knows of takes effect after the drain grace: 500 ms here, 250 ms at other
    // sites.
    for fleet_size in [1, 100, 1_000] {
        let mut backoff = Backoff::new(2, fleet_size, false);
        backoff.next_delay(WatchEnd::Rejected);
        assert!((0..50).all(|_| backoff.next_delay(WatchEnd::Lost) <= Duration::from_millis(80)));
    }
}

#[test]
fn after_any_failure_the_next_call_is_made_within_six_seconds_of_a_change() {
    for (fleet_size, shared_service) in [(1, true), (100, false), (1_000, false), (1_000, true)] {
        let mut backoff = Backoff::new(3, fleet_size, shared_service);
        let longest = (0..200)
            .map(|at| backoff.next_delay(if at % 2 == 0 { WatchEnd::Rejected } else { WatchEnd::Lost }))
            .max()
            .unwrap();
        assert!(
            REJECTED_AFTER + longest <= Duration::from_millis(5_100),
            "{fleet_size} {shared_service}: {longest:?}"
        );
    }
}

/// Splits a stream that arrives in pieces of `piece_size` bytes into its objects.
fn split_objects(bytes: &[u8], piece_size: usize) -> Result<Vec<String>, JsonStreamError> {
    let (mut stream, mut found) = (JsonStream::default(), Vec::new());
    for piece in bytes.chunks(piece_size) {
        stream.push(piece);
        while let Some(object) = stream.next_object()? {
            found.push(String::from_utf8(object.to_vec()).unwrap().trim().to_owned());
        }
    }
    Ok(found)
}

#[test]
fn objects_are_found_regardless_of_line_breaks_and_piece_size() {
    let plain = r#"{"generation":1,"instances":[{"instanceId":"a}\"{"}]}"#;
    let indented =
        "{\n  \"generation\": 2,\n  \"instances\": [\n    {\n      \"zone\": \"\\\\\"\n    }\n  ]\n}";
    let stream = format!("\n{plain}\n\r\n{indented}\n\n{plain}{plain}\n");
    for piece_size in [1, 2, 3, 7, 1_000] {
        assert_eq!(
            split_objects(stream.as_bytes(), piece_size).unwrap(),
            [plain, indented, plain, plain],
            "{piece_size}"
        );
    }
}

#[test]
fn an_invalid_stream_is_rejected_before_much_of_it_is_buffered() {
    assert_eq!(split_objects(b"\n\nnoise", 2), Err(JsonStreamError::UnexpectedByte(b'n')));
    assert_eq!(split_objects(b"}", 1), Err(JsonStreamError::UnexpectedByte(b'}')));
    // A truncated object does not hide a later one: the keep-alive line inside it is detected.
    assert_eq!(
        split_objects(b"{\"generation\":1,\n\n{\"generation\":2}\n\n", 5),
        Err(JsonStreamError::Truncated)
    );
    let endless = [&b"{\"instances\":\""[..], &vec![b'x'; 9 * 1024 * 1024]].concat();
    assert_eq!(split_objects(&endless, 64 * 1024), Err(JsonStreamError::TooLarge));
}

#[test]
fn a_call_that_was_not_sent_is_retried_within_80_ms() {
    // The call put no load on the shared service, so the fleet's window does not apply.
    for (fleet_size, shared_service) in [(1, true), (1_000, true), (1_000, false)] {
        let mut backoff = Backoff::new(4, fleet_size, shared_service);
        assert!((0..50).all(|_| backoff.next_delay(WatchEnd::NotSent) <= Duration::from_millis(80)));
    }
}

#[test]
fn thousands_of_objects_in_one_part_of_a_stream_are_split_in_time() {
    // Guards against a discovery service that packs thousands of lists into one chunk: the bytes after each
    // object were copied anew, so that the watch fell behind.
    let mut stream = JsonStream::default();
    stream.push(&b"{}".repeat(OBJECTS));
    let started = Instant::now();
    for number in 0..OBJECTS {
        assert_eq!(stream.next_object(), Ok(Some(&b"{}"[..])), "object {number}");
    }
    assert_eq!(stream.next_object(), Ok(None));
    assert!(started.elapsed() < CHANGE_APPLIED_WITHIN, "{:?}", started.elapsed());
}
