//! The retry budget: limits retries and hedges to a fraction of the requests, so that failures
//! at every server multiply the load by no more than a known factor.

/// A token bucket for retries and hedges that may have caused work at a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    credits_per_request: f64,
    max_balance: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget. Each request adds `credits_per_request`, up to a balance of
    /// `max_balance`: over any period with n requests, the budget allows at most
    /// `credits_per_request * n + max_balance` retries and hedges at a cost of 1.
    #[must_use]
    pub fn new(credits_per_request: f64, max_balance: f64) -> Self {
        RetryBudget { credits_per_request, max_balance, balance: max_balance }
    }

    /// Adds the credits of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.credits_per_request).min(self.max_balance);
    }

    /// Returns whether the balance covers `cost`.
    #[must_use]
    pub fn can_withdraw(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Deducts `cost` if the balance covers it; returns whether the cost was deducted.
    pub fn try_withdraw(&mut self, cost: f64) -> bool {
        let is_covered = self.can_withdraw(cost);
        self.balance -= if is_covered { cost } else { 0.0 };
        is_covered
    }
}
