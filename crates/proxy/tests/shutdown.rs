//! The stages of a graceful shutdown, for every deadline that clients may have.

use pooler_proxy::lifecycle::shutdown::Schedule;
use std::time::Duration;

/// New connections keep coming for so long after SIGTERM.
const ARRIVALS: Duration = Duration::from_millis(400);
/// The process may be held up for so long, and the last responses have to be written.
const PROCESS_STALL: Duration = Duration::from_millis(150);

#[test]
fn the_stages_of_a_shutdown_follow_each_other_and_leave_time_for_the_last_responses() {
    for ms in (0..5_000).step_by(10) {
        let deadline = Duration::from_millis(ms);
        let Schedule { closing_idle, not_accepting, terminating, terminated } = Schedule::new(deadline);
        assert!(ARRIVALS <= closing_idle, "{ms}: late arrivals are served");
        assert!(
            closing_idle <= not_accepting && not_accepting <= terminating,
            "{ms}: {closing_idle:?} {not_accepting:?} {terminating:?}"
        );
        assert!(
            terminating + PROCESS_STALL <= terminated,
            "{ms}: last responses from {terminating:?} to {terminated:?}"
        );
        assert!(terminated <= Schedule::earliest_kill(deadline), "{ms}: {terminated:?}");
    }
}
