//! The decisions through all orders of a change of primary, within bounds that a test can afford.

use pooler_testbed::model::{Bounds, Violation, check};

const SMALL: Bounds =
    Bounds { routers: 1, writes: 1, losses: 1, crashes: 1, drains: true, wrong_reset: false };

#[test]
fn the_rules_hold_in_all_orders_of_a_change_of_primary() {
    let result = check(SMALL, 2);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(result.write_survives && result.states > 1_000, "{} states", result.states);
}

#[test]
fn a_retry_after_a_reset_is_found_as_a_violation() {
    let result = check(Bounds { wrong_reset: true, ..SMALL }, 2);
    let (violation, transitions) = result.violation.expect("it runs twice somewhere");
    assert_eq!(violation, Violation::RanTwice, "{transitions:?}");
}
