//! Files that could break a rule by their attempts: each refused, at its place, with the
//! schedule that breaks it.

use mintshelf_balancer::api::Effect;
use mintshelf_config::balancer::{attempt_schedule, balancer_config};
use mintshelf_config::file;
use mintshelf_retry::schedule::{AttemptTimeout, TimeoutBounds};
use proptest::prelude::*;

const LAB: &str = include_str!("../../../deploy/lab.toml");

fn errors(text: &str) -> Vec<String> {
    let problems = file::parse("f", text.as_bytes()).err().unwrap_or_default();
    problems.iter().map(|p| p.to_string()).collect()
}

/// The lab's file with something put behind a line.
fn behind(line: &str, more: &str) -> String {
    assert!(LAB.contains(line), "{line}");
    LAB.replacen(line, &format!("{line}\n{more}"), 1)
}

/// One error, which names a line that holds `at`, and says all of `parts`.
fn assert_rejected(what: &str, text: &str, at: &str, parts: &[&str]) {
    let errors = errors(text);
    assert_eq!(errors.len(), 1, "{what}: {errors:#?}");
    let line: usize = errors[0].split(':').nth(1).unwrap().parse().unwrap();
    let named = text.lines().nth(line - 1).unwrap();
    assert!(named.contains(at), "{what}: line {line}, {named}: {}", errors[0]);
    for part in parts {
        assert!(errors[0].contains(part), "{what}: '{part}' in {}", errors[0]);
    }
}

const TWICE: &str = "would break rule 2";

#[test]
fn a_class_may_ask_for_less_of_its_clusters_connections_and_not_for_more() {
    let queue = "[classes.queue-run]";
    let late = "per-try-timeout = \"8s\"\nbackoff = { first = \"900ms\", most = \"1800ms\" }";
    let slow = LAB.replacen("connect-timeout = \"200ms\"", "connect-timeout = \"2s\"", 1).replacen(
        "deadline = \"4s\"",
        "deadline = \"60s\"",
        1,
    );
    assert_ne!(slow, LAB);
    let with = |more: &str| slow.replacen(queue, &format!("{queue}\n{late}\n{more}"), 1);
    let window = ["attempt 3 could", "the window is 20 s"];
    assert_rejected("the cluster's wait", &with(""), "window = ", &window);
    // 2 x 8 s + 0.9 s + 1.8 s + 3 x 0.1 s are under 20 s.
    let shorter = with("connect-timeout = \"100ms\"");
    assert_eq!(errors(&shorter), Vec::<String>::new());
    let file = file::parse("f", shorter.as_bytes()).unwrap();
    let config = balancer_config(&file, "bench", &file.clusters["bench"]);
    let number = config.classes["queue-run"].class_number(Effect::Idempotent).unwrap() as usize;
    assert_eq!(config.retry_policies[number].connect_timeout, 100_000_000);
    let other = config.classes["run-logs"].class_number(Effect::Safe).unwrap() as usize;
    assert_eq!(config.retry_policies[other].connect_timeout, 2_000_000_000);
    let over = behind("[classes.run-logs]", "connect-timeout = \"3s\"");
    assert_rejected(
        "more",
        &over,
        "connect-timeout = \"3s\"",
        &["over cluster 'bench''s own, 200ms"],
    );
    let over = behind("[classes.run-logs]", "idle-timeout = \"20s\"");
    assert_rejected("rest", &over, "idle-timeout = \"20s\"", &["over cluster 'bench''s own, 15s"]);
    // What is inherited is cut to what the cluster has.
    let all = behind("sockets = 256", "[defaults]\nconnect-timeout = \"3s\"");
    assert_eq!(errors(&all), Vec::<String>::new());
}

#[test]
fn no_file_has_flash_device_sent_twice() {
    let flash = "[classes.flash-device]";
    let again = "an unsafe request would be sent again after an attempt that may have run";
    let copy = "an unsafe request would have a second copy beside one that may have run";
    let copies = |text: String| {
        text.replacen("zone = \"charguia\"\n", "zone = \"charguia\"\nsecond-copies = true\n", 1)
    };
    let direct = behind(flash, "retry-on = \"may-have-run\"");
    assert_rejected(
        "directly",
        &direct,
        "retry-on",
        &[again, TWICE, "class 'flash-device' at cluster 'bench'"],
    );
    let direct = copies(behind(flash, "hedge = { after = \"p95\" }"));
    assert_rejected("a copy, directly", &direct, "hedge", &[copy, TWICE]);
    // What safe classes may have is inherited by all.
    let by_default = behind("sockets = 256", "[defaults]\nretry-on = \"may-have-run\"");
    assert_rejected("through a default", &by_default, "retry-on", &[again, "'flash-device'"]);
    let hedged =
        copies(behind("sockets = 256", "[defaults]\nhedge = { after = \"30ms\", share = 0.1 }"));
    let hedged_queue = hedged.replacen("window = \"20s\"", "window = \"20s\"\nhedge = false", 1);
    assert_rejected(
        "a copy, through a default",
        &hedged_queue,
        "hedge = {",
        &[copy, "'flash-device'"],
    );
    let mended = hedged_queue.replacen(flash, &format!("{flash}\nhedge = false"), 1);
    assert_eq!(errors(&mended), Vec::<String>::new());
    let route = "class = \"flash-device\"";
    let over = behind(route, "overrides = { retry-on = \"may-have-run\" }");
    assert_rejected("through a route", &over, "overrides", &[again, TWICE]);
    let over = copies(behind(route, "overrides = { hedge = { after = \"1s\" } }"));
    assert_rejected("a copy, through a route", &over, "overrides", &[copy, TWICE]);
    let milder = behind(route, "effect = \"safe\"");
    assert_rejected(
        "by its effect",
        &milder,
        "[[routes]]",
        &["makes requests of class 'flash-device' safe", TWICE],
    );
    // A header, or a method, that turns the same requests into another class.
    let by_header = format!(
        "{LAB}\n[[routes]]\nname = \"fast\"\nregex = \"/devices/[^/]+/flash\"\nmethods = [\"POST\"]\n\
         headers = {{ x-fast = true }}\nclass = \"queue-run\"\ncluster = \"bench\"\n"
    );
    assert_rejected(
        "by a header",
        &by_header,
        "[[routes]]",
        &["says are unsafe would be keyed here", TWICE],
    );
    let by_method = LAB.replacen(
        "methods = [\"POST\"]\nclass = \"flash-device\"",
        "class = \"flash-device\"",
        1,
    )
        + "\n[[routes]]\nname = \"peek\"\nregex = \"/devices/[^/]+/flash\"\nmethods = [\"GET\"]\n\
           class = \"run-logs\"\ncluster = \"bench\"\n";
    assert_rejected(
        "by a method",
        &by_method,
        "[[routes]]",
        &["says are unsafe would be safe here", "different methods"],
    );
    // Two routes that share no method are two kinds of request.
    let apart = format!(
        "{LAB}\n[[routes]]\nname = \"peek\"\nregex = \"/devices/[^/]+/flash\"\nmethods = [\"GET\"]\n\
         class = \"run-logs\"\ncluster = \"bench\"\n"
    );
    assert_eq!(errors(&apart), Vec::<String>::new());
    // A POST in a safe class is unsafe by itself.
    let still = by_header.replacen("class = \"queue-run\"\ncluster = \"bench\"\n", "", 0).replace(
        "headers = { x-fast = true }\nclass = \"queue-run\"",
        "headers = { x-fast = true }\nclass = \"run-logs\"",
    );
    assert_eq!(errors(&still), Vec::<String>::new());
}

#[test]
fn no_queue_run_is_sent_after_its_window() {
    let long =
        |more: &str| LAB.replacen("deadline = \"4s\"", &format!("deadline = \"30s\"\n{more}"), 1);
    // Nothing bounds the first attempt but the deadline.
    assert_rejected(
        "no time for each try",
        &long(""),
        "window",
        &["no per-try time-out", "the window is 20 s", TWICE],
    );
    let sum = long("per-try-timeout = \"8s\"\nbackoff = { first = \"1.8s\", most = \"3.6s\" }");
    assert_rejected(
        "the sum",
        &sum,
        "window",
        &[
            "attempt 3 could reach a server at 22 s",
            "2 x 8 s per try + 2 x 200 ms connecting + 5.4 s backoff",
            TWICE,
        ],
    );
    for less in [
        sum.replacen("\"8s\"", "\"5s\"", 1),
        sum.replacen("first = \"1.8s\", most = \"3.6s\"", "first = \"100ms\"", 1),
        sum.replacen("per-try-timeout", "max-attempts = 2\nper-try-timeout", 1),
    ] {
        assert_eq!(errors(&less), Vec::<String>::new());
    }
    let connect = long("per-try-timeout = \"8s\"\nbackoff = { first = \"500ms\", most = \"1s\" }");
    assert_eq!(errors(&connect), Vec::<String>::new());
    let connect = connect.replacen("connect-timeout = \"200ms\"", "connect-timeout = \"2s\"", 1);
    assert_rejected("by its connections", &connect, "window", &["2 x 2 s connecting", TWICE]);
    let over = LAB.replacen(
        "class = \"queue-run\"\n",
        "class = \"queue-run\"\noverrides = { deadline = \"40s\" }\n",
        1,
    );
    assert_rejected("through a route", &over, "window", &["the deadline, 40 s", TWICE]);
    let client = LAB.replacen("window = \"20s\"", "window = \"20s\"\nclient-retries = 2", 1);
    assert_rejected(
        "its client's",
        &client,
        "client-retries",
        &["a client's own retry could reach a server at 22 s", TWICE],
    );
    let hedge = LAB
        .replacen(
            "window = \"20s\"",
            "window = \"20s\"\ndedup-group = \"zone\"\nhedge = { after = \"1s\" }",
            1,
        )
        .replacen("zone = \"charguia\"\n", "zone = \"charguia\"\nsecond-copies = true\n", 1);
    assert_rejected("a copy", &hedge, "hedge", &["outside the first one's dedup group", TWICE]);
    // The file that was taken without a word.
    let measured = "listen = \"127.0.0.1:1\"\n[classes.q]\neffect = \"keyed\"\nwindow = \"20s\"\n\
        deadline = \"300s\"\n[clusters.c]\nendpoints = \"127.0.0.1:2\"\nmax-attempts = 6\n\
        connect-timeout = \"30s\"\n[[routes]]\nclass = \"q\"\ncluster = \"c\"\n";
    assert_rejected(
        "the measured file",
        measured,
        "window",
        &["300 s", "the window is 20 s", TWICE],
    );
    let split = LAB.replacen(
        "class = \"queue-run\"\ncluster = \"bench\"",
        "class = \"queue-run\"\nclusters = { bench = 1, other = 1 }",
        1,
    ) + "\n[clusters.other]\nendpoints = \"127.0.0.1:9004\"\n";
    assert_rejected(
        "to another cluster",
        &split,
        "[[routes]]",
        &["which does not know its key", TWICE],
    );
    let sticky =
        split.replacen("other = 1 }", "other = 1 }\nsticky = \"header:idempotency-key\"", 1);
    assert_eq!(errors(&sticky), Vec::<String>::new());
}

#[test]
fn times_and_attempts_must_fit() {
    let status = |more: &str| {
        LAB.replacen("deadline = \"1.2s\"", &format!("deadline = \"1.2s\"\n{more}"), 1)
    };
    assert_rejected(
        "over the whole",
        &status("per-try-timeout = \"2s\""),
        "per-try",
        &["one try may take longer than the whole request, 1.2 s"],
    );
    assert_rejected(
        "no room",
        &status("per-try-timeout = \"600ms\"\nmax-attempts = 3"),
        "max-attempts",
        &["attempt 3 cannot fit: 2 x per-try-timeout is 1.2 s"],
    );
    // Nobody asked for three.
    assert_eq!(errors(&status("per-try-timeout = \"600ms\"")), Vec::<String>::new());
    assert_rejected(
        "no copies there",
        &status("hedge = { after = \"p95\" }"),
        "hedge",
        &["does not allow two attempts", "second-copies = true"],
    );
    assert_rejected("a copy of no time", &status("hedge = true"), "hedge", &["when a copy goes"]);
    assert_rejected(
        "too many copies",
        &status("hedge = { after = \"p95\", share = 0.9 }").replacen(
            "zone = \"charguia\"\n",
            "zone = \"charguia\"\nsecond-copies = true\n",
            1,
        ),
        "hedge",
        &["0.9 is not between 0 and 0.5"],
    );
    assert_rejected(
        "a falling pause",
        &status("backoff = { first = \"2s\", most = \"1s\" }"),
        "backoff",
        &["shorter than the first"],
    );
    assert_rejected(
        "a word",
        &status("per-try-timeout = \"soon\""),
        "per-try",
        &["'soon'", "\"adaptive\" or \"none\""],
    );
    assert_rejected(
        "seven",
        &status("max-attempts = 7"),
        "max-attempts",
        &["7 is not between 1 and 6"],
    );
    let pointless = LAB.replacen(
        "[classes.flash-device]",
        "[classes.flash-device]\nper-try-timeout = \"1s\"",
        1,
    );
    assert_rejected("nothing to follow", &pointless, "per-try", &["no attempt may follow"]);
    // Inherited, it harms nothing.
    assert_eq!(
        errors(&behind("sockets = 256", "[defaults]\nper-try-timeout = \"1s\"")),
        Vec::<String>::new()
    );
}

#[test]
fn a_class_that_states_only_its_times_gets_good_ones() {
    let file = file::parse("f", LAB.as_bytes()).unwrap();
    let config = balancer_config(&file, "bench", &file.clusters["bench"]);
    let number = |class: &str, effect| config.classes[class].class_number(effect).unwrap() as usize;
    let status = &config.retry_policies[number("device-status", Effect::Safe)];
    assert_eq!((status.attempt_timeout, status.max_attempts), (AttemptTimeout::Adaptive, 3));
    let TimeoutBounds { min, max } = status.timeout_bounds;
    assert_eq!(min, 200_000_000, "half its aim");
    assert_eq!(max, 400_000_000, "what is answered within the aim is not cut");
    let queue = number("queue-run", Effect::Idempotent);
    let window = config.settings.classes[queue].window();
    assert_eq!(
        (config.retry_policies[queue].attempt_timeout, window),
        (AttemptTimeout::Deadline, Some(20_000_000_000))
    );
    let over = LAB.replacen(
        "class = \"run-logs\"\n",
        "class = \"run-logs\"\noverrides = { max-attempts = 2, deadline = \"2s\" }\n",
        1,
    );
    let file = file::parse("f", over.as_bytes()).unwrap();
    let config = balancer_config(&file, "bench", &file.clusters["bench"]);
    let policy = &file.routes[1].policy;
    let number = config.classes[policy].class_number(Effect::Safe).unwrap() as usize;
    assert_eq!(config.settings.classes[number].max_attempts, 2);
    assert_eq!(config.classes[policy].deadline, 2_000_000_000);
    assert!(!config.classes.contains_key("run-logs"), "nothing goes by it");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// Of random files those that are taken lay out nothing that breaks a rule, and those that
    /// are refused for a schedule have one that does.
    #[test]
    fn a_file_is_taken_if_and_only_if_its_schedules_keep_the_rules(
        effect in prop::sample::select(vec!["safe", "keyed", "unsafe"]),
        (deadline, window, connect) in (100u32..30_000, 1_000u32..30_000, 1u32..3_000),
        per_try in prop::option::of(50u32..20_000),
        attempts in prop::option::of(1u32..=6),
        (first, most) in (0u32..3_000, 0u32..6_000),
        retry_on in prop::option::of(prop::sample::select(vec!["never-ran", "may-have-run"])),
        (hedged, copies, over) in (any::<bool>(), any::<bool>(), any::<bool>()),
    ) {
        let mut class = format!("effect = \"{effect}\"\naim = \"100ms\"\ndeadline = \"{deadline}ms\"\n");
        if effect == "keyed" {
            class += &format!("window = \"{window}ms\"\n");
        }
        let mut tries = format!("backoff = {{ first = \"{first}ms\", most = \"{}ms\" }}", most.max(first));
        if let Some(per_try) = per_try {
            tries += &format!(", per-try-timeout = \"{per_try}ms\"");
        }
        if let Some(attempts) = attempts {
            tries += &format!(", max-attempts = {attempts}");
        }
        if let Some(retry_on) = retry_on {
            tries += &format!(", retry-on = \"{retry_on}\"");
        }
        if hedged {
            tries += ", hedge = { after = \"50ms\" }";
        }
        // The same settings by the class, or by the route.
        let (by_class, by_route) = match over {
            true => (String::new(), format!("overrides = {{ {tries} }}\n")),
            false => (tries.replace(", per", "\nper").replace(", max", "\nmax").replace(", retry", "\nretry").replace(", hedge", "\nhedge"), String::new()),
        };
        let text = format!(
            "listen = \"127.0.0.1:1\"\n[classes.c]\n{class}{by_class}\n[clusters.a]\nendpoints = \"127.0.0.1:2\"\n\
             connect-timeout = \"{connect}ms\"\nsecond-copies = {copies}\n[[routes]]\nclass = \"c\"\ncluster = \"a\"\n{by_route}"
        );
        let read = file::parse("f", text.as_bytes());
        if let Ok(file) = read {
            let policy = &file.classes[&file.routes[0].policy];
            let schedule = attempt_schedule(policy, policy.effect, &file.clusters["a"]);
            prop_assert!(schedule.violations().is_empty(), "{text}");
            let config = balancer_config(&file, "a", &file.clusters["a"]);
            for (retry, class) in config.retry_policies.iter().zip(&config.settings.classes) {
                let safe = class.effect == Effect::Safe;
                prop_assert!(retry.hedge.is_none() || (safe && copies), "{text}");
                prop_assert_eq!(retry.max_attempts, class.max_attempts);
                prop_assert!(class.max_attempts <= config.settings.max_attempts);
            }
        } else {
            let errors = errors(&text);
            prop_assert!(errors.iter().all(|e| e.contains("class 'c' at cluster 'a'")), "{errors:?}");
        }
    }
}
