//! `flash_judge RECORD`: exits with 1 if a request was refused (429 or 503) that a server had begun
//! to run; with 2 if none ran. Tells also which orders ran more than once.

use review_stand_ins::argument;
use std::collections::{BTreeMap, BTreeSet};
use std::process::exit;

fn main() {
    let text = std::fs::read_to_string(argument(1)).unwrap_or_default();
    let mut runs: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut refused = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            [_, "runs", order, attempt, ..] => {
                runs.entry(order).or_default().insert(attempt);
            }
            [_, "answered", order, attempt, "429" | "503", ..] => {
                if runs.get(order).is_some_and(|attempts| attempts.contains(attempt)) {
                    refused.push(line);
                }
            }
            _ => {}
        }
    }
    if runs.is_empty() {
        println!("not run: no order reached a server");
        exit(2);
    }
    if refused.is_empty() {
        println!("held: of {} orders that ran none was refused afterwards", runs.len());
        return;
    }
    let twice: Vec<&str> =
        runs.iter().filter(|(_, attempts)| attempts.len() > 1).map(|(order, _)| *order).collect();
    println!("broken: {} requests were refused that a server had run", refused.len());
    println!("first: {}", refused[0]);
    println!("orders that ran more than once, as their clients sent them again: {}", twice.join(" "));
    exit(1);
}
