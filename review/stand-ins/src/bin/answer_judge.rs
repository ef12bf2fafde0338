//! `answer_judge RECORD UNSAFE`: exits with 1 if a client was served (200) with anything but the answer
//! made for its request, or a request of the class `UNSAFE` ran more than once; with 2 if no client
//! was served.

use review_stand_ins::argument;
use std::collections::BTreeMap;
use std::process::exit;

fn main() {
    let text = std::fs::read_to_string(argument(1)).unwrap_or_default();
    let (mut served, mut second_copies, mut foreign) = (0, 0, Vec::new());
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for line in text.lines() {
        let words: Vec<&str> = line.splitn(5, ' ').collect();
        match words.as_slice() {
            [_, "answered", id, "200", body] => {
                served += 1;
                if !body.starts_with(&format!("\"made for {id}\" ")) {
                    foreign.push(line);
                }
            }
            [_, "second-copy", ..] => second_copies += 1,
            [_, "runs", id, ..] if id.starts_with(&argument(2)) => {
                runs.entry(id).or_default().push(line);
            }
            _ => {}
        }
    }
    if served == 0 {
        println!("not run: nobody was served");
        exit(2);
    }
    let twice: Vec<&Vec<&str>> = runs.values().filter(|lines| lines.len() > 1).collect();
    if foreign.is_empty() && twice.is_empty() {
        println!("held: {served} served, each with its own answer; {second_copies} second copies");
        return;
    }
    println!(
        "broken: {} of {served} were served with the answer of another request; {} requests that may \
         not be repeated ran more than once; {second_copies} second copies",
        foreign.len(),
        twice.len()
    );
    foreign.iter().take(5).for_each(|line| println!("{line}"));
    twice.iter().take(3).flat_map(|lines| lines.iter()).for_each(|line| println!("{line}"));
    exit(1);
}
