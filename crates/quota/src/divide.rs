//! Division by need: weighted max-min fairness in whole numbers.
//!
//! Nobody gets more than it needs, and what one does not need is divided among the others by
//! weight, until all have enough or nothing is left (Bertsekas and Gallager, "Data Networks",
//! 6.5.2, progressive filling). Sums are exact: no rounding gives out a unit more than there is.

/// What one member asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// So much would be used.
    pub need: u64,
    /// Its part of what is short; 0 counts as 1.
    pub weight: u32,
}

/// Divides `total` among claims, in their order: as many parts, in sum the lesser of `total` and
/// all needs.
pub fn divide(total: u64, claims: &[Claim]) -> Vec<u64> {
    let weight = |claim: &Claim| u128::from(claim.weight.max(1));
    let mut parts = vec![0; claims.len()];
    // Those that need the least for their weight are filled first: once one of them can't be,
    // none behind it can.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        (u128::from(a.need) * weight(b)).cmp(&(u128::from(b.need) * weight(a)))
    });
    let mut left = u128::from(total);
    let mut weights: u128 = claims.iter().map(weight).sum();
    let mut filled = 0;
    for (place, member) in order.iter().enumerate() {
        let claim = &claims[*member];
        let (need, own) = (u128::from(claim.need), weight(claim));
        if need * weights > left * own {
            break;
        }
        parts[*member] = claim.need;
        left -= need;
        weights -= own;
        filled = place + 1;
    }
    // The others share what is left by weight alone; each one's part is under its need.
    let short = &order[filled..];
    let (mut given, mut seen) = (0, 0);
    let mut in_order = short.to_vec();
    in_order.sort_unstable();
    for member in in_order {
        // Cumulative, so that what rounding takes from one goes to the next.
        seen += weight(&claims[member]);
        let upto = left * seen / weights.max(1);
        let part = (upto - given).min(u128::from(claims[member].need));
        parts[member] = part as u64;
        given += part;
    }
    parts
}

/// What a member that has `had` is to be promised next, where its part is `target`: a little less
/// is not worth taking, it would only be carried to and fro with every count of needs.
pub fn settle(had: u64, target: u64) -> u64 {
    const PART: u64 = 8;
    if target < had && target > 0 && had - target <= had / PART {
        had
    } else {
        target
    }
}
