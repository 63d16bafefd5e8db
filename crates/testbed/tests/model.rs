//! Model checks of the routing decisions around a change of primary, with bounds small enough for a test.

use pooler_testbed::model::{Bounds, Violation, check};

const SMALL_BOUNDS: Bounds =
    Bounds { routers: 1, writes: 1, losses: 1, crashes: 1, drains: true, treats_reset_as_unsent: false };

#[test]
fn no_rule_is_violated_in_any_order_of_events_around_a_change_of_primary() {
    let result = check(SMALL_BOUNDS, 2);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(result.retried_write_served && result.states > 1_000, "{} states", result.states);
}

#[test]
fn retrying_a_write_after_a_connection_reset_is_found_as_a_violation() {
    let result = check(Bounds { treats_reset_as_unsent: true, ..SMALL_BOUNDS }, 2);
    let (violation, transitions) = result.violation.expect("the check found no violation");
    assert_eq!(violation, Violation::RanTwice, "{transitions:?}");
}
