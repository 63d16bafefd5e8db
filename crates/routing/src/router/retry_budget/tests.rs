use super::{HealthCheckBudget, RetryBudget};

#[test]
fn ten_requests_pay_for_one_retry() {
    let mut budget = RetryBudget::default();
    budget.withdraw();
    assert!(!budget.has_token());
    (0..11).for_each(|_| budget.deposit());
    assert!(budget.has_token());
    budget.withdraw();
    assert!(!budget.has_token());
}

#[test]
fn saved_retries_are_bounded_and_leave_no_debt() {
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
fn expensive_health_checks_are_earned_slowly() {
    let mut budget = HealthCheckBudget::default();
    assert!(budget.is_ample());
    budget.withdraw(budget.available());
    assert_eq!(budget.available(), 0);
    (0..9).for_each(|_| budget.deposit(0.2));
    assert_eq!(budget.available(), 0);
    (0..2).for_each(|_| budget.deposit(0.2));
    assert_eq!(budget.available(), 1);
    budget.deposit(0.0);
    assert_eq!(budget.available(), 10, "free ones are not limited by it");
}
