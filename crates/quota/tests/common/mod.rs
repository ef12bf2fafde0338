//! What the proofs share.
#![allow(dead_code)]

pub mod world;

use mintshelf_quota::ledger::{Answer, Beat, Ended, Ledger};

/// How many seeds to play: `MINTSHELF_SEEDS`, or a few.
pub fn seeds(few: u64) -> u64 {
    std::env::var("MINTSHELF_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(few)
}

/// Wrong on purpose: what former lives of those who ask hold is free at once.
pub fn free_former_lives(ledger: &mut Ledger, beat: &Beat) {
    let mut ended = Vec::new();
    for ask in &beat.asks {
        for (owner, account) in ledger.accounts() {
            let former = owner.member == ask.owner.member && *owner < ask.owner;
            if let (true, Some(last)) = (former, account.last()) {
                ended.push(Ended { owner: owner.clone(), grant: last.grant });
            }
        }
    }
    ledger.apply(&Beat { asks: Vec::new(), ended });
}

/// Wrong on purpose: whatever was promised before these answers is free at once.
pub fn free_earlier(ledger: &mut Ledger, answers: &[Answer]) {
    let earlier =
        |answer: &Answer| Ended { owner: answer.owner.clone(), grant: answer.promise.grant - 1 };
    let ended = answers.iter().map(earlier).collect();
    ledger.apply(&Beat { asks: Vec::new(), ended });
}
