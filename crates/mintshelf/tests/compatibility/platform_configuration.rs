//! The configuration file of the platform's sidecar.

use super::bindings::{answer, free_address, platform_refusal, request, Server, Sidecar};
use super::fixtures::{assert_same, run, text, TemporaryDirectory, PROGRAM};
use serde_json::{json, Value};

/// A configuration with every key.
fn complete_configuration() -> Value {
    serde_json::from_str(&text("platform.json")).unwrap()
}

/// The paths of all keys; of lists those of the first item.
fn paths(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                found.push(format!("{path}/{name}"));
                paths(field, &format!("{path}/{name}"), found);
            }
        }
        Value::Array(items) => {
            items.first().into_iter().for_each(|item| paths(item, &format!("{path}/0"), found));
        }
        _ => {}
    }
}

fn rejection(directory: &TemporaryDirectory, configuration: &Value) -> Option<String> {
    let file = directory.write("platform.json", &configuration.to_string());
    let rejection = platform_refusal(file.as_ref())?;
    // The position in the text is left out, since it depends on the fixture.
    Some(rejection.split(" at line").next().unwrap().to_string())
}

#[test]
fn the_same_keys_are_read_and_required() {
    let directory = TemporaryDirectory::new("platform-keys");
    assert_eq!(rejection(&directory, &complete_configuration()), None);
    let mut all = Vec::new();
    paths(&complete_configuration(), "", &mut all);
    let mut outcomes = String::new();
    for path in all.iter().filter(|path| !path.starts_with("/known/")) {
        let (parent, name) = path.rsplit_once('/').unwrap();
        let mut without = complete_configuration();
        without.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(name);
        let without = rejection(&directory, &without).unwrap_or("optional".into());
        let mut wrong = complete_configuration();
        // No key has a list of lists as its value.
        *wrong.pointer_mut(path).unwrap() = json!([[[]]]);
        let read = if rejection(&directory, &wrong).is_some() { "read" } else { "not looked at" };
        outcomes.push_str(&format!("{path}: {read}; without it: {without}\n"));
    }
    assert_same("platform-keys.txt", &outcomes);
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
    let mut outcomes = String::new();
    for (path, words) in choices {
        for word in words.iter().chain(&["nonsense"]) {
            let mut configuration = complete_configuration();
            *configuration.pointer_mut(path).unwrap() = json!(word);
            let outcome = rejection(&directory, &configuration).unwrap_or("taken".into());
            outcomes.push_str(&format!("{path} = {word:?}: {outcome}\n"));
        }
    }
    assert_same("platform-choices.txt", &outcomes);
}

#[test]
fn figures_out_of_bounds_are_refused_with_the_same_words() {
    let directory = TemporaryDirectory::new("platform-bounds");
    let mut outcomes = String::new();
    for (path, value) in [
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
        let mut configuration = complete_configuration();
        *configuration.pointer_mut(path).unwrap() = value;
        let outcome = rejection(&directory, &configuration).unwrap_or("taken".into());
        outcomes.push_str(&format!("{path}: {outcome}\n"));
    }
    assert_same("platform-bounds.txt", &outcomes);
}

#[test]
fn the_sidecar_starts_and_serves_by_a_configuration_written_before() {
    let server = Server::start(|_, _| Some(answer("served")));
    let mut configuration = complete_configuration();
    for key in ["listen", "discovery", "peer_listen"] {
        configuration[key] = json!(free_address().to_string());
    }
    configuration["peers"] = json!([configuration["peer_listen"], free_address().to_string()]);
    configuration["peers_all"] = json!(free_address().to_string());
    configuration["known"]["targets"][0]["endpoint"] = json!(server.address.to_string());
    let sidecar = Sidecar::start(PROGRAM, configuration);
    let response = sidecar.send_request(&request("safe", "txn-1")).unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"served"[..]));
}

#[test]
fn without_a_configuration_the_sidecar_names_the_variable() {
    let (code, _, errors) = run(&[]);
    assert_eq!((code, errors.as_str()), (1, "mintshelf: environment: RELAY_CONFIG: is not set\n"));
}
