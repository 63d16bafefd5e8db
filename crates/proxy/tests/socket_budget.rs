//! How the descriptors of the process are shared out.

use pooler_proxy::socket_budget::SocketBudget;

/// The least number of descriptors that a configuration may give.
const MIN_SOCKETS: usize = 24;

#[test]
fn a_budget_never_exceeds_the_descriptors_and_leaves_none_of_its_uses_out() {
    for sockets in MIN_SOCKETS..20_000 {
        let SocketBudget { clients, rejected_clients, established_clients, servers } =
            SocketBudget::new(sockets);
        assert!(clients + rejected_clients + servers < sockets, "{sockets}: some are left for the process");
        assert!(established_clients <= clients, "{sockets}: {established_clients} of {clients}");
        assert!([clients, rejected_clients, established_clients, servers].iter().all(|count| *count > 0));
    }
}

#[test]
fn the_budget_of_the_default_limit() {
    let expected =
        SocketBudget { clients: 574, rejected_clients: 41, established_clients: 256, servers: 369 };
    assert_eq!(SocketBudget::new(1_024), expected);
}
