use super::{GroupPrimary, RoleEvidence};
use crate::{EndpointId, Role, TimeDelta, Timestamp};
use std::sync::Arc;

const NOW: Timestamp = Timestamp(50_000_000);

fn endpoint(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

#[test]
fn the_latest_evidence_decides_the_role() {
    let mut evidence = RoleEvidence::default();
    assert!(evidence.is_unknown() && evidence.role() == Role::Replica);
    evidence.observe_primary(NOW);
    assert_eq!(evidence.role(), Role::Primary);
    evidence.observe_replica(NOW - TimeDelta(1));
    assert_eq!(evidence.role(), Role::Primary, "older evidence changes nothing");
    evidence.observe_replica_response(NOW + TimeDelta(2));
    assert_eq!(evidence.role(), Role::Replica);
}

#[test]
fn only_evidence_against_the_believed_primary_replaces_it() {
    let mut primary = GroupPrimary::default();
    primary.believe(endpoint("a"));
    primary.disprove(&endpoint("b"), Some(endpoint("c")));
    assert_eq!(primary.believed(), Some(&endpoint("a")));
    primary.disprove(&endpoint("a"), None);
    assert_eq!(primary.believed(), Some(&endpoint("a")), "there is no other endpoint to believe");
    primary.disprove(&endpoint("a"), Some(endpoint("b")));
    assert_eq!(primary.believed(), Some(&endpoint("b")));
}

#[test]
fn an_endpoint_that_left_the_group_is_no_longer_its_believed_primary() {
    let mut primary = GroupPrimary::default();
    primary.believe(endpoint("a"));
    primary.remove_endpoint(&endpoint("b"));
    assert_eq!(primary.believed(), Some(&endpoint("a")));
    primary.remove_endpoint(&endpoint("a"));
    assert_eq!(primary.believed(), None);
}
