use super::{MAX_SESSION_TOKENS, ReplicaFreshness, SessionTokens, TOKENS_LEFT};
use crate::{SessionKey, StaleReadPolicy, TimeDelta, Timestamp};

const NOW: Timestamp = Timestamp(50_000_000);

fn ms(milliseconds: i64) -> TimeDelta {
    TimeDelta::from_millis(milliseconds)
}

fn replica_at(position: Timestamp) -> ReplicaFreshness {
    let mut freshness = ReplicaFreshness::default();
    freshness.observe_response(NOW, position);
    freshness
}

#[test]
fn only_a_known_position_suffices_where_endpoints_serve_stale_reads() {
    let freshness = replica_at(NOW - ms(100));
    let may_serve = |required| freshness.may_serve(NOW, required, StaleReadPolicy::Serve);
    assert!(may_serve(None) && may_serve(Some(NOW - ms(100))));
    assert!(!may_serve(Some(NOW - ms(99))));
}

#[test]
fn an_endpoint_that_rejects_stale_reads_is_eligible_once_it_may_have_caught_up() {
    let mut freshness = replica_at(NOW - ms(100));
    let may_serve = |freshness: &ReplicaFreshness, after| {
        freshness.may_serve(NOW + ms(after), Some(NOW), StaleReadPolicy::Reject)
    };
    assert!(!may_serve(&freshness, 99));
    assert!(may_serve(&freshness, 100));
    freshness.record_rejected_read(NOW + ms(100), NOW);
    assert!(!may_serve(&freshness, 1_099), "the endpoint rejected such a read less than 1 s ago");
    assert!(may_serve(&freshness, 1_100), "the rejection is 1 s old");
}

#[test]
fn a_position_decreases_only_when_the_clock_is_set_back() {
    let mut freshness = replica_at(NOW);
    freshness.observe_report(NOW, NOW - ms(500));
    assert_eq!(freshness.position(), NOW);
    freshness.cap_position(NOW - ms(200));
    assert_eq!(freshness.position(), NOW - ms(200));
}

#[test]
fn a_health_check_is_due_sooner_if_the_replica_may_have_caught_up() {
    let freshness = replica_at(NOW - ms(50));
    let is_due = |required, after| freshness.is_check_due(NOW + ms(after), required, NOW, ms(1_000));
    assert!(!is_due(NOW, 99) && is_due(NOW, 100));
    assert!(!is_due(NOW + ms(10_000), 999) && is_due(NOW + ms(10_000), 1_000));
    assert!(!is_due(NOW - ms(50), 5_000), "the position is known to be applied");
}

#[test]
fn a_session_token_is_the_latest_commit_and_is_kept_until_all_endpoints_have_applied_it() {
    let (mut tokens, session) = (SessionTokens::default(), SessionKey(1));
    tokens.record_commit(session, NOW);
    tokens.record_commit(session, NOW - ms(10));
    assert_eq!(tokens.get(session), Some(NOW));
    tokens.remove_applied(None);
    tokens.remove_applied(Some(NOW - ms(1)));
    assert_eq!(tokens.get(session), Some(NOW));
    tokens.remove_applied(Some(NOW));
    assert_eq!(tokens.get(session), None);
    assert_eq!(tokens.low_watermark(), Some(NOW), "it includes the commit whose token was removed");
}

#[test]
fn a_commit_that_the_low_watermark_includes_does_not_replace_a_later_one_that_was_removed() {
    // Guards against a stale read after the responses to two writes of one session arrive in reverse order,
    // the earlier one after the token was removed.
    let (mut tokens, session) = (SessionTokens::default(), SessionKey(1));
    tokens.record_commit(session, NOW);
    tokens.remove_applied(Some(NOW));
    tokens.record_commit(session, NOW - ms(10));
    assert_eq!((tokens.get(session), tokens.low_watermark()), (None, Some(NOW)));
    tokens.record_commit(session, NOW + ms(10));
    assert_eq!(tokens.get(session), Some(NOW + ms(10)));
}

#[test]
fn the_number_of_tokens_is_bounded_and_every_commit_stays_included() {
    // Guards against memory that grows with the number of sessions while the position of an endpoint is
    // unknown, so that no token can be removed as applied.
    let mut tokens = SessionTokens::default();
    let count = 3 * MAX_SESSION_TOKENS as u64;
    let commit_of = |session: u64| NOW + ms(session as i64);
    for session in 0..count {
        tokens.record_commit(SessionKey(session), commit_of(session));
        assert!(tokens.last_commits.len() <= MAX_SESSION_TOKENS);
    }
    let watermark = tokens.low_watermark().unwrap();
    for session in 0..count {
        let token = tokens.get(SessionKey(session)).unwrap_or(watermark);
        assert!(token >= commit_of(session), "session {session}");
    }
    let latest_sessions = count - TOKENS_LEFT as u64..count;
    assert!(latest_sessions.map(SessionKey).all(|session| tokens.get(session).is_some()));
}

#[test]
fn a_low_watermark_later_than_the_present_is_lowered_when_the_clock_is_set_back() {
    // Guards against reads of all sessions that wait for a position far in the future.
    let mut tokens = SessionTokens::default();
    tokens.record_commit(SessionKey(1), NOW);
    tokens.remove_applied(Some(NOW));
    tokens.cap_low_watermark(NOW - ms(200));
    assert_eq!(tokens.low_watermark(), Some(NOW - ms(200)));
}
