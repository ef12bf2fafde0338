//! The wire of the simulator's adapter: a fixed conversation.

use super::bindings::{simulator_actions, simulator_replies};
use super::fixtures::{assert_same, text};

#[test]
fn a_conversation_gets_the_same_replies() {
    let replies = simulator_replies(&text("simulator-input.txt"));
    assert_same("simulator-replies.txt", &replies);
}

#[test]
fn every_action_is_written_with_the_same_words() {
    let actions = simulator_actions().into_iter();
    let lines: String =
        actions.map(|(label, line)| format!("{label}: {}\n", line.trim_end())).collect();
    assert_same("simulator-actions.txt", &lines);
}

/// The server that a request was forwarded to last.
fn forwarded<'replies>(replies: &'replies str, request: &str) -> &'replies str {
    let start = format!("forward {request} ");
    let line = replies.lines().rev().find_map(|line| line.strip_prefix(&start)).unwrap();
    line.split(' ').next().unwrap()
}

#[test]
fn every_verdict_has_the_same_consequence() {
    let start_of_input = text("simulator-verdicts-input.txt");
    let before = simulator_replies(&start_of_input);
    let mut output = before.clone();
    for verdict in
        ["delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"]
    {
        let mut input = format!("{start_of_input}clock 7000000\ntarget_instance sidecar_7\n");
        for request in ["t/pure", "t/once"] {
            let server = forwarded(&before, request);
            input.push_str(&format!("resolved {request} {verdict} 0 0 500000 {server} -\n"));
        }
        let replies = simulator_replies(&(input + "your_turn\n"));
        assert!(!replies.contains("error: "), "{replies}");
        output.push_str(&format!("{verdict}:\n{}", &replies[before.len()..]));
    }
    assert_same("simulator-verdicts.txt", &output);
}

#[test]
fn wrong_lines_are_refused_with_the_same_words() {
    let input = text("simulator-input.txt");
    let start: String = input.lines().take(5).map(|line| format!("{line}\n")).collect();
    let mut rejections = String::new();
    for line in [
        "nonsense 1",
        "timer",
        "timer abc",
        "timer 1 2",
        "submit t/a 0 - - - 0",
        "submit t/a 0 zz - - 0 5",
        "resolved t/a gone 0 1 5 51 -",
        "resolved t/a delivered 0 2 5 51 -",
        "update often 1 0",
        "census 16 1",
        "census 1 1\nserver 1 0 0 0 asleep 1 -",
        "peer_data 1 abc",
        "target_instance 7",
        "clock 9",
        "attach 1 {}",
    ] {
        let replies = simulator_replies(&format!("{start}{line}\n"));
        let error = replies.lines().last().unwrap();
        rejections.push_str(&format!("{line}\n  {error}\n"));
    }
    assert_same("simulator-refusals.txt", &rejections);
}
