//! The memory accounts of requests: whatever happens in between, what was taken is given back.

use mintshelf_proxy::memory::{
    MemoryAccount, MemoryBudget, MemoryClaim, MemoryReservation, MemoryUse,
};
use proptest::prelude::{any, prop_assert_eq, proptest, Strategy};
use proptest::prop_oneof;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const LIMIT: usize = 64 << 20;
/// Longer than the interval at which the budget checks whether memory was freed.
const CHECKED: Duration = Duration::from_millis(20);

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

/// Reserves a tenth of the capacity for an attempt, and sends the reservation.
fn reserve_tenth(budget: &Rc<MemoryBudget>, admitted: &UnboundedSender<MemoryReservation>) {
    let account = MemoryAccount::open(budget);
    let (bytes, admitted) = (budget.capacity() / 10, admitted.clone());
    spawn_local(async move {
        let reservation = account.reserve(MemoryUse::Attempt, bytes).await;
        assert!(admitted.send(reservation).is_ok());
    });
}

/// Takes the reservations that have been admitted by now.
async fn take_admitted(
    admitted: &mut UnboundedReceiver<MemoryReservation>,
) -> Vec<MemoryReservation> {
    sleep(CHECKED).await;
    std::iter::from_fn(|| admitted.try_recv().ok()).collect()
}

#[tokio::test(flavor = "current_thread")]
async fn what_waits_for_its_connection_is_not_admitted_into_the_same_room() {
    let waits = async {
        // Nothing is allocated while the attempts wait for their connections.
        let budget = Rc::new(MemoryBudget::new(LIMIT, || 0));
        let (sender, mut receiver) = unbounded_channel();
        (0..20).for_each(|_| reserve_tenth(&budget, &sender));
        let mut admitted = take_admitted(&mut receiver).await;
        // Attempts may use 0.7 of the capacity.
        assert_eq!(admitted.len(), 7);
        // One attempt ends before it has a connection, and another allocates what it has reserved.
        drop(admitted.pop());
        let claim = admitted.pop().and_then(MemoryReservation::allocate);
        let further = take_admitted(&mut receiver).await;
        assert_eq!(further.len(), 2);
        drop((admitted, further, claim));
        drop(take_admitted(&mut receiver).await);
        drop(take_admitted(&mut receiver).await);
        assert_eq!((budget.reserved(), budget.claimed()), (0, 0));
    };
    LocalSet::new().run_until(waits).await;
}
