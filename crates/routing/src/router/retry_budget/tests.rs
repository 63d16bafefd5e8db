use super::{HealthCheckBudget, RetryBudget};

#[test]
fn ten_requests_add_one_retry_to_the_budget() {
    let mut budget = RetryBudget::default();
    budget.withdraw();
    assert!(!budget.has_token());
    (0..11).for_each(|_| budget.deposit());
    assert!(budget.has_token());
    budget.withdraw();
    assert!(!budget.has_token());
}

#[test]
fn the_retry_budget_is_bounded_and_never_in_debt() {
    let mut budget = RetryBudget::default();
    (0..1_000).for_each(|_| budget.deposit());
    let retries = (0..100).take_while(|_| {
        let has_token = budget.has_token();
        budget.withdraw();
        has_token
    });
    assert_eq!(retries.count(), 10);
    (0..11).for_each(|_| budget.deposit());
    assert!(budget.has_token(), "withdrawals without a token left no debt");
}

#[test]
fn the_budget_of_expensive_health_checks_grows_slowly() {
    let mut budget = HealthCheckBudget::default();
    assert!(budget.is_ample());
    budget.withdraw(budget.available());
    assert_eq!(budget.available(), 0);
    (0..9).for_each(|_| budget.deposit(0.2));
    assert_eq!(budget.available(), 0);
    (0..2).for_each(|_| budget.deposit(0.2));
    assert_eq!(budget.available(), 1);
    budget.deposit(0.0);
    assert_eq!(budget.available(), 10, "health checks without cost are not limited by the deposits");
}
