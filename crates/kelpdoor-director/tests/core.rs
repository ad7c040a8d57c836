//! Property tests of the core under random interleavings in virtual time: requests, retries, stops, node responses of
//! every kind and in any order, lost connections, pauses of the process and changes of the node list. Each request must
//! get exactly one answer in time, a session must never have two outstanding SETUPs, and nothing may be left when all
//! sessions have ended.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Harness, deployment, roster};
use kelpdoor_api::{FromPlayer, RequestKey, ToPlayer};
use kelpdoor_director::{Effect, Input, NodeEvent, Phase, TokenCheck};
use kelpdoor_rtsp::{Message, Method, Response, header_names};
use kelpdoor_seats::{KeeperRequest, LeaseTerms, Ledger, School, TokenId};
use kelpdoor_tokens::Entitlement;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Step {
    Start {
        key: u8,
        group: u8,
        title: u8,
        sock: u8,
    },
    Stop {
        key: u8,
        sock: u8,
    },
    SocketLost(u8),
    /// Answers one of the outstanding requests with a status.
    Answer {
        which: u8,
        status: u16,
        twice: bool,
    },
    Stray {
        node: u8,
        cseq: u32,
    },
    Notice {
        which: u8,
        reason: u8,
    },
    Connect {
        which: u8,
        works: bool,
    },
    Lose {
        node: u8,
    },
    List {
        node: u8,
        phase: u8,
    },
    Wait {
        ms: u16,
    },
    Pause {
        s: u8,
    },
    /// Starts a session with a token or renews the token.
    Token {
        key: u8,
        token: u8,
        lasts: u8,
        renew: bool,
    },
    /// Agreed rules are in force from now on: a lease in tenths of a second, and other floors and seats.
    Lease {
        tenths: u8,
        strict: bool,
    },
    /// Whether requests under a lease are sent too late from now on, after the lease has expired.
    SendLate {
        slow: bool,
    },
    /// The keeper answers a number of requests, or that many are lost.
    Keeper {
        requests: u8,
        lost: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..30u8, 0..4u8, 0..6u8, 0..5u8)
            .prop_map(|(key, group, title, sock)| Step::Start { key, group, title, sock }),
        2 => (0..30u8, 0..5u8).prop_map(|(key, sock)| Step::Stop { key, sock }),
        1 => (0..5u8).prop_map(Step::SocketLost),
        10 => (any::<u8>(), prop_oneof![6 => Just(200u16), 1 => Just(453), 1 => Just(503), 1 => Just(500), 1 => Just(454)],
            prop::bool::weighted(0.1)).prop_map(|(which, status, twice)| Step::Answer { which, status, twice }),
        1 => (0..6u8, any::<u32>()).prop_map(|(node, cseq)| Step::Stray { node, cseq }),
        2 => (any::<u8>(), 0..4u8).prop_map(|(which, reason)| Step::Notice { which, reason }),
        3 => (any::<u8>(), prop::bool::weighted(0.8)).prop_map(|(which, works)| Step::Connect { which, works }),
        1 => (0..6u8).prop_map(|node| Step::Lose { node }),
        1 => (0..6u8, 0..3u8).prop_map(|(node, phase)| Step::List { node, phase }),
        6 => (1..800u16).prop_map(|ms| Step::Wait { ms }),
        1 => (1..12u8).prop_map(|s| Step::Pause { s }),
        2 => (0..30u8, any::<bool>()).prop_map(|(tenths, strict)| Step::Lease { tenths, strict }),
        1 => prop::bool::weighted(0.3).prop_map(|slow| Step::SendLate { slow }),
        5 => (30..50u8, 0..6u8, 0..8u8, prop::bool::weighted(0.2))
            .prop_map(|(key, token, lasts, renew)| Step::Token { key, token, lasts, renew }),
        5 => (1..9u8, prop::bool::weighted(0.15)).prop_map(|(requests, lost)| Step::Keeper { requests, lost }),
    ]
}

/// What the test observed of one request.
#[derive(Default)]
struct Observed {
    due: f64,
    requests: usize,
    finals: Vec<(f64, ToPlayer)>,
    refused: bool,
    paused: bool,
    /// The socket of the last request, unless it was lost before an answer.
    sock: Option<u8>,
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LeaseTerms { duration: 12.0, clock_error: 1.0 });
    ledger.set_seats(&School("olaf".into()), 3);
    ledger
}

/// The peers of the core: players, media nodes and the keeper, with everything outstanding at them.
struct Peers {
    harness: Harness,
    observed: BTreeMap<String, Observed>,
    /// Outstanding requests at nodes: node, link, CSeq, method, pipeline id.
    outstanding: Vec<(u32, u64, u32, Method, String)>,
    dials: Vec<(u32, u64)>,
    up: BTreeSet<(u32, u64)>,
    /// Outstanding and playing SETUPs by pipeline id: request key, node, link.
    setups: BTreeMap<String, (String, u32, u64)>,
    rtsp_sessions: BTreeMap<String, (u32, u64, String)>,
    next_rtsp_id: u32,
    done: bool,
    /// The state of the keeper.
    ledger: Ledger,
    /// Requests on their way to the keeper.
    keeper_requests: Vec<KeeperRequest>,
    /// The token of each request key.
    tokens: BTreeMap<String, u8>,
    keeper_answers: bool,
    /// Expiry of the lease; `None` without agreed rules.
    lease: Option<f64>,
    /// Whether requests under a lease are sent too late.
    slow: bool,
    floor: u8,
}

impl Peers {
    fn new(seed: u64) -> Self {
        Peers {
            harness: Harness::new(&deployment(), seed),
            observed: BTreeMap::new(),
            outstanding: Vec::new(),
            dials: Vec::new(),
            up: BTreeSet::new(),
            setups: BTreeMap::new(),
            rtsp_sessions: BTreeMap::new(),
            next_rtsp_id: 0,
            done: false,
            ledger: ledger(),
            keeper_requests: Vec::new(),
            tokens: BTreeMap::new(),
            keeper_answers: false,
            lease: None,
            slow: false,
            floor: 0,
        }
    }

    fn handle_effects(&mut self, effects: Vec<Effect>) {
        let now = self.harness.now;
        let mut unsent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Leased { node, link, batch: pipeline, .. } if self.slow => {
                    unsent.push((node, link, pipeline))
                }
                Effect::Leased { node, link, bytes, .. } => {
                    assert!(
                        self.lease.is_some_and(|until| now < until),
                        "a SETUP was sent without a valid lease"
                    );
                    assert!(self.up.contains(&(node, link)), "bytes for a link that is not up");
                    let (mut rest, mut methods) = (&bytes[..], Vec::new());
                    while let Ok(Some((message, len))) = kelpdoor_rtsp::parse(rest) {
                        rest = &rest[len..];
                        methods.extend(if let Message::Request(r) = &message {
                            Some(r.method)
                        } else {
                            None
                        });
                        self.handle_node_message(node, link, message);
                    }
                    assert!(rest.is_empty(), "an incomplete message was written");
                    let whole = [&[Method::Setup, Method::Play][..], &[Method::SetParameter]];
                    assert!(whole.contains(&&methods[..]), "{methods:?} under one lease");
                }
                Effect::Player { message, .. } => {
                    let Some(key) = message.key().map(|k| k.0.clone()) else { continue };
                    let observed = self.observed.entry(key).or_default();
                    if message.is_final() {
                        observed.finals.push((now, message));
                    } else if matches!(message, ToPlayer::Error { .. }) {
                        observed.refused = true;
                    }
                }
                Effect::Dial { node, link, .. } => self.dials.push((node, link)),
                Effect::Disconnect { node, link } => self.drop_connection(node, link),
                Effect::Node { node, link, bytes } => {
                    assert!(self.up.contains(&(node, link)), "bytes for a link that is not up");
                    let mut rest = &bytes[..];
                    while let Ok(Some((message, len))) = kelpdoor_rtsp::parse(rest) {
                        rest = &rest[len..];
                        self.handle_node_message(node, link, message);
                    }
                    assert!(rest.is_empty(), "an incomplete message was written");
                }
                Effect::Fault(why) => panic!("fault: {why}"),
                Effect::Done => {
                    // The shell stops here.
                    self.done = true;
                    assert_eq!(self.harness.core.counts().pending, 0, "done while answers are pending");
                }
                Effect::Keeper(request) => self.keeper_requests.push(request),
                Effect::RequestRoster(_) | Effect::SaveList(_) | Effect::Log { .. } => {}
            }
        }
        for (node, link, pipeline) in unsent {
            self.input(Input::Unsent { node, link, batch: pipeline });
        }
    }

    fn handle_node_message(&mut self, node: u32, link: u64, message: Message) {
        let Message::Request(r) = message else { return };
        let pipeline = r.headers.get(header_names::PIPELINED).unwrap_or("").to_owned();
        if r.method == Method::Setup {
            assert_eq!(
                r.headers.get(header_names::RULES_VERSION).is_some(),
                self.lease.is_some(),
                "the rules version is named exactly under a lease"
            );
            let rung: u8 = r.headers.parse_value(header_names::RUNG).expect("a rung");
            assert!(rung >= self.floor, "rung {rung} is below the floor {} in force", self.floor);
            let key = r.headers.get(header_names::REQUEST_KEY).expect("a key").to_owned();
            let other = self.setups.values().find(|(k, _, _)| *k == key);
            assert!(other.is_none(), "two SETUPs of {key} are outstanding or playing: {other:?}");
            if let Some(token) = self.tokens.get(&key) {
                let same = self.setups.values().find(|(k, _, _)| self.tokens.get(k) == Some(token));
                assert!(same.is_none(), "two sessions use the seat of {token}: {key} and {same:?}");
            }
            self.setups.insert(pipeline.clone(), (key, node, link));
        }
        if r.method == Method::Teardown {
            let by_name = r
                .headers
                .get(header_names::SESSION)
                .and_then(|s| self.rtsp_sessions.get(s))
                .map(|x| x.2.clone());
            self.setups.remove(&by_name.unwrap_or_else(|| pipeline.clone()));
        }
        self.outstanding.push((node, link, r.cseq, r.method, pipeline));
    }

    fn drop_connection(&mut self, node: u32, link: u64) {
        self.up.remove(&(node, link));
        self.dials.retain(|d| *d != (node, link));
        self.outstanding.retain(|o| (o.0, o.1) != (node, link));
        self.setups.retain(|_, (_, n, l)| (*n, *l) != (node, link));
        self.rtsp_sessions.retain(|_, (n, l, _)| (*n, *l) != (node, link));
    }

    fn input(&mut self, input: Input) {
        let effects = self.harness.input(input);
        self.handle_effects(effects);
    }

    /// Advances the time and runs all timers of the core on the way.
    fn wait(&mut self, seconds: f64) {
        let end = self.harness.now + seconds;
        while let Some(effects) = self.harness.run_next_timer(end) {
            self.handle_effects(effects);
            if self.keeper_answers {
                self.run_keeper(u8::MAX, false);
            }
        }
        self.harness.now = end;
    }

    fn run_keeper(&mut self, requests: u8, lost: bool) {
        for _ in 0..requests {
            if self.keeper_requests.is_empty() {
                return;
            }
            let message = self.keeper_requests.remove(0);
            if !lost {
                let answers = self.ledger.handle_request(self.harness.now, &message);
                answers.into_iter().for_each(|(_, message)| self.input(Input::Keeper(message)));
            }
        }
    }

    /// Returns a key that is not used again once its answer may have been forgotten.
    fn key(&self, key: u8) -> String {
        format!("key-{key:03}-{}", ((self.harness.now - common::START) / 8.0) as u64)
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start { key, group, title, sock } => {
                let name = self.key(key);
                let timeout = [3.0, 0.4][usize::from(key % 2)];
                let due = self.harness.now + timeout;
                let known = self.observed.get(&name).is_some_and(|s| s.requests > 0);
                let observed = self.observed.entry(name.clone()).or_default();
                observed.requests += 1;
                // A retry after the socket was lost: the answer may have been sent while no socket was there.
                let lost = observed.sock.is_none();
                observed.sock = Some(sock);
                if !known || lost {
                    observed.due = due;
                }
                self.input(Input::Player {
                    sock: sock.into(),
                    message: FromPlayer::Start {
                        key: RequestKey(name),
                        group: ["any", "zoned", "paid", "seated"][usize::from(group)].into(),
                        title: format!("t{title}"),
                        best_rung: 3,
                        setup_timeout: timeout,
                        token: None,
                    },
                });
            }
            Step::Token { key, token, lasts, renew } => {
                let name = self.key(key);
                let check = TokenCheck::Valid(Box::new(Entitlement {
                    school: School("olaf".into()),
                    token: TokenId(format!("t{token}")),
                    group: None,
                    expires: self.harness.now + f64::from(lasts),
                }));
                let key = RequestKey(name.clone());
                if renew {
                    let message = FromPlayer::Renew { key, token: String::new() };
                    return self.input(Input::PlayerWithToken { sock: 0, message, check });
                }
                let due = self.harness.now + 1.0;
                let observed = self.observed.entry(name.clone()).or_default();
                // A request that was refused with an error is a new request when it is repeated.
                let known = observed.requests > 0 && !(observed.refused && observed.finals.is_empty());
                observed.requests += 1;
                let lost = observed.sock.is_none();
                observed.sock = Some(0);
                if !known || lost {
                    observed.due = due;
                }
                if !known {
                    self.tokens.insert(name, token);
                }
                let mut message = common::start(&key.0, "ticket", "t1");
                if let FromPlayer::Start { setup_timeout, .. } = &mut message {
                    *setup_timeout = 1.0;
                }
                self.input(Input::PlayerWithToken { sock: 0, message, check });
            }
            Step::Lease { tenths, strict } => {
                let until = self.harness.now + f64::from(tenths) / 10.0;
                self.lease = Some(until);
                self.floor = if strict { 2 } else { 0 };
                let mut book = deployment();
                book.groups.iter_mut().filter(|_| strict).for_each(|g| (g.floor, g.seats) = (2, 1));
                self.input(Input::Rules { deployment: Box::new(book), label: "1/ab".into() });
                self.input(Input::Lease { until });
            }
            Step::SendLate { slow } => self.slow = slow,
            Step::Keeper { requests, lost } => self.run_keeper(requests, lost),
            Step::Stop { key, sock } => {
                let key = RequestKey(self.key(key));
                self.input(Input::Player { sock: sock.into(), message: FromPlayer::Stop { key } });
            }
            Step::SocketLost(sock) => {
                self.observed.values_mut().filter(|s| s.sock == Some(sock)).for_each(|s| s.sock = None);
                self.input(Input::SocketLost { sock: sock.into() });
            }
            Step::Answer { which, status, twice } => {
                if self.outstanding.is_empty() {
                    return;
                }
                let (node, link, cseq, method, pipeline) =
                    self.outstanding.remove(usize::from(which) % self.outstanding.len());
                let mut r = Response::new(status, cseq).with(header_names::LOAD_REPORT, "streams=3;link=0.5");
                if method == Method::Setup && r.ok() {
                    self.next_rtsp_id += 1;
                    let id = format!("s{}", self.next_rtsp_id);
                    r = r.with(header_names::SESSION, &id);
                    self.rtsp_sessions.insert(id, (node, link, pipeline));
                } else if method == Method::Setup {
                    self.setups.remove(&pipeline);
                } else if method == Method::Play {
                    r = r.with(header_names::ASKED, "link=0.7");
                }
                for _ in 0..1 + usize::from(twice) {
                    let event = NodeEvent::Received(r.clone().into());
                    self.input(Input::Node { node, link, event });
                }
            }
            Step::Stray { node, cseq } => {
                if let Some(&(node, link)) = self.up.iter().find(|(n, _)| *n == u32::from(node)) {
                    let event = NodeEvent::Received(
                        Response::new(200, cseq).with(header_names::SESSION, "s9999").into(),
                    );
                    self.input(Input::Node { node, link, event });
                }
            }
            Step::Notice { which, reason } => {
                let ids: Vec<_> = self.rtsp_sessions.iter().map(|(id, x)| (id.clone(), x.clone())).collect();
                if ids.is_empty() {
                    return;
                }
                let (id, (node, link, pipeline)) = ids[usize::from(which) % ids.len()].clone();
                let reasons = ["delivery-share", "link-load", "end-of-stream", "what"];
                if reason == 2 {
                    self.setups.remove(&pipeline);
                }
                let r = kelpdoor_rtsp::Request::new(Method::PlayNotify, "rtsp://n/", 1)
                    .with(header_names::SESSION, &id)
                    .with(header_names::NOTIFY_REASON, reasons[usize::from(reason)])
                    .with(header_names::DELIVERED, "0.7")
                    .with(header_names::ASKED, "link=1.3");
                self.input(Input::Node { node, link, event: NodeEvent::Received(r.into()) });
            }
            Step::Connect { which, works } => {
                if self.dials.is_empty() {
                    return;
                }
                let (node, link) = self.dials.remove(usize::from(which) % self.dials.len());
                let event = if works { NodeEvent::Connected } else { NodeEvent::ConnectFailed };
                if works {
                    self.up.insert((node, link));
                }
                self.input(Input::Node { node, link, event });
            }
            Step::Lose { node } => {
                if let Some(&(node, link)) = self.up.iter().find(|(n, _)| *n == u32::from(node)) {
                    self.drop_connection(node, link);
                    self.input(Input::Node { node, link, event: NodeEvent::ConnectionLost });
                }
            }
            Step::List { node, phase } => {
                let phase = [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(phase)];
                let change = self.harness.change(node.into(), phase);
                self.input(Input::Roster(change));
            }
            Step::Wait { ms } => self.wait(f64::from(ms) / 1000.0),
            Step::Pause { s } => {
                let end = self.harness.now + f64::from(s);
                self.observed.values_mut().filter(|x| x.finals.is_empty()).for_each(|x| x.paused = true);
                self.harness.now = end;
                let effects = self.harness.round();
                self.handle_effects(effects);
            }
        }
    }

    fn check_answers(&self) {
        for (key, observed) in self.observed.iter().filter(|(_, s)| s.requests > 0) {
            let Some((at, first)) = observed.finals.first() else {
                assert!(observed.refused || observed.sock.is_none(), "{key} was never answered");
                continue;
            };
            assert!(
                observed.paused || *at <= observed.due,
                "{key}: answered {:.3} s late",
                at - observed.due
            );
            assert!(
                observed.finals.len() <= observed.requests,
                "{key}: {} answers to {}",
                observed.finals.len(),
                observed.requests
            );
            let kind = std::mem::discriminant(first);
            assert!(
                observed.finals.iter().all(|(_, f)| std::mem::discriminant(f) == kind),
                "{key}: answers differ"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn random_steps_give_one_answer_in_time_and_leave_nothing(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..160)) {
        let mut peers = Peers::new(seed);
        peers.input(Input::Roster(roster()));
        for step in &steps {
            peers.step(step);
        }
        // Everything ends: the keeper answers, sockets close, time passes, answers are forgotten.
        peers.keeper_answers = true;
        peers.wait(4.0);
        for sock in 0..5 {
            peers.input(Input::SocketLost { sock });
        }
        peers.wait(120.0);
        peers.check_answers();
        let counts = peers.harness.core.counts();
        prop_assert_eq!((counts.pending, counts.playing, counts.known), (0, 0, 0), "left: {:?}", counts);
        prop_assert!(counts.timers < 60, "timers left: {:?}", counts);
        let now = peers.harness.now;
        peers.ledger.expire(now);
        let seats = peers.ledger.status(&School("olaf".into()));
        prop_assert_eq!((seats.held, seats.free + seats.leased), (0, 3), "seats left: {:?}", seats);
    }

    #[test]
    fn shutdown_answers_all_accepted_requests(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..60)) {
        let mut peers = Peers::new(seed);
        peers.input(Input::Roster(roster()));
        for step in &steps {
            peers.step(step);
        }
        peers.input(Input::ShutDown);
        peers.wait(5.0);
        peers.check_answers();
        prop_assert!(peers.done);
        prop_assert_eq!(peers.harness.core.counts().playing, 0);
    }
}

#[test]
fn node_unlisted_drained_or_different_in_agreed_list_gets_no_new_sessions() {
    use kelpdoor_script::{AgreedNode, AgreedTitle};
    let node =
        |id: u32, cell: u16| AgreedNode { id, zone: "east".into(), kind: "box".into(), cell, drain: false };
    // The nodes of cells 0, 1 and 2 hold t0.
    let (mut setups, mut titles) = (String::new(), std::collections::BTreeMap::new());
    titles.insert("t0".to_owned(), AgreedTitle { name: "t0".into(), first_cell: 0, cells: 3 });
    let cases = [
        ("all", vec![node(0, 0), node(1, 1), node(2, 2)]),
        ("0 not listed", vec![node(1, 1), node(2, 2)]),
        ("1 drained", vec![node(0, 0), AgreedNode { drain: true, ..node(1, 1) }, node(2, 2)]),
        ("2 elsewhere", vec![node(0, 0), node(1, 1), node(2, 5)]),
        ("none", Vec::new()),
    ];
    for (case, list) in cases {
        let mut rules = deployment();
        rules.lists.nodes = Some(list.into_iter().map(|n| (n.id, n)).collect());
        rules.lists.titles = Some(titles.clone());
        let mut harness = common::Harness::new(&deployment(), 1);
        let up = harness.input(Input::Roster(common::roster()));
        harness.connect(&up);
        harness.input(Input::Rules { deployment: Box::new(rules), label: "1/ab".into() });
        let mut nodes = std::collections::BTreeSet::new();
        let mut answered = 0;
        for k in 0..24 {
            let key = format!("{case}-{k}");
            let mut effects = harness.start(1, &key, "any", "t0");
            effects.extend(harness.wait(0.05));
            let setups = common::requests(&effects).into_iter().filter(|r| r.2.method == Method::Setup);
            nodes.extend(setups.map(|r| r.0));
            answered += common::final_answers(&effects).len();
            harness.input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey(key) } });
        }
        if case == "none" {
            let player_messages = common::player_messages(&harness.start(1, "k", "any", "t1"));
            assert!(
                player_messages[0].contains("unknown_title"),
                "listed by the roster alone: {player_messages:?}"
            );
        }
        setups +=
            &format!("{case}: {nodes:?}, {} told at once\n", if answered > 0 { "some" } else { "none" });
    }
    expect_test::expect![[r#"
        all: {0, 1, 2}, none told at once
        0 not listed: {1, 2}, none told at once
        1 drained: {0, 2}, none told at once
        2 elsewhere: {0, 1}, none told at once
        none: {}, some told at once
    "#]]
    .assert_eq(&setups);
}
