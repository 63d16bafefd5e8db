//! When a pooler asks for its watch again, and how it reads what comes on one.

use pooler_proxy::discovery::watch::{CallEnd, Objects, ObjectsError, Pauses};
use std::time::Duration;

/// How long discovery lets a call wait before it refuses it.
const REFUSED_AFTER: Duration = Duration::from_secs(2);

/// How many calls a fleet makes in each second after all its watches broke at once, when each call fails after it
/// has waited two seconds.
fn calls(fleet: u32, shared: bool, seconds: usize) -> Vec<usize> {
    let mut calls = vec![0; seconds];
    for seed in 0..u64::from(fleet) {
        let mut pauses = Pauses::new(seed, fleet, shared);
        let mut at = pauses.next_pause(CallEnd::Broken);
        while let Some(second) = calls.get_mut(at.as_secs() as usize) {
            *second += 1;
            at += REFUSED_AFTER + pauses.next_pause(CallEnd::Refused);
        }
    }
    calls
}

#[test]
fn a_fleet_that_shares_one_service_comes_back_spread_out() {
    let calls = calls(100, true, 40);
    assert!(calls.iter().all(|calls| *calls <= 45), "{calls:?}");
    assert!(calls[3..].iter().all(|calls| *calls >= 10), "{calls:?}: nobody gives up");
}

#[test]
fn a_fleet_that_was_refused_spreads_out_as_well() {
    let calls = calls(100, false, 40);
    assert!(calls[2..].iter().all(|calls| *calls <= 45), "{calls:?}");
}

#[test]
fn a_broken_watch_is_asked_for_again_at_once_however_large_the_fleet() {
    // What the agent has binds after the grace of a drain: half a second here, a quarter at other sites.
    for fleet in [1, 100, 1_000] {
        let mut one = Pauses::new(2, fleet, false);
        one.next_pause(CallEnd::Refused);
        assert!((0..50).all(|_| one.next_pause(CallEnd::Broken) <= Duration::from_millis(80)));
    }
}

#[test]
fn whatever_call_failed_the_next_comes_within_six_seconds_of_a_change() {
    for (fleet, shared) in [(1, true), (100, false), (1_000, false), (1_000, true)] {
        let mut one = Pauses::new(3, fleet, shared);
        let longest = (0..200)
            .map(|at| one.next_pause(if at % 2 == 0 { CallEnd::Refused } else { CallEnd::Broken }))
            .max()
            .unwrap();
        assert!(REFUSED_AFTER + longest <= Duration::from_millis(5_100), "{fleet} {shared}: {longest:?}");
    }
}

/// All objects of a stream that comes in pieces of this size.
fn objects(stream: &[u8], size: usize) -> Result<Vec<String>, ObjectsError> {
    let (mut objects, mut found) = (Objects::default(), Vec::new());
    for piece in stream.chunks(size) {
        objects.push(piece);
        while let Some(object) = objects.take()? {
            found.push(String::from_utf8(object).unwrap().trim().to_owned());
        }
    }
    Ok(found)
}

#[test]
fn lists_are_read_on_one_line_or_indented_and_cut_anywhere() {
    let plain = r#"{"generation":1,"instances":[{"instanceId":"a}\"{"}]}"#;
    let indented =
        "{\n  \"generation\": 2,\n  \"instances\": [\n    {\n      \"zone\": \"\\\\\"\n    }\n  ]\n}";
    let stream = format!("\n{plain}\n\r\n{indented}\n\n{plain}{plain}\n");
    for size in [1, 2, 3, 7, 1_000] {
        assert_eq!(objects(stream.as_bytes(), size).unwrap(), [plain, indented, plain, plain], "{size}");
    }
}

#[test]
fn what_is_no_stream_of_lists_is_told_before_much_of_it_is_held() {
    assert_eq!(objects(b"\n\nnoise", 2), Err(ObjectsError::Between(b'n')));
    assert_eq!(objects(b"}", 1), Err(ObjectsError::Between(b'}')));
    // A torn list swallows no later one: the empty line that tells of life comes inside it.
    assert_eq!(objects(b"{\"generation\":1,\n\n{\"generation\":2}\n\n", 5), Err(ObjectsError::Torn));
    let endless = [&b"{\"instances\":\""[..], &vec![b'x'; 9 * 1024 * 1024]].concat();
    assert_eq!(objects(&endless, 64 * 1024), Err(ObjectsError::Endless));
}

#[test]
fn a_call_that_never_left_this_machine_is_made_again_at_once() {
    // Nothing reached the shared service: its window is for calls that it has to answer.
    for (fleet, shared) in [(1, true), (1_000, true), (1_000, false)] {
        let mut one = Pauses::new(4, fleet, shared);
        assert!((0..50).all(|_| one.next_pause(CallEnd::NotMade) <= Duration::from_millis(80)));
    }
}
