//! Tests of the schedule of a graceful shutdown over the range of request deadlines.

use pooler_proxy::lifecycle::shutdown::ShutdownSchedule;
use std::time::Duration;

/// How long new connections arrive after SIGTERM.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(400);
/// The time that the last responses need, which includes a possible stall of the process.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(150);

#[test]
fn the_stages_are_in_order_and_leave_time_for_the_last_responses() {
    for ms in (0..5_000).step_by(10) {
        let deadline = Duration::from_millis(ms);
        let ShutdownSchedule { closing_idle, not_accepting, terminating, terminated } =
            ShutdownSchedule::new(deadline);
        assert!(ARRIVAL_PERIOD <= closing_idle, "{ms}: late arrivals are served");
        assert!(
            closing_idle <= not_accepting && not_accepting <= terminating,
            "{ms}: {closing_idle:?} {not_accepting:?} {terminating:?}"
        );
        assert!(
            terminating + LAST_RESPONSES_TIME <= terminated,
            "{ms}: last responses from {terminating:?} to {terminated:?}"
        );
        assert!(terminated <= ShutdownSchedule::earliest_kill(deadline), "{ms}: {terminated:?}");
    }
}
