//! The ids of requests in flight, and of those that must not run again.

use pooler_proxy::client::open_request_ids::{OpenRequestIds, ReservationError};
use pooler_routing::{TimeDelta, Timestamp};

/// The number of ids that may be retained.
const MAX_RETAINED: usize = 100_000;

fn at_ms(ms: i64) -> Timestamp {
    Timestamp(0) + TimeDelta::from_millis(ms)
}

#[test]
fn a_retained_id_is_reserved_until_after_its_deadline() {
    let ids = OpenRequestIds::default();
    let reserve = |id, ms| ids.reserve(id, at_ms(ms), true).map(drop);
    let first = ids.reserve("1", at_ms(0), true).unwrap();
    assert_eq!(reserve("1", 0), Err(ReservationError::InUse));
    first.retain_after(at_ms(300));
    drop(first);
    ids.reserve("2", at_ms(0), true).unwrap().retain_after(at_ms(100));
    assert_eq!([reserve("2", 599), reserve("1", 599)], [Err(ReservationError::InUse); 2]);
    assert_eq!([reserve("2", 600), reserve("1", 799)], [Ok(()), Err(ReservationError::InUse)]);
    assert_eq!(reserve("1", 800), Ok(()), "an id that is not retained is free at once");
}

#[test]
fn a_flood_of_ids_is_rejected_rather_than_forgotten() {
    // Guards against retained ids that fill the memory, or that make room for each other and run again.
    let ids = OpenRequestIds::default();
    for number in 0..MAX_RETAINED {
        ids.reserve(&number.to_string(), at_ms(0), true).unwrap().retain_after(at_ms(300));
    }
    let new = |may_be_retained| ids.reserve("new", at_ms(0), may_be_retained).map(drop);
    assert_eq!(new(true), Err(ReservationError::TooManyRetained));
    assert_eq!(new(false), Ok(()), "requests that may run again are not affected");
    assert!(ids.reserve("0", at_ms(0), false).is_err());
    assert!(ids.reserve("0", at_ms(800), true).is_ok());
}
