//! `lease_judge RECORD`: exits with 1 if an operation of a holder follows one of the next holder,
//! with 2 if there were not two holders.

use review_stand_ins::argument;
use std::process::exit;

fn main() {
    let text = std::fs::read_to_string(argument(1)).unwrap_or_default();
    let mut highest: Option<u64> = None;
    let (mut holders, mut late) = (0, Vec::new());
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let &[_, "operation", _, "token", token] = words.as_slice() else { continue };
        let Ok(token) = token.parse::<u64>() else { continue };
        if highest.is_some_and(|highest| token < highest) {
            late.push(line);
        } else if highest != Some(token) {
            highest = Some(token);
            holders += 1;
        }
    }
    if holders < 2 {
        println!("not run: {holders} holder(s) operated");
        exit(2);
    }
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        println!("broken: {} operations of a holder after the next one's first", late.len());
        println!("first: {first}\nlast: {last}");
        exit(1);
    }
    println!("held: {holders} holders, one after the other");
}
