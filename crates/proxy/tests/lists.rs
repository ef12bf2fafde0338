//! Discovery's lists, whole, cut and malformed.

use mintshelf_balancer::api::{EndpointState, ListKind, ListedServer};
use mintshelf_config::platform::Names;
use mintshelf_proxy::discovery::list::{read_list, EndpointListReader};
use mintshelf_proxy::endpoints::Endpoints;

const ENTRY: &str = r#"{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.5,"boot_ms":7}"#;

fn fleet() -> EndpointListReader {
    fleet_at(Endpoints::default())
}

fn fleet_at(addresses: Endpoints) -> EndpointListReader {
    let zones = vec!["a".to_string()];
    let names = Names { zones, kinds: vec!["m".to_string()], ..Names::default() };
    EndpointListReader::new(names, addresses)
}

/// Takes an answer over: what it says, and whether it was whole.
fn take(
    fleet: &mut EndpointListReader,
    text: &str,
    whole: bool,
) -> (ListKind, Vec<ListedServer>, bool) {
    let list = read_list(text.as_bytes());
    let well_formed = list.well_formed;
    let (kind, servers) = fleet.take(list, whole);
    (kind, servers, whole && well_formed)
}

#[test]
fn a_whole_list_is_taken_over() {
    let addresses = Endpoints::default();
    let mut fleet = fleet_at(addresses.clone());
    let text = format!(r#"{{"rev":41,"all":true,"extra":{{}},"targets":[{ENTRY}]}}"#);
    let (kind, servers, whole) = take(&mut fleet, &text, true);
    assert!(whole);
    assert_eq!((kind, servers.len(), fleet.revision()), (ListKind::Full, 1, 41));
    assert_eq!((servers[0].zone, servers[0].kind, servers[0].cell), (0, 0, 3));
    assert_eq!(servers[0].started_at, 7_000_000);
    assert!(addresses.address(servers[0].id).is_some());
}

#[test]
fn of_an_answer_cut_anywhere_whole_entries_are_true() {
    let text = format!(r#"{{"rev":41,"all":true,"targets":[{ENTRY},{ENTRY}]}}"#);
    let first = text.find("},").unwrap() + 1;
    for cut in 0..text.len() {
        let mut fleet = fleet();
        let (kind, servers, whole) = take(&mut fleet, &text[..cut], false);
        assert!(!whole);
        assert_eq!((kind, fleet.revision()), (ListKind::Changes, 0));
        assert_eq!(!servers.is_empty(), cut >= first, "{cut}");
    }
}

#[test]
fn a_malformed_answer_changes_nothing() {
    for text in ["", "[]", "{}", r#"{"rev":1,"all":true}"#, r#"{"rev":"x","targets":[]}"#, "<"] {
        let (_, servers, whole) = take(&mut fleet(), text, true);
        assert!(!whole && servers.is_empty(), "{text}");
    }
    let text = format!(r#"{{"rev":41,"all":true,"targets":[{ENTRY}],,}}"#);
    let addresses = Endpoints::default();
    let mut fleet = fleet_at(addresses.clone());
    let (_, servers, whole) = take(&mut fleet, &text, true);
    assert!(!whole && servers.is_empty() && addresses.is_empty());
}

#[test]
fn an_odd_entry_does_not_lose_the_others() {
    let odd = ENTRY.replace("\"a\"", "\"moon\"").replace("s-1", "s-2");
    let bad = ENTRY.replace("127.0.0.1:9", "nowhere").replace("s-1", "s-3");
    let text = format!(r#"{{"rev":2,"all":true,"targets":[{bad},{odd},{ENTRY}]}}"#);
    let (_, servers, whole) = take(&mut fleet(), &text, true);
    assert!(whole);
    assert_eq!(servers.len(), 2);
    assert!(servers[0].zone > 1 && servers[1].zone == 0);
}

#[test]
fn a_server_that_is_deleted_has_no_address() {
    let addresses = Endpoints::default();
    let mut fleet = fleet_at(addresses.clone());
    let text = format!(r#"{{"rev":1,"all":true,"targets":[{ENTRY}]}}"#);
    let id = take(&mut fleet, &text, true).1[0].id;
    let gone = ENTRY.replace("SERVING", "DELETED");
    let text = format!(r#"{{"rev":2,"all":false,"targets":[{gone}]}}"#);
    let (kind, servers, _) = take(&mut fleet, &text, true);
    assert_eq!((kind, servers[0].condition), (ListKind::Changes, EndpointState::Gone));
    assert_eq!(addresses.address(id), None);
}
