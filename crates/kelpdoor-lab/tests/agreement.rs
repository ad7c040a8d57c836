//! Runs real directors and voters through cuts, stalls, kills and a lost disk while their agreed settings change, and tests
//! the agreement check on constructed records that violate each property.

use kelpdoor_lab::agreement_check::check_agreement;
use kelpdoor_lab::chaos;
use kelpdoor_lab::record::{Entry, Event};
use kelpdoor_lab::trouble::TroubleScript;

/// Runs a script and asserts that no property is violated.
async fn run_without_violations(name: &str, text: &str) -> chaos::RunResult {
    let dir = tempfile::tempdir().expect("temporary directory");
    let script = TroubleScript::parse(name, text).expect("valid script");
    let program = env!("CARGO_BIN_EXE_kelpdoor-lab").as_ref();
    let result = chaos::run(&script, program, dir.path()).await.expect("completed run");
    let logs: String = std::fs::read_dir(dir.path())
        .expect("log directory")
        .filter_map(|f| f.ok().map(|f| f.path()).filter(|p| p.extension().is_some_and(|e| e == "log")))
        .map(|p| format!("{}\n{}\n", p.display(), std::fs::read_to_string(&p).unwrap_or_default()))
        .collect();
    assert!(result.passed(), "{:#?}\n{logs}", result.violations());
    result
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cuts_while_rules_change_violate_no_property() {
    let result =
        run_without_violations("agreement-day.star", include_str!("../scripts/agreement-day.star")).await;
    // The faults took effect: versions changed under load, and directors that were cut off refused requests.
    let verdict = &result.agreement;
    assert!(
        verdict.versions >= 5
            && verdict.acknowledged >= 5
            && verdict.setups > 250
            && verdict.merged_setups > 10,
        "{verdict:?}"
    );
    assert!(result.rules.busy > 5 && result.rules.playing > 250, "{:?}", result.rules);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_late_by_a_lease_or_missing_let_no_director_act_on_the_old_version_alone() {
    let result =
        run_without_violations("late-answers.star", include_str!("../scripts/late-answers.star")).await;
    let verdict = &result.agreement;
    assert!(verdict.versions >= 6 && verdict.setups > 200 && verdict.merged_setups > 10, "{verdict:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_all_founding_voters_violates_no_property() {
    let result = run_without_violations("voters-day.star", include_str!("../scripts/voters-day.star")).await;
    // Voter lists and later documents were agreed: by 2, 3 and 4 of five voters, and by 3 and 5 of three. One of them may come
    // too late.
    let verdict = &result.agreement;
    assert!(
        verdict.versions >= 6
            && verdict.acknowledged >= 6
            && verdict.setups > 250
            && verdict.calm_setups > 20,
        "{verdict:?}"
    );
}

fn setup(t: f64, label: &str, rung: u8) -> Entry {
    let text = format!(
        "SETUP rtsp://n/title RTSP/2.0\r\nCSeq: 1\r\nRung: {rung}\r\nService-Group: story\r\nRules-Version: {label}\r\n\r\n"
    );
    Entry { t, what: Event::Node { node: 1, conn: 1, got: true, text } }
}

fn proposed(t: f64, digest: &str, story_floor: u8) -> Entry {
    Entry {
        t,
        what: Event::Proposed {
            change: 0,
            digest: digest.into(),
            after: 0,
            story_floor,
            without: Vec::new(),
        },
    }
}

fn outcome(t: f64, said: &str) -> Entry {
    Entry { t, what: Event::Outcome { change: 0, digest: String::new(), said: said.into() } }
}

fn calm(t: f64) -> Entry {
    Entry { t, what: Event::Calm }
}

/// Descriptions of the violations, without line numbers.
fn violations(lines: &[Entry]) -> Vec<String> {
    check_agreement(lines, 2.0).violations.into_iter().map(|b| b.1).collect()
}

#[test]
fn permitted_record_has_no_violations() {
    let permitted = [
        proposed(0.0, "aa", 0),
        outcome(0.1, "agreed 1/aa"),
        setup(0.2, "1/aa", 0),
        proposed(1.0, "bb", 1),
        setup(1.1, "2/bb beside 1/aa", 1),
        outcome(1.1, "agreed 2/bb"),
        setup(1.9, "1/aa", 0),
        setup(2.2, "2/bb", 1),
        setup(2.4, "2/bb beside 1/aa", 1),
        calm(10.0),
        setup(16.0, "2/bb", 3),
    ];
    let verdict = check_agreement(&permitted, 2.0);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    assert_eq!(
        (verdict.versions, verdict.acknowledged, verdict.setups, verdict.merged_setups, verdict.calm_setups),
        (2, 2, 6, 2, 1)
    );
    assert!((verdict.max_mixed - 0.2).abs() < 1e-9 && verdict.max_older_alone == 0.0, "{verdict:?}");
}

#[test]
fn each_violated_property_is_reported() {
    let two_contents = [setup(0.0, "1/aa", 0), setup(0.1, "1/ab", 0), calm(1.0)];
    assert_eq!(violations(&two_contents), ["version 1 has two contents, aa and ab"]);
    let lost_version = [outcome(0.0, "agreed 1/aa"), setup(0.1, "1/cc", 0), calm(1.0)];
    assert_eq!(violations(&lost_version), ["version 1 has two contents, aa and cc"]);
    let older_alone = [setup(0.0, "2/bb", 0), setup(0.3, "1/aa", 0), calm(9.0)];
    let found = violations(&older_alone);
    assert!(
        found[0].starts_with("a director acted on version 1 alone 0.30 s after another acted on 2"),
        "{found:?}"
    );
    let mixed = [setup(0.0, "2/bb", 0), setup(2.5, "2/bb beside 1/aa", 0), calm(9.0)];
    let found = violations(&mixed);
    assert!(found.len() == 1 && found[0].contains("1 for what is not merged 2.50 s after"), "{found:?}");
    let not_adopted = [outcome(0.0, "agreed 2/bb"), setup(2.5, "1/aa", 0), calm(9.0)];
    assert_eq!(violations(&not_adopted), ["version 2 was acknowledged 2.50 s ago, and 1 is acted on"]);
    let below_floor =
        [proposed(0.0, "aa", 0), proposed(0.0, "bb", 1), setup(0.1, "2/bb beside 1/aa", 0), calm(1.0)];
    assert_eq!(violations(&below_floor), ["rung 0 under the floor 1 of the versions it names"]);
    let mut drains = proposed(0.0, "bb", 0);
    if let Event::Proposed { without, .. } = &mut drains.what {
        *without = vec![1];
    }
    let drained = [drains, setup(0.1, "2/bb beside 1/aa", 0), calm(1.0)];
    assert_eq!(violations(&drained), ["a SETUP at node 1, which version 2 drains or does not list"]);
    // Every version of a range counts, also those that are not named.
    let range = [
        proposed(0.0, "aa", 0),
        proposed(0.0, "bb", 1),
        proposed(0.0, "cc", 0),
        outcome(0.0, "agreed 2/bb"),
        setup(0.1, "4/dd beside 3/cc to 1/aa", 0),
        calm(1.0),
    ];
    assert_eq!(violations(&range), ["rung 0 under the floor 1 of the versions it names"]);
    // After a SETUP that names nothing older than version 3, no director may act on version 2 as its newest.
    let dropped = [setup(0.0, "4/dd beside 3/cc", 0), setup(0.3, "2/bb beside 1/aa", 0), calm(9.0)];
    let found = violations(&dropped);
    assert!(found[0].starts_with("a director acted on version 2 alone 0.30 s after another"), "{found:?}");
    assert_eq!(
        violations(&[setup(0.0, "4/dd beside 1/aa to 3/cc", 0), calm(1.0)]),
        ["a SETUP that names no version"]
    );
    let not_converged = [
        setup(0.0, "1/aa", 0),
        setup(0.1, "2/bb beside 1/aa", 0),
        calm(1.0),
        setup(6.5, "2/bb beside 1/aa", 0),
    ];
    assert_eq!(violations(&not_converged), ["5.5 s after the last trouble 2 is acted on, the newest is 2"]);
    let unnamed = [
        Entry {
            t: 0.0,
            what: Event::Node { node: 1, conn: 1, got: true, text: "SETUP x RTSP/2.0\r\n\r\n".into() },
        },
        calm(1.0),
    ];
    assert_eq!(violations(&unnamed), ["a SETUP that names no version"]);
    assert_eq!(
        violations(&[setup(0.0, "1/aa", 0)]),
        ["the troubles never ended: nothing is known of what comes after"]
    );
    let mut idle = vec![calm(1.0)];
    for k in 0..12 {
        let text = r#"{"type":"busy","key":"k"}"#.to_owned();
        let what = Event::Player { player: k, director: 3, boot: 1, got: true, text };
        idle.push(Entry { t: 7.0, what });
    }
    assert_eq!(violations(&idle), ["director 3 sets nothing up after the last trouble, of 12 requests"]);
}

#[test]
fn schedule_of_a_seed_is_reproducible_and_parses() {
    let size = chaos::ScheduleSize { directors: 5, voters: 3, seconds: 50.0, max_reruns: 0 };
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let lines = chaos::schedule(seed, size);
        assert_eq!(lines, chaos::schedule(seed, size));
        let script = chaos::parse_schedule(&lines).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        kinds.extend(script.troubles.iter().map(|(kind, _)| format!("{kind:?}")));
    }
    assert_eq!(kinds.len(), 13, "{kinds:?}");
}
