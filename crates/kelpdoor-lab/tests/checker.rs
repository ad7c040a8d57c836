//! Tests of the checker: for each rule a record that keeps it and one that violates it, with the line that is named.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use expect_test::{Expect, expect};
use kelpdoor_lab::check::check;
use kelpdoor_lab::fleet::{director_script, settings};
use kelpdoor_lab::record::{Entry, Event};
use kelpdoor_lab::trouble::DaySettings;
use kelpdoor_script::Deployment;

/// Builds a record, with a clock of its own.
struct RecordBuilder {
    t: f64,
    lines: Vec<Entry>,
    cseq: u32,
}

impl RecordBuilder {
    /// Starts a record with one director, and warm nodes 0 and 1 in the zone east and 9 in west.
    fn new() -> RecordBuilder {
        let size = DaySettings::default();
        let script =
            director_script(&settings(&size, ""), &size, 0, "127.0.0.1:1".parse().unwrap(), "x".as_ref());
        let deployment = Deployment::parse("s", &script).expect("good settings");
        let mut record = RecordBuilder { t: 100.0, lines: Vec::new(), cseq: 0 };
        record.push(Event::Settings { text: serde_json::to_string(&deployment).unwrap() });
        record.push(Event::Director { director: 0, boot: 1, event: "started".into() });
        for (node, zone) in [(0, "east"), (1, "east"), (9, "west")] {
            record.node_up(node, false, zone);
            record.list_node(node, "ready");
        }
        record
    }

    fn push(&mut self, what: Event) -> usize {
        self.lines.push(Entry { t: self.t, what });
        self.lines.len()
    }

    fn node_up(&mut self, node: u32, cold: bool, zone: &str) {
        self.push(Event::NodeUp { node, cold, places: 26.0, zone: zone.into(), cell: node as u16 });
        let hello = "OPTIONS rtsp://n/ RTSP/2.0\r\nCSeq: 0\r\nUser-Agent: kelpdoor/0 (director 0)\r\n\r\n";
        self.push(Event::Node { node, conn: 1, got: true, text: hello.into() });
    }

    fn list_node(&mut self, node: u32, phase: &str) {
        let up_since = self.t;
        let text =
            format!(r#"{{"change":{{"nodes":[{{"id":{node},"phase":"{phase}","up_since":{up_since}}}]}}}}"#);
        self.push(Event::Roster { director: 0, text });
    }

    fn wait(&mut self, s: f64) -> &mut Self {
        self.t += s;
        self
    }

    fn player(&mut self, got: bool, text: String) -> usize {
        self.push(Event::Player { player: 1, director: 0, boot: 1, got, text })
    }

    fn start(&mut self, key: &str, group: &str) -> usize {
        self.player(false, format!(r#"{{"type":"start","key":"{key}","group":"{group}","setup_timeout":3}}"#))
    }

    fn answer(&mut self, key: &str, kind: &str) -> usize {
        self.player(true, format!(r#"{{"type":"{kind}","key":"{key}"}}"#))
    }

    fn setup(&mut self, key: &str, group: &str, node: u32, rung: u8) -> (u32, u32) {
        self.cseq += 1;
        let text = format!(
            "SETUP rtsp://n/title-01 RTSP/2.0\r\nCSeq: {}\r\nPipelined-Requests: {}\r\nRung: {rung}\r\n\
             Service-Group: {group}\r\nRequest-Key: {key}\r\n\r\n",
            self.cseq, self.cseq
        );
        self.push(Event::Node { node, conn: 1, got: true, text });
        (node, self.cseq)
    }

    fn respond(&mut self, (node, cseq): (u32, u32), status: u16) {
        let text = format!("RTSP/2.0 {status} X\r\nCSeq: {cseq}\r\nSession: s{cseq}\r\n\r\n");
        self.push(Event::Node { node, conn: 1, got: false, text });
    }

    fn teardown(&mut self, (node, pipe): (u32, u32)) {
        let text =
            format!("TEARDOWN rtsp://n/ RTSP/2.0\r\nCSeq: 9{pipe}\r\nPipelined-Requests: {pipe}\r\n\r\n");
        self.push(Event::Node { node, conn: 1, got: true, text });
    }

    fn assert_violations(&self, expected: Expect) {
        let v = check(&self.lines);
        let shown: Vec<String> =
            v.violations.iter().map(|b| format!("rule {}, line {}: {}", b.rule, b.line, b.what)).collect();
        expected.assert_eq(&shown.join("\n"));
    }
}

#[test]
fn rule_1_late_missing_or_second_answer_is_violation() {
    let mut record = RecordBuilder::new();
    record.start("key-good", "story");
    record.wait(2.9).answer("key-good", "busy");
    record.assert_violations(expect![[""]]);
    record.start("key-late", "story");
    record.wait(3.1).answer("key-late", "playing");
    record.start("key-none", "story");
    record.start("key-both", "story");
    record.wait(0.1).answer("key-both", "busy");
    record.wait(0.1).answer("key-both", "playing");
    record.assert_violations(expect![[r#"
        rule 1, line 14: key-late: playing came 0.100 s too late
        rule 1, line 16: key-none: no answer within its 3 s
        rule 1, line 19: key-both: 2 final answers to 1 requests, kinds true"#]]);
}

#[test]
fn rule_1_missing_answer_of_killed_director_is_excused() {
    let mut record = RecordBuilder::new();
    record.start("key-lost", "story");
    record.wait(1.0).push(Event::Director { director: 0, boot: 1, event: "killed".into() });
    record.assert_violations(expect![[""]]);
    assert_eq!(check(&record.lines).excused, 1);
}

#[test]
fn rule_2_second_setup_before_teardown_is_violation() {
    let mut record = RecordBuilder::new();
    let first = record.setup("key-good", "story", 0, 0);
    record.wait(0.5).teardown(first);
    record.setup("key-good", "story", 1, 0);
    record.assert_violations(expect![[""]]);
    record.setup("key-bad", "story", 0, 0);
    record.wait(0.5).setup("key-bad", "story", 1, 0);
    record.assert_violations(expect![
        "rule 2, line 16: key-bad: a second SETUP while line 15's is out or plays"
    ]);
}

#[test]
fn rule_2_repeat_that_group_forbids_is_violation() {
    let mut record = RecordBuilder::new();
    let first = record.setup("key-good", "paid", 0, 0);
    record.wait(0.1).respond(first, 453);
    record.setup("key-good", "paid", 1, 0);
    let first = record.setup("key-zone", "reading", 0, 1);
    record.wait(0.5).teardown(first);
    record.setup("key-zone", "reading", 1, 1);
    record.assert_violations(expect![[""]]);
    let first = record.setup("key-paid", "paid", 0, 0);
    record.wait(0.5).teardown(first);
    record.setup("key-paid", "paid", 1, 0);
    let first = record.setup("key-far", "reading", 0, 1);
    record.wait(0.5).teardown(first);
    record.setup("key-far", "reading", 9, 1);
    record.start("key-busy", "paid");
    let first = record.setup("key-busy", "paid", 0, 0);
    record.wait(0.5).teardown(first);
    record.answer("key-busy", "busy");
    record.assert_violations(expect![[r#"
        rule 2, line 20: key-paid: set up again though line 18's may have run
        rule 2, line 23: key-far: set up again though line 21's may have run
        rule 2, line 27: key-busy: busy though line 25's SETUP may have run"#]]);
}

#[test]
fn rule_3_setup_after_drain_grace_is_violation() {
    let mut record = RecordBuilder::new();
    record.wait(1.0).list_node(0, "draining");
    record.wait(0.9).setup("key-good", "story", 0, 0);
    record.assert_violations(expect![[""]]);
    record.wait(0.5).setup("key-bad", "story", 0, 0);
    record.assert_violations(expect![
        "rule 3, line 14: director 0 sent to node 0 0.40 s past the grace, draining"
    ]);
}

#[test]
fn rule_4_setups_above_cold_limit_are_violation() {
    let mut record = RecordBuilder::new();
    record.node_up(1, true, "east");
    record.list_node(1, "ready");
    // The limit is 4 x 2 s x 0.4 (warmth) x 26 places / 8 s = 10.4 SETUPs in two seconds.
    for k in 0..10 {
        record.wait(0.01).setup(&format!("key-{k:04}"), "story", 1, 0);
    }
    record.assert_violations(expect![[""]]);
    record.wait(0.01).setup("key-more", "story", 1, 0);
    record.assert_violations(expect!["rule 4, line 25: cold node 1 got 11 SETUPs in 2 s, it bears 10.6"]);
}

#[test]
fn rule_5_rung_under_floor_or_session_above_seats_is_violation() {
    let mut record = RecordBuilder::new();
    for k in 0..20 {
        let out = record.setup(&format!("key-{k:04}"), "lecture", 0, 0);
        record.respond(out, 200);
    }
    record.setup("key-floor", "reading", 0, 1);
    record.assert_violations(expect![[""]]);
    record.setup("key-seat", "lecture", 0, 0);
    record.setup("key-under", "reading", 0, 0);
    record.assert_violations(expect![[r#"
        rule 5, line 53: director 0 holds 21 of title-01 in lecture, 20 seats
        rule 5, line 54: rung 0 under the floor 1 of reading"#]]);
}

#[test]
fn rule_6_further_setup_above_budget_is_violation() {
    let mut record = RecordBuilder::new();
    // The budget is 4, and one for every four sessions taken.
    for k in 0..6 {
        let key = format!("key-{k:04}");
        record.start(&key, "story");
        let first = record.setup(&key, "story", 0, 0);
        record.wait(0.3).respond(first, 453);
        record.setup(&key, "story", 1, 0);
        record.answer(&key, "playing");
        if k == 4 {
            record.assert_violations(expect![[""]]);
        }
    }
    record.assert_violations(expect!["rule 6, line 40: director 0: 6 further SETUPs in 10 s, 5.5 allowed"]);
}

#[test]
fn rule_8_third_late_setup_is_violation() {
    let mut record = RecordBuilder::new();
    record.node_up(1, false, "a");
    for k in 0..4 {
        let key = format!("gone-{k}");
        record.start(&key, "story");
        record.player(false, format!(r#"{{"type":"leave","key":"{key}"}}"#));
        // A SETUP 0.05 s after the viewer left is not late.
        record.wait(if k == 0 { 0.05 } else { 0.2 });
        let setup = record.setup(&key, "story", 1, 1);
        record.teardown(setup);
    }
    // Three SETUPs are late; only the third is a violation.
    let verdict = check(&record.lines);
    let broken: Vec<u8> = verdict.violations.iter().map(|b| b.rule).collect();
    assert_eq!(
        (verdict.left_early, verdict.late_setups, broken),
        (4, 3, vec![8]),
        "{:#?}",
        verdict.violations
    );
}

#[test]
fn record_read_from_file_equals_what_was_written() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("r.zst");
    let (recorder, file) = kelpdoor_lab::record::Recorder::to_file(&path).unwrap();
    let record = RecordBuilder::new();
    record.lines.iter().for_each(|l| recorder.record(l.what.clone()));
    file.finish().unwrap();
    let back: Vec<Event> = kelpdoor_lab::record::read(&path).unwrap().into_iter().map(|l| l.what).collect();
    assert_eq!(back, record.lines.into_iter().map(|l| l.what).collect::<Vec<_>>());
}

#[test]
fn drawn_day_is_scaled_to_script() {
    let day = r#"{"noise": 42, "length": 5e7, "zones": [{}], "balancers": [{},{},{},{},{},{}], "fam": {"racks": 4},
        "traffic": {"load": 0.7}, "discovery": {"notice": 2000000},
        "servers": [SERVERS],
        "troubles": [
          {"kind": "crash", "at": 5e6, "len": 8e6, "size": 0, "extra": 0, "on": [0, 47], "steps": []},
          {"kind": "slow", "at": 6e6, "len": 8e6, "size": 2.5, "extra": 0, "on": [10], "steps": []},
          {"kind": "origin_slow", "at": 7e6, "len": 8e6, "size": 4, "extra": 0, "on": [], "steps": []},
          {"kind": "deploy", "at": 9e6, "len": 2e7, "size": 0.1, "extra": 3, "on": [],
           "steps": [{"at": 9e6, "stop": [4, 5]}, {"at": 1.2e7, "stop": [8]}]},
          {"kind": "balancer_roll", "at": 1e7, "len": 1e7, "size": 0.2, "extra": 1.2, "on": [],
           "steps": [{"at": 1e7, "stop": [5]}]},
          {"kind": "something_new", "at": 1e7, "len": 1e7, "size": 0.2, "extra": 1.2, "on": [], "steps": []}]}"#;
    let day = day.replace("SERVERS", &vec![r#"{"up": true}"#; 48].join(","));
    expect![[r##"
        # From a drawn day: 24 nodes of 48, 4 directors of 6.
        day(seconds = 50, directors = 4, nodes = 24, racks = 4, zones = ["room-0"], players = 338, class_of = 0, roster_lag = 2.00, seed = 42)
        crash(at = 5.00, lasts = 8.00, nodes = [0, 23])
        slow(at = 6.00, lasts = 8.00, nodes = [5], factor = 0.400)
        rack_sag(at = 7.00, lasts = 8.00, racks = [0, 1], factor = 0.250)
        deploy(at = 9.00, lasts = 20.00, nodes = [2, 4], notice = 3.00)
        balancer_roll(at = 10.00, lasts = 10.00, directors = [3], notice = 1.20)
        # "something_new" at 10.0 s has no counterpart here
    "##]].assert_eq(&kelpdoor_lab::drawn_day::to_script(&day).expect("a script"));
    assert!(kelpdoor_lab::drawn_day::to_script("{}").is_err());
}

impl RecordBuilder {
    /// Adds a request with a token whose session plays from now on.
    fn play_with_token(&mut self, key: &str, id: &str, node: u32) -> (u32, u32) {
        let claims = URL_SAFE_NO_PAD.encode(format!(r#"{{"school":"olaf","jti":"{id}","exp":9e9}}"#));
        self.player(
            false,
            format!(
                r#"{{"type":"start","key":"{key}","group":"story","setup_timeout":3,"token":"h.{claims}.s"}}"#
            ),
        );
        let out = self.setup(key, "story", node, 0);
        let (node, pipe) = out;
        let play = format!("PLAY rtsp://n/ RTSP/2.0\r\nCSeq: 8{pipe}\r\nPipelined-Requests: {pipe}\r\n\r\n");
        self.push(Event::Node { node, conn: 1, got: true, text: play });
        let ok = format!("RTSP/2.0 200 OK\r\nCSeq: 8{pipe}\r\n\r\n");
        self.push(Event::Node { node, conn: 1, got: false, text: ok });
        self.answer(key, "playing");
        out
    }
}

#[test]
fn rule_7_token_above_seats_or_at_two_directors_is_violation() {
    let mut record = RecordBuilder::new();
    record.push(Event::Schools { seats: 1 });
    let first = record.play_with_token("key-good", "a", 0);
    record.wait(1.0).teardown(first);
    let second = record.wait(0.1).play_with_token("key-next", "b", 1);
    // The same token with another request; the first session ends in time.
    record.wait(1.0).play_with_token("key-moved", "b", 0);
    record.wait(1.0).teardown(second);
    record.assert_violations(expect![[""]]);
    record.wait(1.0).play_with_token("key-over", "c", 1);
    record.wait(0.1).play_with_token("key-twice", "b", 1);
    record.wait(6.0).push(Event::SeatsLeft { held: 2 });
    record.assert_violations(expect![[r#"
        rule 7, line 31: olaf: 2 of 1 seats in use
        rule 7, line 36: olaf: 2 of 1 seats in use
        rule 7, line 36: olaf: b plays at two directors, since line 25 too
        rule 7, line 40: 2 seats are held though nobody holds any"#]]);
}
