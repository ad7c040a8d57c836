//! The checker, rule by rule: a record that keeps it, and one in which it breaks, with the line that is named.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use expect_test::{Expect, expect};
use kelpdoor_lab::check::check;
use kelpdoor_lab::fleet::{director_script, settings};
use kelpdoor_lab::record::{Entry, Event};
use kelpdoor_lab::trouble::DaySettings;
use kelpdoor_script::Deployment;

/// A record in the making, at a time of its own.
struct Tape {
    t: f64,
    lines: Vec<Entry>,
    cseq: u32,
}

impl Tape {
    /// One director, node 0 (and 1) of the east up since long, node 9 of the west.
    fn new() -> Tape {
        let size = DaySettings::default();
        let script =
            director_script(&settings(&size, ""), &size, 0, "127.0.0.1:1".parse().unwrap(), "x".as_ref());
        let deployment = Deployment::parse("s", &script).expect("good settings");
        let mut tape = Tape { t: 100.0, lines: Vec::new(), cseq: 0 };
        tape.put(Event::Settings { text: serde_json::to_string(&deployment).unwrap() });
        tape.put(Event::Director { director: 0, boot: 1, event: "started".into() });
        for (node, zone) in [(0, "east"), (1, "east"), (9, "west")] {
            tape.node_up(node, false, zone);
            tape.told(node, "ready");
        }
        tape
    }

    fn put(&mut self, what: Event) -> usize {
        self.lines.push(Entry { t: self.t, what });
        self.lines.len()
    }

    fn node_up(&mut self, node: u32, cold: bool, zone: &str) {
        self.put(Event::NodeUp { node, cold, places: 26.0, zone: zone.into(), cell: node as u16 });
        let hello = "OPTIONS rtsp://n/ RTSP/2.0\r\nCSeq: 0\r\nUser-Agent: kelpdoor/0 (director 0)\r\n\r\n";
        self.put(Event::Node { node, conn: 1, got: true, text: hello.into() });
    }

    fn told(&mut self, node: u32, phase: &str) {
        let up_since = self.t;
        let text =
            format!(r#"{{"change":{{"nodes":[{{"id":{node},"phase":"{phase}","up_since":{up_since}}}]}}}}"#);
        self.put(Event::Roster { director: 0, text });
    }

    fn wait(&mut self, s: f64) -> &mut Self {
        self.t += s;
        self
    }

    fn player(&mut self, got: bool, text: String) -> usize {
        self.put(Event::Player { player: 1, director: 0, boot: 1, got, text })
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
        self.put(Event::Node { node, conn: 1, got: true, text });
        (node, self.cseq)
    }

    fn says(&mut self, (node, cseq): (u32, u32), status: u16) {
        let text = format!("RTSP/2.0 {status} X\r\nCSeq: {cseq}\r\nSession: s{cseq}\r\n\r\n");
        self.put(Event::Node { node, conn: 1, got: false, text });
    }

    fn teardown(&mut self, (node, pipe): (u32, u32)) {
        let text =
            format!("TEARDOWN rtsp://n/ RTSP/2.0\r\nCSeq: 9{pipe}\r\nPipelined-Requests: {pipe}\r\n\r\n");
        self.put(Event::Node { node, conn: 1, got: true, text });
    }

    fn judge(&self, expected: Expect) {
        let v = check(&self.lines);
        let shown: Vec<String> =
            v.violations.iter().map(|b| format!("rule {}, line {}: {}", b.rule, b.line, b.what)).collect();
        expected.assert_eq(&shown.join("\n"));
    }
}

#[test]
fn rule_1_one_answer_in_time() {
    let mut tape = Tape::new();
    tape.start("key-good", "story");
    tape.wait(2.9).answer("key-good", "busy");
    tape.judge(expect![[""]]);
    tape.start("key-late", "story");
    tape.wait(3.1).answer("key-late", "playing");
    tape.start("key-none", "story");
    tape.start("key-both", "story");
    tape.wait(0.1).answer("key-both", "busy");
    tape.wait(0.1).answer("key-both", "playing");
    tape.judge(expect![[r#"
        rule 1, line 14: key-late: playing came 0.100 s too late
        rule 1, line 16: key-none: no answer within its 3 s
        rule 1, line 19: key-both: 2 final answers to 1 requests, kinds true"#]]);
}

#[test]
fn rule_1_excuses_a_director_that_was_killed_or_stood_still() {
    let mut tape = Tape::new();
    tape.start("key-lost", "story");
    tape.wait(1.0).put(Event::Director { director: 0, boot: 1, event: "killed".into() });
    tape.judge(expect![[""]]);
    assert_eq!(check(&tape.lines).excused, 1);
}

#[test]
fn rule_2_two_setups_out() {
    let mut tape = Tape::new();
    let first = tape.setup("key-good", "story", 0, 0);
    tape.wait(0.5).teardown(first);
    tape.setup("key-good", "story", 1, 0);
    tape.judge(expect![[""]]);
    tape.setup("key-bad", "story", 0, 0);
    tape.wait(0.5).setup("key-bad", "story", 1, 0);
    tape.judge(expect!["rule 2, line 16: key-bad: a second SETUP while line 15's is out or plays"]);
}

#[test]
fn rule_2_paid_and_zoned_groups() {
    let mut tape = Tape::new();
    let first = tape.setup("key-good", "paid", 0, 0);
    tape.wait(0.1).says(first, 453);
    tape.setup("key-good", "paid", 1, 0);
    let first = tape.setup("key-zone", "reading", 0, 1);
    tape.wait(0.5).teardown(first);
    tape.setup("key-zone", "reading", 1, 1);
    tape.judge(expect![[""]]);
    let first = tape.setup("key-paid", "paid", 0, 0);
    tape.wait(0.5).teardown(first);
    tape.setup("key-paid", "paid", 1, 0);
    let first = tape.setup("key-far", "reading", 0, 1);
    tape.wait(0.5).teardown(first);
    tape.setup("key-far", "reading", 9, 1);
    tape.start("key-busy", "paid");
    let first = tape.setup("key-busy", "paid", 0, 0);
    tape.wait(0.5).teardown(first);
    tape.answer("key-busy", "busy");
    tape.judge(expect![[r#"
        rule 2, line 20: key-paid: set up again though line 18's may have run
        rule 2, line 23: key-far: set up again though line 21's may have run
        rule 2, line 27: key-busy: busy though line 25's SETUP may have run"#]]);
}

#[test]
fn rule_3_a_drained_node() {
    let mut tape = Tape::new();
    tape.wait(1.0).told(0, "draining");
    tape.wait(0.9).setup("key-good", "story", 0, 0);
    tape.judge(expect![[""]]);
    tape.wait(0.5).setup("key-bad", "story", 0, 0);
    tape.judge(expect!["rule 3, line 14: director 0 sent to node 0 0.40 s past the grace, draining"]);
}

#[test]
fn rule_4_a_cold_node() {
    let mut tape = Tape::new();
    tape.node_up(1, true, "east");
    tape.told(1, "ready");
    // 4 x 2 s x 0.4 x 26 places / 8 s = 10.4 in two seconds.
    for k in 0..10 {
        tape.wait(0.01).setup(&format!("key-{k:04}"), "story", 1, 0);
    }
    tape.judge(expect![[""]]);
    tape.wait(0.01).setup("key-more", "story", 1, 0);
    tape.judge(expect!["rule 4, line 25: cold node 1 got 11 SETUPs in 2 s, it bears 10.6"]);
}

#[test]
fn rule_5_floors_and_seats() {
    let mut tape = Tape::new();
    for k in 0..20 {
        let out = tape.setup(&format!("key-{k:04}"), "lecture", 0, 0);
        tape.says(out, 200);
    }
    tape.setup("key-floor", "reading", 0, 1);
    tape.judge(expect![[""]]);
    tape.setup("key-seat", "lecture", 0, 0);
    tape.setup("key-under", "reading", 0, 0);
    tape.judge(expect![[r#"
        rule 5, line 53: director 0 holds 21 of title-01 in lecture, 20 seats
        rule 5, line 54: rung 0 under the floor 1 of reading"#]]);
}

#[test]
fn rule_6_further_setups() {
    let mut tape = Tape::new();
    // 4, and one for every four sessions taken.
    for k in 0..6 {
        let key = format!("key-{k:04}");
        tape.start(&key, "story");
        let first = tape.setup(&key, "story", 0, 0);
        tape.wait(0.3).says(first, 453);
        tape.setup(&key, "story", 1, 0);
        tape.answer(&key, "playing");
        if k == 4 {
            tape.judge(expect![[""]]);
        }
    }
    tape.judge(expect!["rule 6, line 40: director 0: 6 further SETUPs in 10 s, 5.5 allowed"]);
}

#[test]
fn rule_8_a_viewer_that_has_gone() {
    let mut t = Tape::new();
    t.node_up(1, false, "a");
    for k in 0..4 {
        let key = format!("gone-{k}");
        t.start(&key, "story");
        t.player(false, format!(r#"{{"type":"leave","key":"{key}"}}"#));
        // Just after it is no case.
        t.wait(if k == 0 { 0.05 } else { 0.2 });
        let setup = t.setup(&key, "story", 1, 1);
        t.teardown(setup);
    }
    // The second and third late ones are the second and third cases.
    let verdict = check(&t.lines);
    let broken: Vec<u8> = verdict.violations.iter().map(|b| b.rule).collect();
    assert_eq!(
        (verdict.left_early, verdict.late_setups, broken),
        (4, 3, vec![8]),
        "{:#?}",
        verdict.violations
    );
}

#[test]
fn a_record_read_back_is_the_same() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("r.zst");
    let (recorder, file) = kelpdoor_lab::record::Recorder::to_file(&path).unwrap();
    let tape = Tape::new();
    tape.lines.iter().for_each(|l| recorder.record(l.what.clone()));
    file.finish().unwrap();
    let back: Vec<Event> = kelpdoor_lab::record::read(&path).unwrap().into_iter().map(|l| l.what).collect();
    assert_eq!(back, tape.lines.into_iter().map(|l| l.what).collect::<Vec<_>>());
}

#[test]
fn a_drawn_day_becomes_a_script_that_fits() {
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

impl Tape {
    /// A request with a token that plays from now on.
    fn ticket(&mut self, key: &str, id: &str, node: u32) -> (u32, u32) {
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
        self.put(Event::Node { node, conn: 1, got: true, text: play });
        let ok = format!("RTSP/2.0 200 OK\r\nCSeq: 8{pipe}\r\n\r\n");
        self.put(Event::Node { node, conn: 1, got: false, text: ok });
        self.answer(key, "playing");
        out
    }
}

#[test]
fn rule_7_seats_of_schools() {
    let mut tape = Tape::new();
    tape.put(Event::Schools { seats: 1 });
    let first = tape.ticket("key-good", "a", 0);
    tape.wait(1.0).teardown(first);
    let second = tape.wait(0.1).ticket("key-next", "b", 1);
    // The same token at another request, told in time.
    tape.wait(1.0).ticket("key-moved", "b", 0);
    tape.wait(1.0).teardown(second);
    tape.judge(expect![[""]]);
    tape.wait(1.0).ticket("key-over", "c", 1);
    tape.wait(0.1).ticket("key-twice", "b", 1);
    tape.wait(6.0).put(Event::SeatsLeft { held: 2 });
    tape.judge(expect![[r#"
        rule 7, line 31: olaf: 2 of 1 seats in use
        rule 7, line 36: olaf: 2 of 1 seats in use
        rule 7, line 36: olaf: b plays at two directors, since line 25 too
        rule 7, line 40: 2 seats are held though nobody holds any"#]]);
}
