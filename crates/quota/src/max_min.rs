//! Weighted max-min fair allocation in integers, by progressive filling.
//!
//! No member gets more than it demands. Units that a member does not demand are divided among the
//! others by weight, until all demands are satisfied or no units remain (Bertsekas and Gallager,
//! "Data Networks", 6.5.2). Sums are exact: rounding never allocates more than the total.

/// A reduction of a grant by at most one in this many of the grant's units is skipped.
const HYSTERESIS_DIVISOR: u64 = 8;

/// The demand of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Units that the member would use if they were granted.
    pub units: u64,
    /// Member's share relative to other members' weights if not all demands can be satisfied; 0 is
    /// treated as 1.
    pub weight: u32,
}

impl Demand {
    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Indexes of the demands in ascending order of units per weight. Once one demand can't be fully
/// satisfied, none of the following can.
fn by_units_per_weight(demands: &[Demand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|left, right| {
        let (left, right) = (&demands[*left], &demands[*right]);
        let left_scaled = u128::from(left.units) * right.weight();
        left_scaled.cmp(&(u128::from(right.units) * left.weight()))
    });
    order
}

/// Divides `total` among demands; returns the share of each demand, in the order of the demands.
/// The sum of the shares is the lesser of `total` and all demands.
pub fn weighted_max_min(total: u64, demands: &[Demand]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let order = by_units_per_weight(demands);
    let mut remaining = u128::from(total);
    let mut weights: u128 = demands.iter().map(Demand::weight).sum();
    let mut satisfied = 0;
    for index in &order {
        let demand = &demands[*index];
        if u128::from(demand.units) * weights > remaining * demand.weight() {
            break;
        }
        shares[*index] = demand.units;
        remaining -= u128::from(demand.units);
        weights -= demand.weight();
        satisfied += 1;
    }
    let mut unsatisfied = order[satisfied..].to_vec();
    unsatisfied.sort_unstable();
    divide_by_weight(remaining, weights, demands, &unsatisfied, &mut shares);
    shares
}

/// Divides `total` by weight among demands that all exceed their share.
fn divide_by_weight(
    total: u128,
    weights: u128,
    demands: &[Demand],
    indexes: &[usize],
    shares: &mut [u64],
) {
    let mut divided = 0;
    let mut weights_so_far = 0;
    for index in indexes {
        let demand = &demands[*index];
        // Computed from cumulative weights, so that rounding remainders carry over to the next
        // share and the sum is exact.
        weights_so_far += demand.weight();
        let divided_so_far = total * weights_so_far / weights.max(1);
        let share = (divided_so_far - divided).min(u128::from(demand.units));
        // Does not saturate: the share is at most the demand, a u64.
        shares[*index] = u64::try_from(share).unwrap_or(u64::MAX);
        divided += share;
    }
}

/// Returns the units of the next grant of a member that has `current` units and a share of
/// `target`. Small reductions are skipped, so that grants do not follow every small change of the
/// demands.
#[must_use]
pub fn with_hysteresis(current: u64, target: u64) -> u64 {
    let is_slightly_less =
        target < current && target > 0 && current - target <= current / HYSTERESIS_DIVISOR;
    if is_slightly_less {
        current
    } else {
        target
    }
}
