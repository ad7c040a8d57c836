//! Traces of single scenarios in the core.

mod common;

use common::{Harness, deployment, final_answers, ok, player_messages, requests, roster, roster_node};
use expect_test::{Expect, expect};
use kelpdoor_api::{FromPlayer, RequestKey, ToPlayer};
use kelpdoor_director::{DirectorCore, Effect, Input, NodeEvent, Phase, RosterList, RosterMessage, journal};
use kelpdoor_rtsp::{Method, Request, Response, header_names, notify_reasons};

/// Compares the requests to nodes and the messages to players, one line each, with the expected trace.
fn trace(effects: &[Effect], expected: Expect) {
    let mut lines = Vec::new();
    for (node, _, r) in requests(effects) {
        let select = |name| r.headers.get(name).map(|v| format!(" {name}={v}")).unwrap_or_default();
        let names = [
            header_names::SESSION,
            header_names::RUNG,
            header_names::SERVICE_GROUP,
            header_names::REQUEST_KEY,
        ];
        lines.push(format!("node {node}: {}{}", r.method.name(), names.map(select).concat()));
    }
    lines.extend(player_messages(effects));
    expected.assert_eq(&lines.join("\n"));
}

/// Returns a core that is connected to all nodes.
fn connected_harness(seed: u64) -> Harness {
    let mut harness = Harness::new(&deployment(), seed);
    let effects = harness.input(Input::Roster(roster()));
    harness.connect(&effects);
    harness.wait(6.0);
    harness
}

/// Returns the SETUP and PLAY of a start with their node and connection.
fn expect_setup(effects: &[Effect]) -> (u32, u64, Request, Request) {
    let mut all = requests(effects).into_iter().filter(|r| r.2.method != Method::Options);
    let (node, link, setup) = all.next().expect("a SETUP");
    let (_, _, play) = all.next().expect("a PLAY");
    assert_eq!((setup.method, play.method), (Method::Setup, Method::Play));
    (node, link, setup, play)
}

fn answer_setup(
    harness: &mut Harness, (node, link, setup, play): (u32, u64, Request, Request), id: &str,
) -> Vec<Effect> {
    let mut effects = harness.receive_from_node(node, link, ok(&setup).with(header_names::SESSION, id));
    effects.extend(harness.receive_from_node(
        node,
        link,
        ok(&play).with(header_names::SESSION, id).with(header_names::ASKED, "link=0.4"),
    ));
    effects
}

#[test]
fn started_session_plays_until_stopped() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    trace(
        &effects,
        expect![[r#"
        node 0: SETUP Rung=1 Service-Group=any Request-Key=key-00001
        node 0: PLAY"#]],
    );
    let out = expect_setup(&effects);
    let (node, link) = (out.0, out.1);
    trace(
        &answer_setup(&mut harness, out, "s1"),
        expect![[
            r#"1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    let stop = FromPlayer::Stop { key: RequestKey("key-00001".into()) };
    let effects = harness.input(Input::Player { sock: 1, message: stop });
    trace(
        &effects,
        expect![[r#"
        node 0: TEARDOWN Session=s1
        1 < {"key":"key-00001","type":"ended","why":"stopped"}"#]],
    );
    let teardown = requests(&effects).remove(0).2;
    harness.receive_from_node(node, link, ok(&teardown));
    assert_eq!(harness.core.counts().playing, 0);
}

#[test]
fn retry_during_and_after_setup_gets_same_answer() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let out = expect_setup(&effects);
    trace(&harness.start(1, "key-00001", "any", "t0"), expect![[r#""#]]);
    // After a retry on a second socket the answer goes there.
    trace(&harness.start(2, "key-00001", "any", "t0"), expect![[r#""#]]);
    trace(
        &answer_setup(&mut harness, out, "s1"),
        expect![[
            r#"2 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    trace(
        &harness.start(3, "key-00001", "any", "t0"),
        expect![[
            r#"3 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7000/t0"}"#
        ]],
    );
    trace(
        &harness.start(3, "key-00001", "any", "t1"),
        expect![[
            r#"3 < {"code":"key_conflict","key":"key-00001","message":"the key stands for another request","type":"error"}"#
        ]],
    );
}

#[test]
fn unanswered_setup_is_torn_down_and_late_success_does_not_play() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = expect_setup(&effects);
    let effects = harness.wait(1.0);
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
    // The first node answers SETUP and PLAY late.
    let late = answer_setup(&mut harness, (node, link, setup, play), "s1");
    trace(&late, expect!["node 0: TEARDOWN Session=s1"]);
    assert!(final_answers(&late).is_empty() && harness.core.counts().playing == 0);
}

#[test]
fn paid_session_without_proof_of_failure_is_not_retried() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "paid", "t0");
    let (node, link, ..) = expect_setup(&effects);
    trace(
        &harness.input(Input::Node { node, link, event: NodeEvent::ConnectionLost }),
        expect![[r#"1 < {"key":"key-00001","type":"failed","why":"no_answer"}"#]],
    );
    // A refusal before the SETUP started proves that it did not run.
    let effects = harness.start(1, "key-00002", "paid", "t0");
    let (node, link, setup, _) = expect_setup(&effects);
    trace(
        &harness.receive_from_node(node, link, Response::new(453, setup.cseq)),
        expect![[r#"
        node 1: SETUP Rung=1 Service-Group=paid Request-Key=key-00002
        node 1: PLAY"#]],
    );
}

#[test]
fn waiting_setup_for_draining_node_is_not_sent() {
    let mut harness = Harness::new(&deployment(), 1);
    let one = RosterMessage::Whole {
        version: 1,
        nodes: vec![roster_node(0, Phase::Ready)],
        titles: vec![kelpdoor_director::RosterTitle { name: "t0".into(), first_cell: 0, cells: 1 }],
    };
    let dials = harness.input(Input::Roster(one));
    harness.wait(0.1);
    // The request arrives while the link is connecting; then the node starts to drain.
    let effects = harness.start(1, "key-00001", "paid", "t0");
    assert!(requests(&effects).is_empty());
    let change = harness.change(0, Phase::Draining);
    trace(
        &harness.input(Input::Roster(change)),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00001","type":"busy"}"#]],
    );
    harness.connect(&dials);
    assert!(harness.wait(1.0).iter().all(|e| requests(std::slice::from_ref(e)).is_empty()));
}

#[test]
fn dead_node_ends_its_sessions_in_one_round() {
    let mut harness = connected_harness(1);
    let mut at = Vec::new();
    for k in 0..6 {
        let effects = harness.start(k, &format!("key-0000{k}"), "any", "t0");
        let out = expect_setup(&effects);
        at.push((out.0, out.1));
        answer_setup(&mut harness, out, &format!("s{k}"));
    }
    let (node, link) = at[0];
    let here = at.iter().filter(|a| **a == (node, link)).count();
    let effects = harness.input(Input::Node { node, link, event: NodeEvent::ConnectionLost });
    let ended = player_messages(&effects).iter().filter(|l| l.contains("node_lost")).count();
    assert_eq!((ended, harness.core.counts().playing), (here, 6 - here));
}

#[test]
fn end_of_stream_ends_session_and_unknown_session_gets_454() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let out = expect_setup(&effects);
    let (node, link) = (out.0, out.1);
    answer_setup(&mut harness, out, "s1");
    let notice = |id: &str| {
        Request::new(Method::PlayNotify, "rtsp://n/", 9)
            .with(header_names::SESSION, id)
            .with(header_names::NOTIFY_REASON, notify_reasons::END_OF_STREAM)
    };
    let strange = harness.receive_from_node(node, link, notice("s77"));
    assert!(matches!(&strange[..], [Effect::Node { bytes, .. }] if bytes.starts_with(b"RTSP/2.0 454")));
    trace(
        &harness.receive_from_node(node, link, notice("s1")),
        expect![[r#"
        node 0: TEARDOWN Session=s1
        1 < {"key":"key-00001","type":"ended","why":"finished"}"#]],
    );
}

#[test]
fn silent_link_is_probed_then_closed_but_own_pause_is_not_counted() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let out = expect_setup(&effects);
    let node = out.0;
    answer_setup(&mut harness, out, "s1");
    // The process pauses for 20 s: that closes no link.
    harness.now += 20.0;
    let effects = harness.round();
    assert!(!effects.iter().any(|e| matches!(e, Effect::Disconnect { .. })), "{effects:?}");
    // Then the node is silent.
    let effects = harness.wait(14.0);
    let probes =
        requests(&effects).iter().filter(|r| r.0 == node && r.2.method == Method::GetParameter).count();
    assert!(probes >= 1);
    assert!(effects.iter().any(|e| matches!(e, Effect::Disconnect { node: n, .. } if *n == node)));
    assert!(player_messages(&effects).iter().any(|l| l.contains("node_lost")));
}

#[test]
fn response_delayed_by_own_pause_is_too_late() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = expect_setup(&effects);
    harness.now += 5.0;
    // Inputs are handled before timers.
    let received = |r: Response| Input::Node { node, link, event: NodeEvent::Received(r.into()) };
    harness.core.handle_input(harness.now, received(ok(&setup).with(header_names::SESSION, "s1")));
    harness.core.handle_input(harness.now, received(ok(&play).with(header_names::SESSION, "s1")));
    let effects = harness.round();
    assert!(final_answers(&effects).iter().all(|f| !matches!(f, ToPlayer::Playing { .. })), "{effects:?}");
    assert_eq!((final_answers(&effects).len(), harness.core.counts().playing), (1, 0));
}

#[test]
fn request_over_session_limit_is_answered_busy() {
    let mut settings = deployment();
    settings.players.sessions = 2;
    let mut harness = Harness::new(&settings, 1);
    let effects = harness.input(Input::Roster(roster()));
    harness.connect(&effects);
    for k in 0..2 {
        harness.start(1, &format!("key-0000{k}"), "any", "t0");
    }
    trace(
        &harness.start(1, "key-00009", "any", "t0"),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00009","type":"busy"}"#]],
    );
}

#[test]
fn invalid_list_is_refused_and_last_valid_one_kept() {
    let mut harness = connected_harness(1);
    let mut node = roster_node(3, Phase::Ready);
    node.zone = "north".into();
    let bad = RosterMessage::Whole { version: 9, nodes: vec![node], titles: Vec::new() };
    let effects = harness.input(Input::Roster(bad));
    expect![[r#"[Log { sess: None, text: "roster: node 3: zone \"north\" is not in the settings; the last good list stands" }]"#]].assert_eq(&format!("{effects:?}"));
    assert!(harness.start(1, "key-00001", "any", "t0").iter().any(|e| matches!(e, Effect::Node { .. })));
}

#[test]
fn cached_list_is_used_at_start() {
    let mut list = RosterList::default();
    list.apply(&roster(), &deployment().fleet).expect("good");
    let mut harness = Harness::new(&deployment(), 1);
    let effects = harness.input(Input::Cached(list));
    harness.connect(&effects);
    let effects = harness.start(1, "key-00001", "any", "t0");
    assert_eq!(expect_setup(&effects).2.method, Method::Setup);
}

#[test]
fn two_cores_share_no_state() {
    // The same scenario alone, and with another core running between its steps.
    let run = |mut between: Box<dyn FnMut()>| {
        let mut harness = connected_harness(5);
        let mut all = Vec::new();
        for k in 0..6 {
            between();
            all.extend(harness.start(k, &format!("key-0000{k}"), "any", "t0"));
            all.extend(harness.wait(0.3));
        }
        all
    };
    let alone = run(Box::new(|| ()));
    let mut other = connected_harness(6);
    let mut n = 0;
    let interleaved = run(Box::new(move || {
        n += 1;
        other.start(n, &format!("key-1000{n}"), "any", "t0");
        other.wait(0.2);
    }));
    assert!(requests(&alone).len() >= 12);
    assert_eq!(alone, interleaved);
}

#[test]
fn journal_replay_matches_and_changed_journal_shows_difference() {
    let (seed, now) = (7, common::START);
    let mut core = DirectorCore::new(&deployment(), seed, now);
    let mut entries = vec![journal::JournalEntry::Start { seed, now, deployment: None }];
    let message = common::start("key-00001", "any", "t0");
    let inputs = [Input::Roster(roster()), Input::Player { sock: 1, message }, Input::ShutDown];
    for (k, input) in inputs.into_iter().enumerate() {
        let now = now + 0.37 * k as f64;
        entries.push(journal::JournalEntry::Input { now, delay: 0.0, input: input.clone() });
        core.handle_input(now, input);
        let mut effects = Vec::new();
        core.round(now, &mut |e| effects.push(e));
        entries.push(journal::JournalEntry::Round { now, effects });
    }
    let text = |entries: &[journal::JournalEntry]| {
        let mut out = Vec::new();
        entries.iter().for_each(|l| journal::write_entry(&mut out, l).expect("written"));
        out
    };
    let done = journal::replay(&text(&entries)[..], Some(&deployment())).expect("readable");
    assert_eq!((done.inputs, done.rounds, done.first_difference), (3, 3, None));
    entries.remove(3);
    let done = journal::replay(&text(&entries)[..], Some(&deployment())).expect("readable");
    assert!(done.first_difference.is_some());
}

#[test]
fn play_refused_before_setup_response_does_not_prove_failure() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "paid", "t0");
    let (node, link, _, play) = expect_setup(&effects);
    trace(
        &harness.receive_from_node(node, link, Response::new(453, play.cseq)),
        expect![[r#"
        node 0: TEARDOWN
        1 < {"key":"key-00001","type":"failed","why":"no_answer"}"#]],
    );
}

#[test]
fn failed_setup_or_one_without_session_id_is_torn_down_before_next() {
    for answer in [500, 200] {
        let mut harness = connected_harness(1);
        let effects = harness.start(1, "key-00001", "any", "t0");
        let (node, link, setup, _) = expect_setup(&effects);
        let after = requests(&harness.receive_from_node(node, link, Response::new(answer, setup.cseq)));
        let methods: Vec<_> = after.iter().map(|(_, _, r)| r.method).collect();
        assert_eq!(methods, [Method::Teardown, Method::Setup, Method::Play], "{answer}");
        assert_eq!(after[0].0, node);
    }
}

#[test]
fn rung_refused_by_node_is_reverted() {
    let mut harness = connected_harness(1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = expect_setup(&effects);
    harness.receive_from_node(node, link, ok(&setup).with(header_names::SESSION, "s1"));
    harness.receive_from_node(node, link, ok(&play).with(header_names::ASKED, "link=0.21"));
    let effects = harness.wait(2.0);
    let change =
        requests(&effects).into_iter().find(|r| r.2.method == Method::SetParameter).expect("a rise").2;
    trace(
        &effects,
        expect![[r#"
        node 0: SET_PARAMETER Session=s1 Rung=2
        1 < {"key":"key-00001","rung":2,"type":"rung"}"#]],
    );
    trace(
        &harness.receive_from_node(node, link, Response::new(451, change.cseq)),
        expect![[r#"1 < {"key":"key-00001","rung":1,"type":"rung"}"#]],
    );
}

#[test]
fn time_in_queue_counts_against_setup_timeout() {
    let mut harness = connected_harness(1);
    let player = |key: &str| Input::Player { sock: 1, message: common::start(key, "any", "t0") };
    harness.core.handle_delayed_input(harness.now, 2.5, player("key-00001"));
    harness.round();
    // The setup timeout of 3 s, less 2.5 s in the queue, less the time reserved for the answer.
    let effects = harness.wait(0.45);
    assert_eq!(final_answers(&effects).len(), 1, "{effects:?}");
    harness.core.handle_delayed_input(harness.now, 3.5, player("key-00002"));
    trace(&harness.round(), expect![[r#"1 < {"come_back":2.0,"key":"key-00002","type":"busy"}"#]]);
}

#[test]
fn busy_answer_at_session_limit_is_repeated_to_retry() {
    let mut settings = deployment();
    settings.players.sessions = 1;
    let mut harness = Harness::new(&settings, 1);
    let effects = harness.input(Input::Roster(roster()));
    harness.connect(&effects);
    let out = expect_setup(&harness.start(1, "key-00001", "any", "t0"));
    harness.start(1, "key-00002", "any", "t0");
    harness
        .input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey("key-00001".into()) } });
    let teardown = harness.wait(0.1);
    drop((out, teardown));
    // There is room now, but the answer for this key is stored.
    trace(
        &harness.start(1, "key-00002", "any", "t0"),
        expect![[r#"1 < {"come_back":2.0,"key":"key-00002","type":"busy"}"#]],
    );
}

#[test]
fn refused_change_requests_complete_list() {
    let mut harness = connected_harness(1);
    let stale = RosterMessage::Change { version: 1, nodes: Vec::new(), titles: Vec::new() };
    let effects = harness.input(Input::Roster(stale));
    assert!(effects.contains(&Effect::RequestRoster(kelpdoor_director::RosterRequest::Whole)), "{effects:?}");
}

#[test]
fn request_without_lease_is_answered_busy_and_sends_no_setup() {
    let mut harness = Harness::new(&deployment(), 3);
    let effects = harness.input(Input::Roster(roster()));
    // Nodes 0 to 2, which hold title t0, are connected; 3 to 5 are still connecting.
    let dial = |e: &Effect| if let Effect::Dial { node, link, .. } = e { Some((*node, *link)) } else { None };
    let (near, far): (Vec<_>, Vec<_>) = effects.iter().filter_map(dial).partition(|(node, _)| *node < 3);
    for (node, link) in near {
        harness.input(Input::Node { node, link, event: NodeEvent::Connected });
    }
    harness.input(Input::Rules { deployment: Box::new(deployment()), label: "4/ab".into() });
    let lease = |harness: &mut Harness, seconds: f64| {
        let until = harness.now + seconds;
        harness.input(Input::Lease { until })
    };
    let setups = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Leased { .. })).count();
    let answers = |effects: &[Effect]| -> Vec<String> {
        let select = |e: &Effect| match e {
            Effect::Player { message, .. } if message.is_final() => Some(message.text()),
            _ => None,
        };
        effects.iter().filter_map(select).collect()
    };
    lease(&mut harness, 0.1);
    let effects = harness.start(1, "key-00001", "any", "t0");
    assert_eq!(setups(&effects), 1, "{effects:?}");
    // Another SETUP waits for its connection, which is established after the lease expires: it is not sent.
    harness.start(1, "key-00002", "any", "t3");
    harness.wait(0.11);
    let mut effects = harness.start(1, "key-00003", "any", "t0");
    for (node, link) in far {
        effects.extend(harness.input(Input::Node { node, link, event: NodeEvent::Connected }));
    }
    assert_eq!(setups(&effects), 0, "nothing is sent: {effects:?}");
    let busy = |key: &str| format!(r#"{{"come_back":2.0,"key":"{key}","type":"busy"}}"#);
    assert_eq!(answers(&effects), [busy("key-00003"), busy("key-00002")]);
    // A SETUP that the shell did not send is answered as well, and its link expects no response to it.
    lease(&mut harness, 1.0);
    let effects = harness.start(1, "key-00004", "any", "t0");
    let sent = |effects: &[Effect]| match effects.iter().find(|e| matches!(e, Effect::Leased { .. })) {
        Some(Effect::Leased { node, link, batch, .. }) => (*node, *link, *batch),
        _ => panic!("no SETUP was sent: {effects:?}"),
    };
    let (node, link, batch) = sent(&effects);
    let out = harness.core.counts().outstanding_requests;
    let effects = harness.input(Input::Unsent { node, link, batch });
    assert_eq!(answers(&effects), [busy("key-00004")]);
    assert_eq!(harness.core.counts().outstanding_requests, out - 2);
    // The same holds if the viewer has stopped it meanwhile: only the TEARDOWN is outstanding.
    let out = harness.core.counts().outstanding_requests;
    let effects = harness.start(1, "key-00005", "any", "t0");
    let (node, link, batch) = sent(&effects);
    harness
        .input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey("key-00005".into()) } });
    let effects = harness.input(Input::Unsent { node, link, batch });
    assert_eq!(answers(&effects), [""; 0]);
    assert_eq!(harness.core.counts().outstanding_requests, out + 1, "its TEARDOWN");
}

#[test]
fn unsent_change_of_rung_is_reverted() {
    let mut harness = connected_harness(1);
    harness.input(Input::Rules { deployment: Box::new(deployment()), label: "4/ab".into() });
    harness.input(Input::Lease { until: harness.now + 100.0 });
    let effects = harness.start(1, "key-00001", "any", "t0");
    let (node, link, setup, play) = expect_setup(&effects);
    harness.receive_from_node(node, link, ok(&setup).with(header_names::SESSION, "s1"));
    harness.receive_from_node(node, link, ok(&play).with(header_names::ASKED, "link=0.21"));
    let effects = harness.wait(2.0);
    // The change is a separate effect, so that the shell can drop it alone.
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
    let [(node, link, batch)] = leased[..] else { panic!("expected one change of rung: {effects:?}") };
    let out = harness.core.counts().outstanding_requests;
    trace(
        &harness.input(Input::Unsent { node, link, batch }),
        expect![[r#"1 < {"key":"key-00001","rung":1,"type":"rung"}"#]],
    );
    assert_eq!(harness.core.counts().outstanding_requests, out - 1, "no response is outstanding");
    // A second report for the same request has no effect.
    assert!(harness.input(Input::Unsent { node, link, batch }).is_empty());
}
