//! Single stories of the desk, as short traces read by people.

mod common;

use common::{Bench, book, finals, listed, ok, requests, roster, told};
use expect_test::{Expect, expect};
use kelpdoor_api::{FromPlayer, RequestKey, ToPlayer};
use kelpdoor_director::{DirectorCore, Effect, Input, NodeEvent, Phase, RosterList, RosterMessage, journal};
use kelpdoor_rtsp::{Method, Request, Response, header_names, notify_reasons};

/// What goes to nodes and players, a line each.
fn trace(effects: &[Effect], expected: Expect) {
    let mut lines = Vec::new();
    for (node, _, r) in requests(effects) {
        let of = |name| r.headers.get(name).map(|v| format!(" {name}={v}")).unwrap_or_default();
        let names = [
            header_names::SESSION,
            header_names::RUNG,
            header_names::SERVICE_GROUP,
            header_names::REQUEST_KEY,
        ];
        lines.push(format!("node {node}: {}{}", r.method.name(), names.map(of).concat()));
    }
    lines.extend(told(effects));
    expected.assert_eq(&lines.join("\n"));
}

/// A desk whose links to all nodes are up.
fn up(seed: u64) -> Bench {
    let mut bench = Bench::new(&book(), seed);
    let effects = bench.input(Input::Roster(roster()));
    bench.connect(&effects);
    bench.wait(6.0);
    bench
}

/// The SETUP and PLAY that a start brings, and where.
fn asked(effects: &[Effect]) -> (u32, u64, Request, Request) {
    let mut all = requests(effects).into_iter().filter(|r| r.2.method != Method::Options);
    let (node, link, setup) = all.next().expect("a SETUP");
    let (_, _, play) = all.next().expect("a PLAY");
    assert_eq!((setup.method, play.method), (Method::Setup, Method::Play));
    (node, link, setup, play)
}

fn answer(
    bench: &mut Bench, (node, link, setup, play): (u32, u64, Request, Request), id: &str,
) -> Vec<Effect> {
    let mut effects = bench.says(node, link, ok(&setup).with(header_names::SESSION, id));
    effects.extend(bench.says(
        node,
        link,
        ok(&play).with(header_names::SESSION, id).with(header_names::ASKED, "link=0.4"),
    ));
    effects
}

#[test]
fn a_session_from_start_to_stop() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    trace(
        &effects,
        expect![[r#"
        node 0: SETUP Rung=1 Service-Group=any Request-Key=key-00001
        node 0: PLAY"#]],
    );
    let out = asked(&effects);
    let (node, link) = (out.0, out.1);
    trace(
        &answer(&mut bench, out, "s1"),
        expect![[
            r#"1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    let stop = FromPlayer::Stop { key: RequestKey("key-00001".into()) };
    let effects = bench.input(Input::Player { sock: 1, message: stop });
    trace(
        &effects,
        expect![[r#"
        node 0: TEARDOWN Session=s1
        1 < {"key":"key-00001","type":"ended","why":"stopped"}"#]],
    );
    let teardown = requests(&effects).remove(0).2;
    bench.says(node, link, ok(&teardown));
    assert_eq!(bench.desk.counts().playing, 0);
}

#[test]
fn a_retry_while_the_setup_is_out_and_after_it_gets_the_same_answer() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let out = asked(&effects);
    trace(&bench.start(1, "key-00001", "any", "t0"), expect![[r#""#]]);
    // On a second socket: the answer goes there.
    trace(&bench.start(2, "key-00001", "any", "t0"), expect![[r#""#]]);
    trace(
        &answer(&mut bench, out, "s1"),
        expect![[
            r#"2 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    trace(
        &bench.start(3, "key-00001", "any", "t0"),
        expect![[
            r#"3 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    trace(
        &bench.start(3, "key-00001", "any", "t1"),
        expect![[
            r#"3 < {"code":"key_conflict","key":"key-00001","message":"the key stands for another request","type":"error"}"#
        ]],
    );
}

#[test]
fn a_setup_without_an_answer_is_taken_back_and_its_late_success_plays_nowhere() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = asked(&effects);
    let effects = bench.wait(1.0);
    trace(
        &effects,
        expect![[r#"
        node 0: TEARDOWN
        node 1: SETUP Rung=1 Service-Group=any Request-Key=key-00001
        node 1: PLAY"#]],
    );
    let second = requests(&effects).into_iter().filter(|r| r.2.method != Method::Teardown);
    let (other, _, _) = second.clone().next().expect("a second SETUP");
    assert_ne!(node, other);
    // The first node answers after all, to SETUP and PLAY.
    let late = answer(&mut bench, (node, link, setup, play), "s1");
    trace(&late, expect!["node 0: TEARDOWN Session=s1"]);
    assert!(finals(&late).is_empty() && bench.desk.counts().playing == 0);
}

#[test]
fn a_paid_session_is_not_sent_again_without_proof() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "paid", "t0");
    let (node, link, ..) = asked(&effects);
    trace(
        &bench.input(Input::Node { node, link, event: NodeEvent::ConnectionLost }),
        expect![[r#"1 < {"key":"key-00001","type":"failed","why":"no_answer"}"#]],
    );
    // Turned away without a look is proof.
    let effects = bench.start(1, "key-00002", "paid", "t0");
    let (node, link, setup, _) = asked(&effects);
    trace(
        &bench.says(node, link, Response::new(453, setup.cseq)),
        expect![[r#"
        node 1: SETUP Rung=1 Service-Group=paid Request-Key=key-00002
        node 1: PLAY"#]],
    );
}

#[test]
fn what_has_not_gone_out_to_a_draining_node_does_not_go_out_any_more() {
    let mut bench = Bench::new(&book(), 1);
    let one = RosterMessage::Whole {
        version: 1,
        nodes: vec![listed(0, Phase::Ready)],
        titles: vec![kelpdoor_director::RosterTitle { name: "t0".into(), first_cell: 0, cells: 1 }],
    };
    let dials = bench.input(Input::Roster(one));
    bench.wait(0.1);
    // The link is still being connected when the request comes, and then the node drains.
    let effects = bench.start(1, "key-00001", "paid", "t0");
    assert!(requests(&effects).is_empty());
    let change = bench.change(0, Phase::Draining);
    trace(
        &bench.input(Input::Roster(change)),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00001","type":"busy"}"#]],
    );
    bench.connect(&dials);
    assert!(bench.wait(1.0).iter().all(|e| requests(std::slice::from_ref(e)).is_empty()));
}

#[test]
fn a_node_that_dies_ends_what_it_held_in_one_pass() {
    let mut bench = up(1);
    let mut at = Vec::new();
    for k in 0..6 {
        let effects = bench.start(k, &format!("key-0000{k}"), "any", "t0");
        let out = asked(&effects);
        at.push((out.0, out.1));
        answer(&mut bench, out, &format!("s{k}"));
    }
    let (node, link) = at[0];
    let here = at.iter().filter(|a| **a == (node, link)).count();
    let effects = bench.input(Input::Node { node, link, event: NodeEvent::ConnectionLost });
    let ended = told(&effects).iter().filter(|l| l.contains("node_lost")).count();
    assert_eq!((ended, bench.desk.counts().playing), (here, 6 - here));
}

#[test]
fn notices_of_a_stream_end_and_of_nothing_known() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let out = asked(&effects);
    let (node, link) = (out.0, out.1);
    answer(&mut bench, out, "s1");
    let notice = |id: &str| {
        Request::new(Method::PlayNotify, "rtsp://n/", 9)
            .with(header_names::SESSION, id)
            .with(header_names::NOTIFY_REASON, notify_reasons::END_OF_STREAM)
    };
    let strange = bench.says(node, link, notice("s77"));
    assert!(matches!(&strange[..], [Effect::Node { bytes, .. }] if bytes.starts_with(b"RTSP/2.0 454")));
    trace(
        &bench.says(node, link, notice("s1")),
        expect![[r#"
        node 0: TEARDOWN Session=s1
        1 < {"key":"key-00001","type":"ended","why":"finished"}"#]],
    );
}

#[test]
fn a_silent_link_is_asked_then_closed_but_our_own_pause_is_not_its_silence() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let out = asked(&effects);
    let node = out.0;
    answer(&mut bench, out, "s1");
    // The process stands still for 20 s: no link dies for it.
    bench.now += 20.0;
    let effects = bench.round();
    assert!(!effects.iter().any(|e| matches!(e, Effect::Disconnect { .. })), "{effects:?}");
    // Then the node says nothing more.
    let effects = bench.wait(14.0);
    let probes =
        requests(&effects).iter().filter(|r| r.0 == node && r.2.method == Method::GetParameter).count();
    assert!(probes >= 1);
    assert!(effects.iter().any(|e| matches!(e, Effect::Disconnect { node: n, .. } if *n == node)));
    assert!(told(&effects).iter().any(|l| l.contains("node_lost")));
}

#[test]
fn an_answer_that_lay_there_while_we_stood_still_is_too_late() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = asked(&effects);
    bench.now += 5.0;
    // All that came is taken in before time-outs fire.
    let said = |r: Response| Input::Node { node, link, event: NodeEvent::Received(r.into()) };
    bench.desk.handle_input(bench.now, said(ok(&setup).with(header_names::SESSION, "s1")));
    bench.desk.handle_input(bench.now, said(ok(&play).with(header_names::SESSION, "s1")));
    let effects = bench.round();
    assert!(finals(&effects).iter().all(|f| !matches!(f, ToPlayer::Playing { .. })), "{effects:?}");
    assert_eq!((finals(&effects).len(), bench.desk.counts().playing), (1, 0));
}

#[test]
fn the_sessions_limit_is_answered_with_busy() {
    let mut few = book();
    few.players.sessions = 2;
    let mut bench = Bench::new(&few, 1);
    let effects = bench.input(Input::Roster(roster()));
    bench.connect(&effects);
    for k in 0..2 {
        bench.start(1, &format!("key-0000{k}"), "any", "t0");
    }
    trace(
        &bench.start(1, "key-00009", "any", "t0"),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00009","type":"busy"}"#]],
    );
}

#[test]
fn a_bad_list_is_refused_whole_and_a_good_one_is_kept() {
    let mut bench = up(1);
    let mut node = listed(3, Phase::Ready);
    node.zone = "north".into();
    let bad = RosterMessage::Whole { version: 9, nodes: vec![node], titles: Vec::new() };
    let effects = bench.input(Input::Roster(bad));
    expect![[r#"[Log { sess: None, text: "roster: node 3: zone \"north\" is not in the settings; keeping the last valid list" }]"#]].assert_eq(&format!("{effects:?}"));
    assert!(bench.start(1, "key-00001", "any", "t0").iter().any(|e| matches!(e, Effect::Node { .. })));
}

#[test]
fn a_director_starts_from_its_kept_list() {
    let mut list = RosterList::default();
    list.apply(&roster(), &book().fleet).expect("good");
    let mut bench = Bench::new(&book(), 1);
    let effects = bench.input(Input::Cached(list));
    bench.connect(&effects);
    let effects = bench.start(1, "key-00001", "any", "t0");
    assert_eq!(asked(&effects).2.method, Method::Setup);
}

#[test]
fn two_desks_share_nothing() {
    // The same story alone, and with another desk at work between each two of its steps.
    let tell = |mut between: Box<dyn FnMut()>| {
        let mut bench = up(5);
        let mut all = Vec::new();
        for k in 0..6 {
            between();
            all.extend(bench.start(k, &format!("key-0000{k}"), "any", "t0"));
            all.extend(bench.wait(0.3));
        }
        all
    };
    let alone = tell(Box::new(|| ()));
    let mut other = up(6);
    let mut n = 0;
    let beside = tell(Box::new(move || {
        n += 1;
        other.start(n, &format!("key-1000{n}"), "any", "t0");
        other.wait(0.2);
    }));
    assert!(requests(&alone).len() >= 12);
    assert_eq!(alone, beside);
}

#[test]
fn a_journal_replays_to_the_same_effects_and_shows_a_difference() {
    let (seed, now) = (7, common::START);
    let mut desk = DirectorCore::new(&book(), seed, now);
    let mut lines = vec![journal::JournalEntry::Start { seed, now, deployment: None }];
    let message = common::start("key-00001", "any", "t0");
    let inputs = [Input::Roster(roster()), Input::Player { sock: 1, message }, Input::ShutDown];
    for (k, input) in inputs.into_iter().enumerate() {
        let now = now + 0.37 * k as f64;
        lines.push(journal::JournalEntry::Input { now, delay: 0.0, input: input.clone() });
        desk.handle_input(now, input);
        let mut effects = Vec::new();
        desk.round(now, &mut |e| effects.push(e));
        lines.push(journal::JournalEntry::Round { now, effects });
    }
    let text = |lines: &[journal::JournalEntry]| {
        let mut out = Vec::new();
        lines.iter().for_each(|l| journal::write_entry(&mut out, l).expect("written"));
        out
    };
    let done = journal::replay(&text(&lines)[..], Some(&book())).expect("readable");
    assert_eq!((done.inputs, done.rounds, done.first_difference), (3, 3, None));
    lines.remove(3);
    let done = journal::replay(&text(&lines)[..], Some(&book())).expect("readable");
    assert!(done.first_difference.is_some());
}

#[test]
fn a_play_that_is_turned_away_before_setup_is_answered_proves_nothing() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "paid", "t0");
    let (node, link, _, play) = asked(&effects);
    trace(
        &bench.says(node, link, Response::new(453, play.cseq)),
        expect![[r#"
        node 0: TEARDOWN
        1 < {"key":"key-00001","type":"failed","why":"no_answer"}"#]],
    );
}

#[test]
fn a_setup_that_erred_or_names_no_session_is_taken_back_before_another_goes_out() {
    for answer in [500, 200] {
        let mut bench = up(1);
        let effects = bench.start(1, "key-00001", "any", "t0");
        let (node, link, setup, _) = asked(&effects);
        let after = requests(&bench.says(node, link, Response::new(answer, setup.cseq)));
        let methods: Vec<_> = after.iter().map(|(_, _, r)| r.method).collect();
        assert_eq!(methods, [Method::Teardown, Method::Setup, Method::Play], "{answer}");
        assert_eq!(after[0].0, node);
    }
}

#[test]
fn a_rung_that_the_node_refuses_is_not_in_force() {
    let mut bench = up(1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = asked(&effects);
    bench.says(node, link, ok(&setup).with(header_names::SESSION, "s1"));
    bench.says(node, link, ok(&play).with(header_names::ASKED, "link=0.21"));
    let effects = bench.wait(2.0);
    let change =
        requests(&effects).into_iter().find(|r| r.2.method == Method::SetParameter).expect("a rise").2;
    trace(
        &effects,
        expect![[r#"
        node 0: SET_PARAMETER Session=s1 Rung=2
        1 < {"key":"key-00001","rung":2,"type":"rung"}"#]],
    );
    trace(
        &bench.says(node, link, Response::new(451, change.cseq)),
        expect![[r#"1 < {"key":"key-00001","rung":1,"type":"rung"}"#]],
    );
}

#[test]
fn what_lay_in_line_is_late_by_as_much() {
    let mut bench = up(1);
    let player = |key: &str| Input::Player { sock: 1, message: common::start(key, "any", "t0") };
    bench.desk.handle_delayed_input(bench.now, 2.5, player("key-00001"));
    bench.round();
    // 3 s less the 2.5 that it lay there, less the way back.
    let effects = bench.wait(0.45);
    assert_eq!(finals(&effects).len(), 1, "{effects:?}");
    bench.desk.handle_delayed_input(bench.now, 3.5, player("key-00002"));
    trace(&bench.round(), expect![[r#"1 < {"come_back":2.0,"key":"key-00002","type":"busy"}"#]]);
}

#[test]
fn an_answer_given_for_want_of_room_is_kept_for_a_retry() {
    let mut few = book();
    few.players.sessions = 1;
    let mut bench = Bench::new(&few, 1);
    let effects = bench.input(Input::Roster(roster()));
    bench.connect(&effects);
    let out = asked(&bench.start(1, "key-00001", "any", "t0"));
    bench.start(1, "key-00002", "any", "t0");
    bench.input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey("key-00001".into()) } });
    let teardown = bench.wait(0.1);
    drop((out, teardown));
    // There is room now, but the key has its answer.
    trace(
        &bench.start(1, "key-00002", "any", "t0"),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00002","type":"busy"}"#]],
    );
}

#[test]
fn a_change_that_is_refused_has_the_whole_list_asked_for() {
    let mut bench = up(1);
    let stale = RosterMessage::Change { version: 1, nodes: Vec::new(), titles: Vec::new() };
    let effects = bench.input(Input::Roster(stale));
    assert!(effects.contains(&Effect::RequestRoster(kelpdoor_director::RosterRequest::Whole)), "{effects:?}");
}

#[test]
fn without_a_lease_nothing_is_begun_and_each_is_answered_at_once() {
    let mut bench = Bench::new(&book(), 3);
    let effects = bench.input(Input::Roster(roster()));
    // Nodes 0 to 2, which have title t0, are connected; 3 to 5 are still dialled.
    let dial = |e: &Effect| if let Effect::Dial { node, link, .. } = e { Some((*node, *link)) } else { None };
    let (near, far): (Vec<_>, Vec<_>) = effects.iter().filter_map(dial).partition(|(node, _)| *node < 3);
    for (node, link) in near {
        bench.input(Input::Node { node, link, event: NodeEvent::Connected });
    }
    bench.input(Input::Rules { deployment: Box::new(book()), label: "4/ab".into() });
    let lease = |bench: &mut Bench, seconds: f64| {
        let until = bench.now + seconds;
        bench.input(Input::Lease { until })
    };
    let setups = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Leased { .. })).count();
    let answers = |effects: &[Effect]| -> Vec<String> {
        let of = |e: &Effect| match e {
            Effect::Player { message, .. } if message.is_final() => Some(message.text()),
            _ => None,
        };
        effects.iter().filter_map(of).collect()
    };
    lease(&mut bench, 0.1);
    let effects = bench.start(1, "key-00001", "any", "t0");
    assert_eq!(setups(&effects), 1, "{effects:?}");
    // Another waits for its node's connection, which is up after the lease: it does not go out.
    bench.start(1, "key-00002", "any", "t3");
    bench.wait(0.11);
    let mut effects = bench.start(1, "key-00003", "any", "t0");
    for (node, link) in far {
        effects.extend(bench.input(Input::Node { node, link, event: NodeEvent::Connected }));
    }
    assert_eq!(setups(&effects), 0, "nothing leaves: {effects:?}");
    let busy = |key: &str| format!(r#"{{"come_back":2.0,"key":"{key}","type":"busy"}}"#);
    assert_eq!(answers(&effects), [busy("key-00003"), busy("key-00002")]);
    // One that an outbox gave back is answered as well, and its link does not wait for what never left.
    lease(&mut bench, 1.0);
    let effects = bench.start(1, "key-00004", "any", "t0");
    let sent = |effects: &[Effect]| match effects.iter().find(|e| matches!(e, Effect::Leased { .. })) {
        Some(Effect::Leased { node, link, batch: pipe, .. }) => (*node, *link, *pipe),
        _ => panic!("a SETUP goes out: {effects:?}"),
    };
    let (node, link, pipe) = sent(&effects);
    let out = bench.desk.counts().outstanding_requests;
    let effects = bench.input(Input::Unsent { node, link, batch: pipe });
    assert_eq!(answers(&effects), [busy("key-00004")]);
    assert_eq!(bench.desk.counts().outstanding_requests, out - 2);
    // Nor if its viewer has stopped it meanwhile, when its end alone is still waited for.
    let out = bench.desk.counts().outstanding_requests;
    let effects = bench.start(1, "key-00005", "any", "t0");
    let (node, link, pipe) = sent(&effects);
    bench.input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey("key-00005".into()) } });
    let effects = bench.input(Input::Unsent { node, link, batch: pipe });
    assert_eq!(answers(&effects), [""; 0]);
    assert_eq!(bench.desk.counts().outstanding_requests, out + 1, "its TEARDOWN");
}

#[test]
fn a_change_of_rung_that_did_not_leave_in_time_is_not_in_force() {
    let mut bench = up(1);
    bench.input(Input::Rules { deployment: Box::new(book()), label: "4/ab".into() });
    bench.input(Input::Lease { until: bench.now + 100.0 });
    let effects = bench.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = asked(&effects);
    bench.says(node, link, ok(&setup).with(header_names::SESSION, "s1"));
    bench.says(node, link, ok(&play).with(header_names::ASKED, "link=0.21"));
    let effects = bench.wait(2.0);
    // It stands apart from what goes out anyway, so that the outbox can keep it back alone.
    let leased: Vec<(u32, u64, u64)> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Leased { node, link, batch, bytes } => {
                assert!(bytes.starts_with(b"SET_PARAMETER "), "{}", String::from_utf8_lossy(bytes));
                Some((*node, *link, *batch))
            }
            _ => None,
        })
        .collect();
    let [(node, link, batch)] = leased[..] else { panic!("one rise: {effects:?}") };
    let out = bench.desk.counts().outstanding_requests;
    trace(
        &bench.input(Input::Unsent { node, link, batch }),
        expect![[r#"1 < {"key":"key-00001","rung":1,"type":"rung"}"#]],
    );
    assert_eq!(bench.desk.counts().outstanding_requests, out - 1, "nothing is waited for");
    // Given back twice, or by an older link: nothing.
    assert!(bench.input(Input::Unsent { node, link, batch }).is_empty());
}
