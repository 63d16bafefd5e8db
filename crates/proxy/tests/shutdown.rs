//! The stages of a planned end, for every deadline that clients may have.

use pooler_proxy::lifecycle::shutdown::Schedule;
use std::time::Duration;

/// New connections keep coming for so long after SIGTERM.
const ARRIVALS: Duration = Duration::from_millis(400);
/// A pooler may be held up for so long, and last answers have to be written.
const HELD_UP: Duration = Duration::from_millis(150);

#[test]
fn the_stages_of_an_end_follow_each_other_and_leave_time_for_the_last_answers() {
    for ms in (0..5_000).step_by(10) {
        let deadline = Duration::from_millis(ms);
        let Schedule { closing, not_accepting, ending, ended } = Schedule::new(deadline);
        assert!(ARRIVALS <= closing, "{ms}: who still comes is served");
        assert!(
            closing <= not_accepting && not_accepting <= ending,
            "{ms}: {closing:?} {not_accepting:?} {ending:?}"
        );
        assert!(ending + HELD_UP <= ended, "{ms}: last answers from {ending:?} to {ended:?}");
        assert!(ended <= Schedule::earliest_kill(deadline), "{ms}: {ended:?}");
    }
}
