//! Reads a record of acts and says whether two holders ever acted at once. It knows nothing of
//! leases, voters or spans.

/// One act as it was done, in true time.
#[derive(Debug, Clone)]
pub struct Act {
    pub who: usize,
    pub token: u64,
    pub start: u64,
    pub end: u64,
    /// The process was stopped or killed between its check and the act's end: here the token's
    /// check at the other end must hold, not the clock.
    pub disturbed: bool,
}

/// A token shown to the resource, and whether it let it pass.
#[derive(Debug, Clone, Copy)]
pub struct Shown {
    pub at: u64,
    pub token: u64,
    pub passed: bool,
}

/// The first breach found.
pub fn breach(acts: &[Act], shown: &[Shown]) -> Option<String> {
    let mut by_start: Vec<&Act> = acts.iter().filter(|act| !act.disturbed).collect();
    by_start.sort_by_key(|act| act.start);
    let mut latest: Option<&Act> = None;
    for act in by_start {
        if let Some(before) = latest {
            if act.start < before.end && act.who != before.who {
                return Some(format!("two acted at once: {before:?} and {act:?}"));
            }
        }
        latest = match latest {
            Some(before) if before.end > act.end => Some(before),
            _ => Some(act),
        };
    }
    let mut highest = 0;
    for show in shown.iter().filter(|show| show.passed) {
        if show.token < highest {
            return Some(format!("{show:?} passed after {highest}"));
        }
        highest = show.token;
    }
    // One token is one holder's.
    let mut of = std::collections::BTreeMap::new();
    for act in acts {
        if *of.entry(act.token).or_insert(act.who) != act.who {
            return Some(format!("token {} at two holders: {act:?}", act.token));
        }
    }
    None
}

/// How often the lease went from one to another, as acts show.
pub fn handovers(acts: &[Act]) -> usize {
    let mut by_start: Vec<&Act> = acts.iter().collect();
    by_start.sort_by_key(|act| (act.token, act.start));
    by_start.windows(2).filter(|pair| pair[0].who != pair[1].who).count()
}
