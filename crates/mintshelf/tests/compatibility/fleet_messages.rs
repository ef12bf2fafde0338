//! Messages between replicas and members, and entries of the log.

use super::bindings::{
    encoded_budget_messages, encoded_frames, encoded_greetings, encoded_lease_commands, Sample,
    LONG,
};
use super::fixtures::{assert_same, hex, text, unhex};
use super::sample_fleet::SampleFleet;
use std::io::{Read, Write};
use std::net::TcpStream;

fn lines(samples: Vec<Sample>) -> String {
    samples.iter().map(|(label, bytes)| format!("{label}: {}\n", hex(bytes))).collect()
}

#[test]
fn greetings_have_the_same_bytes() {
    assert_same("greetings.txt", &lines(encoded_greetings()));
}

#[test]
fn frames_have_the_same_bytes() {
    assert_same("frames.txt", &lines(encoded_frames()));
}

#[test]
fn lease_commands_have_the_same_bytes_in_the_log() {
    assert_same("lease-commands.txt", &lines(encoded_lease_commands()));
}

#[test]
fn budget_commands_answers_and_snapshot_have_the_same_bytes() {
    assert_same("budget-messages.txt", &lines(encoded_budget_messages()));
}

/// The bytes under a label of a fixture.
fn labelled(fixture: &str, label: &str) -> Vec<u8> {
    let text = text(fixture);
    let found = text.lines().find_map(|line| line.strip_prefix(&format!("{label}: ")));
    unhex(found.unwrap_or_else(|| panic!("{fixture} has no '{label}'")))
}

/// Sends a message after its length.
fn send(stream: &mut TcpStream, message: &[u8]) {
    stream.write_all(&(message.len() as u32).to_be_bytes()).unwrap();
    stream.write_all(message).unwrap();
}

fn receive(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut message = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut message).unwrap();
    message
}

#[test]
fn a_replica_with_the_stored_directory_answers_with_the_same_bytes() {
    let fleet = SampleFleet::start("messages");
    let mut stream = TcpStream::connect(fleet.replica).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    send(&mut stream, &labelled("greetings.txt", "greeting of a member"));
    let greeting = labelled("greetings.txt", "greeting of a replica");
    assert_eq!(hex(&receive(&mut stream)), hex(&greeting));
    let mut conversation = String::new();
    for label in [
        "status question",
        "acquire",
        "acquire and wait",
        "acquire and wait",
        "renew",
        "forget",
        "acquire and wait",
        "leave",
        "expire",
        "revoke",
        "renew",
        "release",
        "status question",
    ] {
        send(&mut stream, &labelled("frames.txt", label));
        conversation.push_str(&format!("{label}: {}\n", hex(&receive(&mut stream))));
    }
    assert_same("conversation.txt", &conversation);
}
