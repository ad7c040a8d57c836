//! The desk under made-up interleavings, in virtual time: requests, retries, stops, node answers of every kind and in
//! any order, losses, stalls, list changes. Whatever comes, each request has its one answer in time, no two SETUPs of
//! a session are out, and nothing is held when all has ended.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Bench, book, roster};
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
    /// Answers the n-th request out, with a status.
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
    Stall {
        s: u8,
    },
    /// Asks with a token; renews one.
    Ticket {
        key: u8,
        token: u8,
        lasts: u8,
        renew: bool,
    },
    /// The rules are agreed from now on: a lease of so many tenths of a second, and other floors and seats.
    Lease {
        tenths: u8,
        strict: bool,
    },
    /// SETUPs leave in time, or find their lease over when their turn comes.
    Outbox {
        slow: bool,
    },
    /// The keeper reads so many words and answers, or so many are lost.
    Keeper {
        words: u8,
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
        1 => (1..12u8).prop_map(|s| Step::Stall { s }),
        2 => (0..30u8, any::<bool>()).prop_map(|(tenths, strict)| Step::Lease { tenths, strict }),
        1 => prop::bool::weighted(0.3).prop_map(|slow| Step::Outbox { slow }),
        5 => (30..50u8, 0..6u8, 0..8u8, prop::bool::weighted(0.2))
            .prop_map(|(key, token, lasts, renew)| Step::Ticket { key, token, lasts, renew }),
        5 => (1..9u8, prop::bool::weighted(0.15)).prop_map(|(words, lost)| Step::Keeper { words, lost }),
    ]
}

/// What was seen of one request.
#[derive(Default)]
struct Seen {
    due: f64,
    asked: usize,
    finals: Vec<(f64, ToPlayer)>,
    refused: bool,
    stalled: bool,
    /// The socket it was last asked on, if that was not lost before an answer.
    sock: Option<u8>,
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LeaseTerms { duration: 12.0, clock_error: 1.0 });
    ledger.set_seats(&School("olaf".into()), 3);
    ledger
}

/// The peers' side: what the desk has out, and what it was told.
struct Peers {
    bench: Bench,
    seen: BTreeMap<String, Seen>,
    /// Requests out at nodes: node, link, CSeq, method, pipe.
    out: Vec<(u32, u64, u32, Method, String)>,
    dials: Vec<(u32, u64)>,
    up: BTreeSet<(u32, u64)>,
    /// SETUPs out by session, and those that play, by pipe.
    live: BTreeMap<String, (String, u32, u64)>,
    rtsp: BTreeMap<String, (u32, u64, String)>,
    next: u32,
    done: bool,
    /// The keeper, words on their way to it, and the token that each key showed.
    ledger: Ledger,
    words: Vec<KeeperRequest>,
    tokens: BTreeMap<String, u8>,
    keeping: bool,
    /// Where rules are agreed: until when something may be begun, and whether SETUPs leave too late for it.
    lease: Option<f64>,
    slow: bool,
    floor: u8,
}

impl Peers {
    fn new(seed: u64) -> Self {
        Peers {
            bench: Bench::new(&book(), seed),
            seen: BTreeMap::new(),
            out: Vec::new(),
            dials: Vec::new(),
            up: BTreeSet::new(),
            live: BTreeMap::new(),
            rtsp: BTreeMap::new(),
            next: 0,
            done: false,
            ledger: ledger(),
            words: Vec::new(),
            tokens: BTreeMap::new(),
            keeping: false,
            lease: None,
            slow: false,
            floor: 0,
        }
    }

    fn take(&mut self, effects: Vec<Effect>) {
        let now = self.bench.now;
        let mut unsent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Leased { node, link, batch: pipe, .. } if self.slow => {
                    unsent.push((node, link, pipe))
                }
                Effect::Leased { node, link, bytes, .. } => {
                    assert!(self.lease.is_some_and(|until| now < until), "a SETUP without a lease");
                    assert!(self.up.contains(&(node, link)), "bytes for a link that is not up");
                    let (mut rest, mut methods) = (&bytes[..], Vec::new());
                    while let Ok(Some((message, len))) = kelpdoor_rtsp::parse(rest) {
                        rest = &rest[len..];
                        methods.extend(if let Message::Request(r) = &message {
                            Some(r.method)
                        } else {
                            None
                        });
                        self.heard(node, link, message);
                    }
                    assert!(rest.is_empty(), "half a message was written");
                    let whole = [&[Method::Setup, Method::Play][..], &[Method::SetParameter]];
                    assert!(whole.contains(&&methods[..]), "{methods:?} under one lease");
                }
                Effect::Player { message, .. } => {
                    let Some(key) = message.key().map(|k| k.0.clone()) else { continue };
                    let seen = self.seen.entry(key).or_default();
                    if message.is_final() {
                        seen.finals.push((now, message));
                    } else if matches!(message, ToPlayer::Error { .. }) {
                        seen.refused = true;
                    }
                }
                Effect::Dial { node, link, .. } => self.dials.push((node, link)),
                Effect::Disconnect { node, link } => self.gone(node, link),
                Effect::Node { node, link, bytes } => {
                    assert!(self.up.contains(&(node, link)), "bytes for a link that is not up");
                    let mut rest = &bytes[..];
                    while let Ok(Some((message, len))) = kelpdoor_rtsp::parse(rest) {
                        rest = &rest[len..];
                        self.heard(node, link, message);
                    }
                    assert!(rest.is_empty(), "half a message was written");
                }
                Effect::Fault(why) => panic!("fault: {why}"),
                Effect::Done => {
                    // Whoever carries effects out ends here.
                    self.done = true;
                    assert_eq!(self.bench.desk.counts().pending, 0, "done, with answers owed");
                }
                Effect::Keeper(word) => self.words.push(word),
                Effect::RequestRoster(_) | Effect::SaveList(_) | Effect::Log { .. } => {}
            }
        }
        for (node, link, pipe) in unsent {
            self.input(Input::Unsent { node, link, batch: pipe });
        }
    }

    fn heard(&mut self, node: u32, link: u64, message: Message) {
        let Message::Request(r) = message else { return };
        let pipe = r.headers.get(header_names::PIPELINED).unwrap_or("").to_owned();
        if r.method == Method::Setup {
            assert_eq!(
                r.headers.get(header_names::RULES_VERSION).is_some(),
                self.lease.is_some(),
                "versions are named"
            );
            let rung: u8 = r.headers.parse_value(header_names::RUNG).expect("a rung");
            assert!(rung >= self.floor, "rung {rung} under the floor {} in force", self.floor);
            let key = r.headers.get(header_names::REQUEST_KEY).expect("a key").to_owned();
            let other = self.live.values().find(|(k, _, _)| *k == key);
            assert!(other.is_none(), "two SETUPs of {key} are out or play: {other:?}");
            if let Some(token) = self.tokens.get(&key) {
                let same = self.live.values().find(|(k, _, _)| self.tokens.get(k) == Some(token));
                assert!(same.is_none(), "two sessions sit on the seat of {token}: {key} and {same:?}");
            }
            self.live.insert(pipe.clone(), (key, node, link));
        }
        if r.method == Method::Teardown {
            let by_name =
                r.headers.get(header_names::SESSION).and_then(|s| self.rtsp.get(s)).map(|x| x.2.clone());
            self.live.remove(&by_name.unwrap_or_else(|| pipe.clone()));
        }
        self.out.push((node, link, r.cseq, r.method, pipe));
    }

    fn gone(&mut self, node: u32, link: u64) {
        self.up.remove(&(node, link));
        self.dials.retain(|d| *d != (node, link));
        self.out.retain(|o| (o.0, o.1) != (node, link));
        self.live.retain(|_, (_, n, l)| (*n, *l) != (node, link));
        self.rtsp.retain(|_, (n, l, _)| (*n, *l) != (node, link));
    }

    fn input(&mut self, input: Input) {
        let effects = self.bench.input(input);
        self.take(effects);
    }

    /// Time passes, with rounds whenever the desk asks for one.
    fn wait(&mut self, seconds: f64) {
        let end = self.bench.now + seconds;
        while let Some(effects) = self.bench.wake_before(end) {
            self.take(effects);
            if self.keeping {
                self.keep(u8::MAX, false);
            }
        }
        self.bench.now = end;
    }

    fn keep(&mut self, words: u8, lost: bool) {
        for _ in 0..words {
            if self.words.is_empty() {
                return;
            }
            let word = self.words.remove(0);
            if !lost {
                let answers = self.ledger.handle_request(self.bench.now, &word);
                answers.into_iter().for_each(|(_, word)| self.input(Input::Keeper(word)));
            }
        }
    }

    /// A key is not used again once its answer may have been forgotten.
    fn key(&self, key: u8) -> String {
        format!("key-{key:03}-{}", ((self.bench.now - common::START) / 8.0) as u64)
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start { key, group, title, sock } => {
                let name = self.key(key);
                let timeout = [3.0, 0.4][usize::from(key % 2)];
                let due = self.bench.now + timeout;
                let known = self.seen.get(&name).is_some_and(|s| s.asked > 0);
                let seen = self.seen.entry(name.clone()).or_default();
                seen.asked += 1;
                // Asked again after its socket was lost: the answer may have come when nobody heard it.
                let lost = seen.sock.is_none();
                seen.sock = Some(sock);
                if !known || lost {
                    seen.due = due;
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
            Step::Ticket { key, token, lasts, renew } => {
                let name = self.key(key);
                let check = TokenCheck::Valid(Box::new(Entitlement {
                    school: School("olaf".into()),
                    token: TokenId(format!("t{token}")),
                    group: None,
                    expires: self.bench.now + f64::from(lasts),
                }));
                let key = RequestKey(name.clone());
                if renew {
                    let message = FromPlayer::Renew { key, token: String::new() };
                    return self.input(Input::PlayerWithToken { sock: 0, message, check });
                }
                let due = self.bench.now + 1.0;
                let seen = self.seen.entry(name.clone()).or_default();
                // What was refused as no message is a new request when it comes again.
                let known = seen.asked > 0 && !(seen.refused && seen.finals.is_empty());
                seen.asked += 1;
                let lost = seen.sock.is_none();
                seen.sock = Some(0);
                if !known || lost {
                    seen.due = due;
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
                let until = self.bench.now + f64::from(tenths) / 10.0;
                self.lease = Some(until);
                self.floor = if strict { 2 } else { 0 };
                let mut book = book();
                book.groups.iter_mut().filter(|_| strict).for_each(|g| (g.floor, g.seats) = (2, 1));
                self.input(Input::Rules { deployment: Box::new(book), label: "1/ab".into() });
                self.input(Input::Lease { until });
            }
            Step::Outbox { slow } => self.slow = slow,
            Step::Keeper { words, lost } => self.keep(words, lost),
            Step::Stop { key, sock } => {
                let key = RequestKey(self.key(key));
                self.input(Input::Player { sock: sock.into(), message: FromPlayer::Stop { key } });
            }
            Step::SocketLost(sock) => {
                self.seen.values_mut().filter(|s| s.sock == Some(sock)).for_each(|s| s.sock = None);
                self.input(Input::SocketLost { sock: sock.into() });
            }
            Step::Answer { which, status, twice } => {
                if self.out.is_empty() {
                    return;
                }
                let (node, link, cseq, method, pipe) = self.out.remove(usize::from(which) % self.out.len());
                let mut r = Response::new(status, cseq).with(header_names::LOAD_REPORT, "streams=3;link=0.5");
                if method == Method::Setup && r.ok() {
                    self.next += 1;
                    let id = format!("s{}", self.next);
                    r = r.with(header_names::SESSION, &id);
                    self.rtsp.insert(id, (node, link, pipe));
                } else if method == Method::Setup {
                    self.live.remove(&pipe);
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
                let ids: Vec<_> = self.rtsp.iter().map(|(id, x)| (id.clone(), x.clone())).collect();
                if ids.is_empty() {
                    return;
                }
                let (id, (node, link, pipe)) = ids[usize::from(which) % ids.len()].clone();
                let reasons = ["delivery-share", "link-load", "end-of-stream", "what"];
                if reason == 2 {
                    self.live.remove(&pipe);
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
                    self.gone(node, link);
                    self.input(Input::Node { node, link, event: NodeEvent::ConnectionLost });
                }
            }
            Step::List { node, phase } => {
                let phase = [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(phase)];
                let change = self.bench.change(node.into(), phase);
                self.input(Input::Roster(change));
            }
            Step::Wait { ms } => self.wait(f64::from(ms) / 1000.0),
            Step::Stall { s } => {
                let end = self.bench.now + f64::from(s);
                self.seen.values_mut().filter(|x| x.finals.is_empty()).for_each(|x| x.stalled = true);
                self.bench.now = end;
                let effects = self.bench.round();
                self.take(effects);
            }
        }
    }

    fn judge(&self) {
        for (key, seen) in self.seen.iter().filter(|(_, s)| s.asked > 0) {
            let Some((at, first)) = seen.finals.first() else {
                assert!(seen.refused || seen.sock.is_none(), "{key} was never answered");
                continue;
            };
            assert!(seen.stalled || *at <= seen.due, "{key}: answered {:.3} s late", at - seen.due);
            assert!(
                seen.finals.len() <= seen.asked,
                "{key}: {} answers to {}",
                seen.finals.len(),
                seen.asked
            );
            let kind = std::mem::discriminant(first);
            assert!(
                seen.finals.iter().all(|(_, f)| std::mem::discriminant(f) == kind),
                "{key}: answers differ"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_answer_in_time_and_nothing_left(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..160)) {
        let mut peers = Peers::new(seed);
        peers.input(Input::Roster(roster()));
        for step in &steps {
            peers.step(step);
        }
        // All ends: the keeper is there, sockets go, time passes, answers are forgotten.
        peers.keeping = true;
        peers.wait(4.0);
        for sock in 0..5 {
            peers.input(Input::SocketLost { sock });
        }
        peers.wait(120.0);
        peers.judge();
        let counts = peers.bench.desk.counts();
        prop_assert_eq!((counts.pending, counts.playing, counts.known), (0, 0, 0), "left: {:?}", counts);
        prop_assert!(counts.timers < 60, "timers left: {:?}", counts);
        let now = peers.bench.now;
        peers.ledger.expire(now);
        let seats = peers.ledger.status(&School("olaf".into()));
        prop_assert_eq!((seats.held, seats.free + seats.leased), (0, 3), "seats left: {:?}", seats);
    }

    #[test]
    fn shutting_down_answers_all_that_was_taken(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..60)) {
        let mut peers = Peers::new(seed);
        peers.input(Input::Roster(roster()));
        for step in &steps {
            peers.step(step);
        }
        peers.input(Input::ShutDown);
        peers.wait(5.0);
        peers.judge();
        prop_assert!(peers.done);
        prop_assert_eq!(peers.bench.desk.counts().playing, 0);
    }
}

#[test]
fn nothing_new_goes_to_a_node_that_the_agreed_list_lacks_drains_or_has_elsewhere() {
    use kelpdoor_script::{AgreedNode, AgreedTitle};
    let node =
        |id: u32, cell: u16| AgreedNode { id, zone: "east".into(), kind: "box".into(), cell, drain: false };
    // t0 lies on the nodes of cells 0, 1 and 2.
    let (mut setups, mut titles) = (String::new(), std::collections::BTreeMap::new());
    titles.insert("t0".to_owned(), AgreedTitle { name: "t0".into(), first_cell: 0, cells: 3 });
    let off = [
        ("all", vec![node(0, 0), node(1, 1), node(2, 2)]),
        ("0 not listed", vec![node(1, 1), node(2, 2)]),
        ("1 drained", vec![node(0, 0), AgreedNode { drain: true, ..node(1, 1) }, node(2, 2)]),
        ("2 elsewhere", vec![node(0, 0), node(1, 1), node(2, 5)]),
        ("none", Vec::new()),
    ];
    for (what, list) in off {
        let mut other = book();
        other.lists.nodes = Some(list.into_iter().map(|n| (n.id, n)).collect());
        other.lists.titles = Some(titles.clone());
        let mut bench = common::Bench::new(&book(), 1);
        let up = bench.input(Input::Roster(common::roster()));
        bench.connect(&up);
        bench.input(Input::Rules { deployment: Box::new(other), label: "1/ab".into() });
        let mut met = std::collections::BTreeSet::new();
        let mut answered = 0;
        for k in 0..24 {
            let key = format!("{what}-{k}");
            let mut effects = bench.start(1, &key, "any", "t0");
            effects.extend(bench.wait(0.05));
            let setups = common::requests(&effects).into_iter().filter(|r| r.2.method == Method::Setup);
            met.extend(setups.map(|r| r.0));
            answered += common::finals(&effects).len();
            bench.input(Input::Player { sock: 1, message: FromPlayer::Stop { key: RequestKey(key) } });
        }
        if what == "none" {
            let told = common::told(&bench.start(1, "k", "any", "t1"));
            assert!(told[0].contains("unknown_title"), "listed by the feed alone: {told:?}");
        }
        setups += &format!("{what}: {met:?}, {} told at once\n", if answered > 0 { "some" } else { "none" });
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
