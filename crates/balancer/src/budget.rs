//! The retry budget: retries and hedges limited to a fraction of the requests, so that
//! failures at every server multiply the work by no more than a known factor.

/// Credits for attempts beyond the first that the servers may have worked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    credits_per_request: f64,
    max_credit: f64,
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget. Each request adds `credits_per_request`, of which `max_credit`
    /// can be saved up: over any period with n requests at most
    /// `credits_per_request * n + max_credit` further attempts are covered.
    #[must_use]
    pub fn new(credits_per_request: f64, max_credit: f64) -> Self {
        RetryBudget { credits_per_request, max_credit, credit: max_credit }
    }

    /// Adds the credit of one request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.credits_per_request).min(self.max_credit);
    }

    /// Whether the credit covers a price.
    #[must_use]
    pub fn covers(&self, price: f64) -> bool {
        self.credit >= price
    }

    /// Pays a price if the credit covers it, and returns whether it did.
    pub fn pay(&mut self, price: f64) -> bool {
        let is_covered = self.covers(price);
        self.credit -= if is_covered { price } else { 0.0 };
        is_covered
    }
}
