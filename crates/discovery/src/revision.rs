//! Revisions go one way.
//!
//! A list that is older than the one held would undo what was told since: a drain, a removal.
//! It may come from a service that lags behind another, or from an answer that waited
//! somewhere. Only a service that counts anew gives lower numbers for good.

use std::time::Duration;

/// A service that gave a lower number is believed to count anew when complete lists have gone
/// on giving such numbers for so long. One that only lags has caught up by then; longer, and
/// what it has to tell would not be heard in the time that the platform gives (4 s after a
/// move).
pub const PROOF: Duration = Duration::from_millis(1_000);
/// Pace of the calls that ask for that proof.
pub const PROOF_PACE: Duration = Duration::from_millis(350);

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken over.
    Take,
    /// It is left, and a complete list is asked for after [`PROOF_PACE`].
    Doubt,
}

/// The revision of the list held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    held: u64,
    /// Since when complete lists have had lower numbers, and the last such number.
    doubt: Option<(Duration, u64)>,
}

impl Revision {
    /// The number held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// What becomes of an answer of this revision that came `now`; `complete`: it is a complete
    /// list and came whole.
    pub fn judge(&mut self, now: Duration, revision: u64, complete: bool) -> Verdict {
        if revision >= self.held {
            self.doubt = None;
            return Verdict::Take;
        }
        match self.doubt {
            Some((since, last)) if complete && revision >= last => {
                if now.saturating_sub(since) >= PROOF {
                    self.doubt = None;
                    return Verdict::Take;
                }
                self.doubt = Some((since, revision));
            }
            // Lower once more: another service than the one that was to prove itself.
            _ if complete => self.doubt = Some((now, revision)),
            _ => {}
        }
        Verdict::Doubt
    }

    /// Notes that a list of this revision is held now.
    pub fn taken(&mut self, revision: u64) {
        self.held = revision;
    }
}
