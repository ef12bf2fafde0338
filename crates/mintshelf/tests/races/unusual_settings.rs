//! Unusual settings: names in any script, extreme values, contradictions.

use crate::fixture::PROGRAM;
use mintshelf_test_support::{
    config, free_address, get, ok_response, request, Discovery, Server, Sidecar,
};
use serde_json::{json, Value};
use std::process::Command;

/// A server and discovery for one sidecar after another.
struct SettingsFixture {
    config: Value,
    _server: Server,
    _discovery: Discovery,
}

impl SettingsFixture {
    fn start() -> Self {
        let server = Server::start(|_, _| Some(ok_response("served")));
        let discovery = Discovery::start(1, vec![server.entry("a")]);
        let config = config(discovery.address, vec![server.entry("a")]);
        SettingsFixture { config, _server: server, _discovery: discovery }
    }

    /// Starts a sidecar with changed settings; the status that a request of a class gets.
    fn status_with(&self, class: &str, change: impl Fn(&mut Value)) -> u16 {
        let mut config = self.config.clone();
        change(&mut config["settings"]);
        let sidecar = Sidecar::start(PROGRAM, config);
        let status = sidecar.send_request(&request(class, "one")).unwrap().status();
        // Another client still gets a response: the process has not ended.
        assert_eq!(sidecar.send_request(&get("/-/ready")).unwrap().status(), 200);
        status
    }
}

#[test]
fn names_may_be_in_any_script() {
    let fixture = SettingsFixture::start();
    for name in ["где", "otwórz", "東口", "a b", "x'\u{e9}"] {
        let status = fixture.status_with(name, |settings| {
            settings["classes"][0]["name"] = json!(name);
            settings["zones"] = json!(["północ", "город"]);
            settings["flavors"] = json!(["шкаф"]);
        });
        assert_eq!(status, 200, "{name}");
    }
    let tenant = "корзина";
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let mut config = config(discovery.address, vec![server.entry("a")]);
    config["settings"]["tenants"][0]["name"] = json!(tenant);
    let sidecar = Sidecar::start(PROGRAM, config);
    let status_of_tenant = |org: &str| {
        let text = String::from_utf8(request("safe", &format!("id-{}", org.len()))).unwrap();
        let text = text.replace("X-Org: acme", &format!("X-Org: {org}"));
        sidecar.send_request(text.as_bytes()).unwrap().status()
    };
    assert_eq!([tenant, "acme", "корзин"].map(status_of_tenant), [200, 400, 400]);
}

#[test]
fn extreme_settings_are_served_or_rejected_but_never_end_the_process() {
    const MAX: u64 = 9_000_000_000_000_000_000;
    let changes: &[(&str, &str, u64)] = &[
        ("classes/0", "deadline", MAX),
        ("classes/0", "deadline", 1),
        ("classes/0", "goal-time", 0),
        ("classes/0", "goal-time", MAX),
        ("classes/1", "memory-span", 0),
        ("classes/1", "memory-span", MAX),
        ("invariants", "ask-within", 0),
        ("invariants", "ask-within", MAX),
        ("invariants", "cold", MAX),
        ("invariants", "cold-from", 0),
        ("invariants", "cold-from", 7),
        ("invariants", "fall-multiple", 0),
        ("invariants", "tip-after", 0),
        ("invariants", "tip-after", MAX),
        ("limits", "connect-timeout", MAX),
        ("limits", "conn-idle", 0),
        ("limits", "conn-idle", MAX),
        ("limits", "max-retry-after", MAX),
        ("limits", "max-attempts", 4_000_000_000),
        ("", "tick", 0),
        ("", "tick", MAX),
        ("", "balancers", 0),
        ("", "balancers", 4_000_000_000),
    ];
    let fixture = SettingsFixture::start();
    for class in ["safe", "keyed", "unsafe"] {
        for (place, key, value) in changes {
            let status = fixture.status_with(class, |settings| {
                let path = if place.is_empty() { String::new() } else { format!("/{place}") };
                settings.pointer_mut(&path).unwrap()[*key] = json!(value);
            });
            let what = format!("{class}, {place} {key} {value}");
            assert!([200, 502, 503].contains(&status), "{what}: {status}");
            // Only a deadline that passes at once leaves nothing to serve.
            assert!(status == 200 || (*key, *value) == ("deadline", 1), "{what}: {status}");
        }
    }
}

#[test]
fn contradictory_settings_are_reported_with_their_place() {
    type Change = dyn Fn(&mut Value);
    let file = std::env::temp_dir().join(format!("mintshelf-odd-{}.json", std::process::id()));
    let changes: [(&str, &Change); 6] = [
        ("settings.classes[1].name", &|settings| settings["classes"][1]["name"] = json!("safe")),
        ("settings.tenants[1].name", &|settings| {
            settings["tenants"] = json!([{"name": "a", "share": 0.5}, {"name": "a", "share": 0.5}]);
        }),
        ("settings.limits.max-attempts", &|settings| settings["limits"]["max-attempts"] = json!(0)),
        ("classes.semantics", &|settings| settings["classes"][0]["semantics"] = json!("often")),
        ("classes.group", &|settings| settings["classes"][1]["group"] = json!("moon")),
        ("registry-mode", &|settings| settings["registry-mode"] = json!("guess")),
    ];
    for (place, change) in changes {
        let mut config = config(free_address(), vec![]);
        change(&mut config["settings"]);
        std::fs::write(&file, config.to_string()).unwrap();
        let output = Command::new(PROGRAM).env("RELAY_CONFIG", &file).output().unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && errors.lines().count() == 1, "{errors}");
        assert!(errors.contains(place) && errors.contains(file.to_str().unwrap()), "{errors}");
    }
    std::fs::remove_file(&file).unwrap();
}
