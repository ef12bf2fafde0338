//! `note RECORD WORDS...`: appends a line to the record, with the time.

fn main() {
    let words: Vec<String> = std::env::args().skip(2).collect();
    review_stand_ins::record(&review_stand_ins::argument(1), &words.join(" "));
}
