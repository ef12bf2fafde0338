//! Broken files: each error at its line and column, all in one run, and never a panic.

use mintshelf_config::file;
use mintshelf_config::model::Then;
use proptest::prelude::*;

const MINIMAL: &str = include_str!("../../../deploy/minimal.toml");
const LAB: &str = include_str!("../../../deploy/lab.toml");

/// The errors of a text as `line:column what`.
fn errors(text: &[u8]) -> Vec<String> {
    let problems = file::read("f", text).err().unwrap_or_default();
    problems.iter().map(|p| p.to_string()).collect()
}

#[test]
fn the_examples_are_good() {
    for text in [MINIMAL, LAB] {
        assert_eq!(errors(text.as_bytes()), Vec::<String>::new());
    }
    let lab = file::read("f", LAB.as_bytes()).unwrap();
    assert_eq!((lab.routes.len(), lab.classes.len(), lab.clusters.len()), (5, 5, 1));
    assert_eq!(lab.clusters["bench"].endpoints[0].weight, 3);
    assert!(matches!(&lab.routes[4].then, Then::Respond(r) if r.status == 404));
    assert_eq!(lab.stated["classes.flash-device.aim"], 45);
    assert!(!lab.stated.contains_key("clusters.bench.max-attempts"));
}

/// A file, and what its errors must begin with and hold.
type Broken = (&'static str, String, &'static [(&'static str, &'static str)]);

fn with(from: &str, to: &str) -> String {
    assert!(LAB.contains(from), "{from}");
    LAB.replacen(from, to, 1)
}

fn broken() -> Vec<Broken> {
    let route = |more: &str| format!("{MINIMAL}prefix = \"/x\"\n{more}\n");
    vec![
        ("typo of a key", with("sockets = 256", "socket = 256"), &[("f:11:1", "did you mean 'sockets'?")]),
        ("typo of a table", with("[limits]", "[limit]"), &[("f:9:2", "did you mean 'limits'?")]),
        ("unknown key", with("worth = 3", "colour = 3"), &[("f:26:1", "known here: aim")]),
        ("number for a span", with("\"400ms\"", "400"), &[("f:24:7", "is a whole number, not a text")]),
        ("span without unit", with("\"400ms\"", "\"400\""), &[("f:24:7", "with its unit")]),
        ("negative span", with("\"400ms\"", "\"-4s\""), &[("f:24:7", "'-4s'")]),
        ("absurd span", with("\"1.2s\"\nworth = 3", "\"900y\"\nworth = 3"), &[("f:25:12", "is not between")]),
        ("size too small", with("\"32MiB\"", "\"1KiB\""), &[("f:10:10", "is not between")]),
        ("size of nothing", with("\"32MiB\"", "\"much\""), &[("f:10:10", "'much'")]),
        ("few sockets", with("sockets = 256", "sockets = 3"), &[("f:11:11", "not between 64")]),
        ("half a socket", with("sockets = 256", "sockets = 100.5"), &[("f:11:11", "whole number")]),
        ("aim past deadline", with("\"400ms\"", "\"2s\""), &[("f:24:7", "rule 1")]),
        ("unknown effect", with("\"keyed\"", "\"kind\""), &[("f:36:10", "'kind'"), ("f:37:10", "only keyed")]),
        ("keyed without window", with("window = \"20s\"\n", ""), &[("f:36:10", "rule 2, no effect twice")]),
        ("window on unsafe", with("effect = \"unsafe\"", "effect = \"unsafe\"\nwindow = \"20s\""), &[("f:45:10", "only keyed")]),
        ("negative worth", with("worth = 8", "worth = -8"), &[("f:47:9", "-8 is not between")]),
        ("no address", with("127.0.0.1:9003", "bench-node:9003"), &[("f:58:30", "names are not looked up")]),
        ("port 0", with("127.0.0.1:8080", "127.0.0.1:0"), &[("f:6:11", "port 0")]),
        ("address twice", with("127.0.0.1:9002", "127.0.0.1:9001"), &[("f:57:5", "stands in line 56")]),
        ("name twice", with("\"c2\"", "\"c1\""), &[("f:57:5", "the name 'c1' stands in line 56")]),
        ("all weights zero", with("weight = 3", "weight = 0").replace("weight = 2", "weight = 0"), &[("f:49:11", "every endpoint has weight 0 (would break rule 1")]),
        ("no endpoints", "listen = \"127.0.0.1:1\"\n[clusters.a]\nendpoints = []\n[[routes]]\ncluster = \"a\"\n".into(), &[("f:2:1", "there are no endpoints")]),
        ("seven attempts", with("idle-timeout = \"15s\"", "max-attempts = 7"), &[("f:52:16", "7 is not between 1 and 6")]),
        ("success as failure", with("idle-timeout = \"15s\"", "failure-statuses = [200]"), &[("f:52:21", "not a status of a failure")]),
        ("warm-from alone", with("warm-up = \"8s\"\n", ""), &[("f:53:13", "rule 4")]),
        ("listeners clash", with("[limits]", "[[listeners]]\naddress = \"0.0.0.0:8080\"\n[limits]"), &[("f:10:11", "clashes with the listener in line 6")]),
        ("admin clashes", with("address = \"127.0.0.1:9901\"", "address = \"127.0.0.1:8080\""), &[("f:6:11", "clashes with the admin")]),
        ("no listener", MINIMAL.replacen("listen = \"127.0.0.1:8080\"\n", "", 1), &[("f:1:1", "there is no listener")]),
        ("no route", MINIMAL.replace("[[routes]]\ncluster = \"web\"\n", ""), &[("f:1:1", "there is no route"), ("f:2:11", "named nowhere")]),
        ("unknown cluster", MINIMAL.replace("cluster = \"web\"", "cluster = \"wep\""), &[("f:2:11", "named nowhere"), ("f:5:11", "did you mean 'web'?")]),
        ("unknown class", with("class = \"run-logs\"", "class = \"runlogs\""), &[("f:28:10", "named nowhere"), ("f:72:9", "did you mean 'run-logs'?")]),
        ("unknown listener", format!("{MINIMAL}listeners = [\"x\"]"), &[("f:6:14", "no such listener")]),
        ("same route again", format!("{MINIMAL}[[routes]]\nname = \"late\"\ncluster = \"web\"\n"), &[("f:6:1", "route 'route0' in line 4 takes them all")]),
        ("path and prefix", route("path = \"/y\""), &[("f:4:1", "has path and prefix at once")]),
        ("path without slash", MINIMAL.to_string() + "prefix = \"x\"", &[("f:6:10", "does not begin with a slash")]),
        ("path that climbs", MINIMAL.to_string() + "path = \"/a/%2e./b\"", &[("f:6:8", "'.' or '..'")]),
        ("bad expression", MINIMAL.to_string() + "regex = \"(\"", &[("f:6:9", "unclosed group")]),
        ("bad host", MINIMAL.to_string() + "hosts = [\"a.*\"]", &[("f:6:10", "whole labels")]),
        ("bad method", MINIMAL.to_string() + "methods = [\"get\"]", &[("f:6:12", "'get'")]),
        ("two ways", route("respond = { status = 404 }"), &[("f:4:1", "cluster and respond at once")]),
        ("no way", "listen = \"127.0.0.1:1\"\n[[routes]]\n".into(), &[("f:2:1", "says nothing of where")]),
        ("no weight", "listen = \"127.0.0.1:1\"\n[clusters.a]\nendpoints = \"127.0.0.1:2\"\n[[routes]]\nclusters = { a = 0 }\n".into(), &[("f:5:12", "no cluster has a weight")]),
        ("framing set by hand", route("request-headers.set = { Content-Length = \"3\" }"), &[("f:7:25", "belongs to the connection")]),
        ("header split", route("response-headers.set = { x = \"a\\nb\" }"), &[("f:7:26", "not a header's value")]),
        ("redirect to itself", route("").replace("cluster = \"web\"", "redirect = { status = 301 }"), &[("f:2:11", "named nowhere"), ("f:5:12", "where they are")]),
        ("redirect with 200", route("").replace("cluster = \"web\"", "redirect = { status = 304, path = \"/\" }"), &[("f:2:11", ""), ("f:5:23", "sends nobody")]),
        ("body in 204", route("").replace("cluster = \"web\"", "respond = { status = 204, body = \"x\" }"), &[("f:2:11", ""), ("f:5:22", "has no body")]),
        ("sticky by nothing", route("sticky = \"luck\""), &[("f:7:10", "where a key comes from")]),
        ("keyed route", route("effect = \"keyed\""), &[("f:4:1", "rule 2")]),
        ("key twice", "listen = \"127.0.0.1:1\"\nlisten = \"127.0.0.1:2\"\n".into(), &[("f:2:1", "duplicate key")]),
        ("truncated", LAB[..LAB.len() / 2].to_string(), &[("f:46:3", "")]),
        ("empty", String::new(), &[("f:1:1", "no listener"), ("f:1:1", "no route")]),
    ]
}

#[test]
fn each_broken_file_is_told_its_errors_with_their_places() {
    let files = broken();
    assert!(files.len() >= 30);
    let mut wrong = Vec::new();
    for (what, text, wanted) in files {
        let errors = errors(text.as_bytes());
        let fits = |(error, (place, part)): (&String, &(&str, &str))| {
            error.starts_with(place) && error.contains(part)
        };
        let all = errors.len() == wanted.len() && errors.iter().zip(wanted).all(fits);
        if !all {
            wrong.push(format!("{what}: {errors:#?}\nwanted {wanted:#?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn all_errors_come_in_one_run() {
    let text = with("sockets = 256", "socket = 256")
        .replace("\"400ms\"", "400")
        .replace("window = \"20s\"\n", "")
        .replace("weight = 3", "weight = 0")
        .replace("weight = 2", "weight = 0")
        .replace("class = \"flash-device\"", "class = \"flush-device\"");
    let errors = errors(text.as_bytes());
    let lines: Vec<&str> = errors.iter().map(|e| e.split(':').nth(1).unwrap()).collect();
    assert_eq!(lines, ["11", "24", "36", "42", "48", "85"], "{errors:#?}");
}

#[test]
fn noise_is_named_where_it_begins() {
    let errors = errors(b"listen = \"127.0.0.1:1\"\nx = \"\xff\xfe\"\n");
    assert_eq!(errors, ["f:2:6: is not text in UTF-8; save it as a UTF-8 text file"]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// A good file with bytes changed, cut out or doubled is read or refused, with places.
    #[test]
    fn a_mutated_file_never_panics(
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0usize..4, any::<u8>(), 1usize..40), 1..6),
    ) {
        let mut bytes = LAB.as_bytes().to_vec();
        for (at, kind, byte, len) in edits {
            if bytes.is_empty() {
                break;
            }
            let at = at.index(bytes.len());
            let end = (at + len).min(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => drop(bytes.drain(at..end)),
                2 => { let part = bytes[at..end].to_vec(); bytes.splice(at..at, part); }
                _ => bytes.truncate(at.max(1)),
            }
        }
        let lines = bytes.iter().filter(|b| **b == b'\n').count() + 1;
        if let Err(problems) = file::read("f", &bytes) {
            prop_assert!(!problems.is_empty());
            for p in problems {
                prop_assert!((1..=lines).contains(&p.line) && p.column >= 1, "{}", p);
                prop_assert!(!p.what.is_empty() && !p.to_string().contains('\n'), "{:?}", p);
            }
        }
    }
}
