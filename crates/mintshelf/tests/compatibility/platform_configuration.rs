//! The configuration file of the platform's sidecar.

use super::bindings::{answer, free_address, platform_refusal, request, Server, Sidecar};
use super::fixtures::{assert_same, run, text, TemporaryDirectory, PROGRAM};
use serde_json::{json, Value};

/// A configuration with every key that there is.
fn whole() -> Value {
    serde_json::from_str(&text("platform.json")).unwrap()
}

/// The places of all keys, of lists those of the first item.
fn places(value: &Value, place: &str, into: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                into.push(format!("{place}/{name}"));
                places(field, &format!("{place}/{name}"), into);
            }
        }
        Value::Array(items) => {
            items.first().into_iter().for_each(|item| places(item, &format!("{place}/0"), into));
        }
        _ => {}
    }
}

fn refusal(directory: &TemporaryDirectory, configuration: &Value) -> Option<String> {
    let file = directory.write("platform.json", &configuration.to_string());
    let refusal = platform_refusal(file.as_ref())?;
    // Where in the text is of no interest, and moves with the fixture.
    Some(refusal.split(" at line").next().unwrap().to_string())
}

#[test]
fn the_same_keys_are_read_and_required() {
    let directory = TemporaryDirectory::new("platform-keys");
    assert_eq!(refusal(&directory, &whole()), None);
    let mut all = Vec::new();
    places(&whole(), "", &mut all);
    let mut told = String::new();
    for place in all.iter().filter(|place| !place.starts_with("/known/")) {
        let (parent, name) = place.rsplit_once('/').unwrap();
        let mut without = whole();
        without.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(name);
        let without = refusal(&directory, &without).unwrap_or("optional".into());
        let mut wrong = whole();
        // No key takes lists in lists.
        *wrong.pointer_mut(place).unwrap() = json!([[[]]]);
        let read = if refusal(&directory, &wrong).is_some() { "read" } else { "not looked at" };
        told.push_str(&format!("{place}: {read}; without it: {without}\n"));
    }
    assert_same("platform-keys.txt", &told);
}

#[test]
fn the_same_words_are_taken_for_choices() {
    let directory = TemporaryDirectory::new("platform-choices");
    let choices = [
        ("/settings/classes/0/semantics", &["pure", "token", "side_effect"][..]),
        ("/settings/classes/0/group", &["zone", "cell", "all", ""]),
        ("/settings/registry-mode", &["subscribe", "automatic"]),
        ("/settings/worth-by", &["work", "request", ""]),
        ("/settings/weight-kind", &["nominal", "rough", "live", ""]),
        ("/settings/report/how", &["piggyback", "pull", ""]),
        ("/settings/report/fields/0", &["inflight", "queue", "util", "latency_ms", "qps", "eps"]),
    ];
    let mut told = String::new();
    for (place, words) in choices {
        for word in words.iter().chain(&["nonsense"]) {
            let mut configuration = whole();
            *configuration.pointer_mut(place).unwrap() = json!(word);
            let came = refusal(&directory, &configuration).unwrap_or("taken".into());
            told.push_str(&format!("{place} = {word:?}: {came}\n"));
        }
    }
    assert_same("platform-choices.txt", &told);
}

#[test]
fn figures_out_of_bounds_are_refused_with_the_same_words() {
    let directory = TemporaryDirectory::new("platform-bounds");
    let mut told = String::new();
    for (place, value) in [
        ("/listen", json!("here")),
        ("/seed", json!("no hex")),
        ("/limits/sockets", json!(63)),
        ("/settings/tick", json!(-1)),
        ("/settings/classes", json!([])),
        ("/settings/classes/1/name", json!("safe")),
        ("/settings/tenants/1/name", json!("acme")),
        ("/settings/limits/max-attempts", json!(0)),
        ("/peer_listen", json!(null)),
    ] {
        let mut configuration = whole();
        *configuration.pointer_mut(place).unwrap() = value;
        let came = refusal(&directory, &configuration).unwrap_or("taken".into());
        told.push_str(&format!("{place}: {came}\n"));
    }
    assert_same("platform-bounds.txt", &told);
}

#[test]
fn the_sidecar_starts_and_serves_by_a_configuration_written_before() {
    let server = Server::start(|_, _| Some(answer("served")));
    let mut configuration = whole();
    for key in ["listen", "discovery", "peer_listen"] {
        configuration[key] = json!(free_address().to_string());
    }
    configuration["peers"] = json!([configuration["peer_listen"], free_address().to_string()]);
    configuration["peers_all"] = json!(free_address().to_string());
    configuration["known"]["targets"][0]["endpoint"] = json!(server.at.to_string());
    let sidecar = Sidecar::start(PROGRAM, configuration);
    let got = sidecar.send_request(&request("safe", "txn-1")).unwrap();
    assert_eq!((got.status(), got.body.as_slice()), (200, &b"served"[..]));
}

#[test]
fn without_a_configuration_the_sidecar_names_the_variable() {
    let (code, _, errors) = run(&[]);
    assert_eq!((code, errors.as_str()), (1, "mintshelf: environment: RELAY_CONFIG: is not set\n"));
}
