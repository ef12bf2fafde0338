//! `lease_worker RECORD NAME MS`: works on the resource that the lease protects, for so long. Each
//! operation is a line of the record, with the fencing token.

use review_stand_ins::{argument, now_ms, number, record};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    let (file, name) = (argument(1), argument(2));
    let token = std::env::var("MINTSHELF_LEASE_TOKEN").unwrap_or_default();
    let end = now_ms() + u128::from(number(3));
    while now_ms() < end {
        record(&file, &format!("operation {name} token {token}"));
        sleep(Duration::from_millis(100));
    }
    record(&file, &format!("finished {name} token {token}"));
}
