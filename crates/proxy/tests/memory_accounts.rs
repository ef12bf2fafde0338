//! The memory accounts of requests: whatever happens in between, what was taken is given back.

use mintshelf_proxy::memory::{MemoryAccount, MemoryBudget, MemoryClaim, MemoryUse};
use proptest::prelude::{any, prop_assert_eq, proptest, Strategy};
use proptest::prop_oneof;
use std::rc::Rc;

const LIMIT: usize = 64 << 20;

/// A step in the life of requests.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Add { account: usize, bytes: usize },
    Claim { account: usize, bytes: usize },
    Grow { claim: usize, bytes: usize },
    EndClaim(usize),
    Close(usize),
}

fn steps() -> impl Strategy<Value = Step> {
    let index = any::<usize>();
    prop_oneof![
        any::<bool>().prop_map(|_| Step::Open),
        (index, 0..70_000usize).prop_map(|(account, bytes)| Step::Add { account, bytes }),
        (any::<usize>(), 0..70_000usize)
            .prop_map(|(account, bytes)| Step::Claim { account, bytes }),
        (any::<usize>(), 0..70_000usize).prop_map(|(claim, bytes)| Step::Grow { claim, bytes }),
        any::<usize>().prop_map(Step::EndClaim),
        any::<usize>().prop_map(Step::Close),
    ]
}

/// An open account with the bytes that were added to it.
struct OpenAccount {
    account: Rc<MemoryAccount>,
    added: usize,
}

/// A claim with its bytes.
struct OpenClaim {
    claim: MemoryClaim,
    bytes: usize,
}

fn pick<T>(list: &mut [T], index: usize) -> Option<&mut T> {
    let length = list.len();
    list.get_mut(index.checked_rem(length)?)
}

fn take<T>(list: &mut Vec<T>, index: usize) -> Option<T> {
    let index = index.checked_rem(list.len())?;
    Some(list.swap_remove(index))
}

proptest! {
    /// Claims may outlive the connection that opened their account, as attempts do; the account's
    /// other bytes then stay with them.
    #[test]
    fn all_bytes_are_given_back(steps in proptest::collection::vec(steps(), 0..200)) {
        let budget = Rc::new(MemoryBudget::new(LIMIT, || 0));
        let mut accounts: Vec<OpenAccount> = Vec::new();
        let mut claims: Vec<OpenClaim> = Vec::new();
        for step in steps {
            match step {
                Step::Open => {
                    accounts.push(OpenAccount { account: MemoryAccount::open(&budget), added: 0 });
                }
                Step::Add { account, bytes } => {
                    if let Some(open) = pick(&mut accounts, account) {
                        open.account.add(bytes);
                        open.added += bytes;
                    }
                }
                Step::Claim { account, bytes } => {
                    if let Some(open) = pick(&mut accounts, account) {
                        claims.push(OpenClaim { claim: open.account.claim(bytes), bytes });
                    }
                }
                Step::Grow { claim, bytes } => {
                    if let Some(open) = pick(&mut claims, claim) {
                        open.claim.grow(bytes);
                        open.bytes += bytes;
                    }
                }
                Step::EndClaim(claim) => drop(take(&mut claims, claim)),
                Step::Close(account) => drop(take(&mut accounts, account)),
            }
            let known: usize = accounts.iter().map(|open| open.added).sum::<usize>()
                + claims.iter().map(|open| open.bytes).sum::<usize>();
            // Those of closed accounts whose claims live come on top.
            assert!(budget.claimed() >= known);
            if claims.is_empty() {
                prop_assert_eq!(budget.claimed(), known);
            }
        }
        drop(accounts);
        drop(claims);
        prop_assert_eq!(budget.claimed(), 0);
    }
}

#[test]
fn requests_are_guaranteed_memory_by_what_they_hold() {
    // Something else holds all of the memory.
    let budget = Rc::new(MemoryBudget::new(LIMIT, || LIMIT));
    let account = MemoryAccount::open(&budget);
    let guaranteed = budget.capacity() / 8;
    assert!(budget.has_room(MemoryUse::RequestStart, guaranteed));
    let claim = account.claim(1);
    assert!(!budget.has_room(MemoryUse::RequestStart, guaranteed));
    drop(claim);
    assert!(budget.has_room(MemoryUse::RequestStart, guaranteed));
}
