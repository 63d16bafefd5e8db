//! Tests of the distribution of the process's file descriptors.

use pooler_proxy::socket_budget::SocketBudget;

/// The minimum number of descriptors that a configuration may set.
const MIN_DESCRIPTORS: usize = 24;

#[test]
fn a_budget_stays_within_the_descriptors_and_gives_every_use_at_least_one() {
    for descriptors in MIN_DESCRIPTORS..20_000 {
        let SocketBudget { clients, rejected_clients, established_clients, servers } =
            SocketBudget::new(descriptors);
        assert!(
            clients + rejected_clients + servers < descriptors,
            "{descriptors}: some are left for the process"
        );
        assert!(established_clients <= clients, "{descriptors}: {established_clients} of {clients}");
        assert!([clients, rejected_clients, established_clients, servers].iter().all(|count| *count > 0));
    }
}

#[test]
fn the_budget_of_the_default_limit_of_1024_descriptors() {
    let expected =
        SocketBudget { clients: 574, rejected_clients: 41, established_clients: 256, servers: 369 };
    assert_eq!(SocketBudget::new(1_024), expected);
}
