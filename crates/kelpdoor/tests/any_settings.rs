//! Checks five of the six rules with random settings and nodes that answer at random; each seed is a short
//! run of one director. The pace of cold nodes has its own tests in `traces.rs` and `cold_fleet.rs`.

use std::collections::BTreeMap;

use fastrand::Rng;
use kelpdoor::ids::{GroupId, NodeId, SessId, TitleId};
use kelpdoor::round::{
    Ended, ListChange, ListedNode, LoadReport, Measurement, NewSession, Phase, Playing, SetupOutcome,
};
use kelpdoor::terms::{FurtherBudget, GroupTerms, Reach, Repeat, Terms};
use kelpdoor::{Director, Orders, Round};

const SEEDS: u64 = 400;
const NODES: u32 = 6;
const ROUNDS: usize = 400;
/// s; longest time between rounds, and so the largest delay of an outcome and of its answer.
const MAX_ROUND_GAP: f64 = 0.04;

struct OpenSession {
    request: NewSession,
    deadline: f64,
    /// Node and time-out of the SETUP in flight.
    in_flight: Option<(NodeId, f64)>,
    setups: usize,
    /// Node and send time of the first SETUP that may have run.
    maybe_ran: Option<(NodeId, f64)>,
    sent: f64,
    playing_at: Option<NodeId>,
}

/// Checks each order when it is given.
struct RuleChecker {
    now: f64,
    terms: Terms,
    listed: BTreeMap<NodeId, ListedNode>,
    open: BTreeMap<SessId, OpenSession>,
    accepted: Vec<f64>,
    further: Vec<f64>,
    busy: usize,
    failed: usize,
    sent: usize,
}

impl RuleChecker {
    fn group(&self, sess: SessId) -> &GroupTerms {
        &self.terms.groups[self.open[&sess].request.group.0 as usize]
    }

    fn seats(&self, title: TitleId, group: GroupId) -> usize {
        let holds = |h: &&OpenSession| {
            h.request.title == title
                && h.request.group == group
                && (h.in_flight.is_some() || h.playing_at.is_some())
        };
        self.open.values().filter(holds).count()
    }

    fn ended(&mut self, sess: SessId, did_not_run: bool) {
        let h = self.open.get_mut(&sess).expect("the session is open");
        let (node, _) = h.in_flight.take().expect("a SETUP is in flight");
        if !did_not_run && h.maybe_ran.is_none() {
            h.maybe_ran = Some((node, h.sent));
        }
    }
}

impl Orders for RuleChecker {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let (floor, top) = (self.group(sess).floor, self.open[&sess].request.best_rung);
        assert!((floor..=top).contains(&rung), "rung {rung} is not within {floor} to {top}");
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        self.sent += 1;
        let (now, h) = (self.now, self.open.get(&sess).expect("the session still waits for an answer"));
        assert!(h.in_flight.is_none() && h.playing_at.is_none(), "two SETUPs of {sess:?} are in flight");
        let listing = self.listed[&node];
        assert_eq!(listing.phase, Phase::Ready, "{node:?} is not ready");
        let off = (listing.cell + self.terms.cells - h.request.first_cell) % self.terms.cells;
        assert!(off < h.request.cells, "{node:?} does not hold the title");
        assert!(h.setups < self.terms.max_setups as usize && now <= h.deadline);
        let group = self.group(sess);
        if let Some((first, at)) = h.maybe_ran {
            let first = self.listed[&first];
            match group.repeat {
                Repeat::Freely => {}
                Repeat::Within(reach) => assert!(
                    reach.joins((first.zone, first.cell), (listing.zone, listing.cell))
                        && now - at <= group.repeat_window,
                    "a keyed SETUP was repeated out of reach or too late"
                ),
                Repeat::Never => panic!("an unsafe SETUP that may have run was repeated"),
            }
        }
        let seats = group.seats as usize;
        assert!(
            seats == 0 || self.seats(h.request.title, h.request.group) < seats,
            "more sessions than seats"
        );
        let (again, deadline) = (h.setups > 0, h.deadline);
        if again && let Some(b) = self.terms.further {
            self.further.push(now);
            let lately = |all: &[f64]| all.iter().filter(|&&t| t > now - b.span).count() as f64;
            assert!(
                lately(&self.further) <= b.free + b.per_taken * lately(&self.accepted),
                "further SETUPs exceed the budget"
            );
        }
        let h = self.open.get_mut(&sess).expect("the session is open");
        h.setups += 1;
        h.sent = now;
        h.in_flight = Some((node, wait.map_or(deadline, |w| deadline.min(now + w))));
    }

    fn withdraw(&mut self, sess: SessId, _: u8) {
        assert!(self.terms.may_withdraw, "SETUPs may not be withdrawn");
        // The outcome arrives in the next round.
        if let Some(h) = self.open.get_mut(&sess)
            && let Some((_, until)) = &mut h.in_flight
        {
            *until = self.now;
        }
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.busy += 1;
        let repeat = self.group(sess).repeat;
        let h = self.open.remove(&sess).expect("the session is answered only once");
        assert!(h.in_flight.is_none() && h.playing_at.is_none() && self.now <= h.deadline + MAX_ROUND_GAP);
        assert!(h.maybe_ran.is_none() || matches!(repeat, Repeat::Freely | Repeat::Within(Reach::Anywhere)));
        assert_eq!(come_back, self.terms.come_back, "the busy reply carries the retry time of the terms");
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.failed += 1;
        let h = self.open.remove(&sess).expect("the session is answered only once");
        assert!(h.in_flight.is_none() && h.playing_at.is_none() && self.now <= h.deadline + MAX_ROUND_GAP);
    }

    fn shift(&mut self, _: SessId) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_list(&mut self) {}
    fn probe(&mut self, _: NodeId) {}
    fn close_idle_connections(&mut self, _: NodeId) {}
    fn send_message(&mut self, _: Option<u16>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
    fn report_fault(&mut self, why: &str) {
        panic!("{why}");
    }
    fn wake_after(&mut self, _: f64) {}
}

fn random_terms(rng: &mut Rng) -> Terms {
    let rungs = rng.usize(1..8);
    let mut kb = 0.0;
    let ladder: Vec<f64> = std::iter::repeat_with(|| {
        kb += rng.f64() * 300.0 + 1.0;
        kb
    })
    .take(rungs)
    .collect();
    let reaches = [Reach::Anywhere, Reach::Zone, Reach::Cell];
    let group = |rng: &mut Rng| {
        let floor = rng.u8(0..rungs as u8) * rng.u8(0..2);
        GroupTerms {
            start_target: rng.f64() * 2.0,
            utility: rng.f64() * 3.0,
            repeat: match rng.u8(0..3) {
                0 => Repeat::Freely,
                1 => Repeat::Within(reaches[rng.usize(0..3)]),
                _ => Repeat::Never,
            },
            repeat_window: rng.f64() * 3.0,
            floor,
            top: rng.u8(floor..=rungs as u8),
            scale: 0.3 + rng.f64(),
            seats: if rng.bool() { rng.u32(1..4) } else { 0 },
            join: if rng.bool() { rng.f64() } else { 1.0 },
        }
    };
    let zero_or = |rng: &mut Rng, most: f64| if rng.u8(0..4) == 0 { 0.0 } else { rng.f64() * most };
    Terms {
        me: rng.u32(0..3),
        directors: rng.u32(0..40),
        zone: 0,
        groups: (0..rng.usize(1..4)).map(|_| group(rng)).collect(),
        rung_utility: (0..rungs).map(|r| (r + 1) as f64 / rungs as f64).collect(),
        ladder,
        places_by_kind: if rng.bool() { vec![rng.f64() * 20.0] } else { Vec::new() },
        cells: 6,
        racks: rng.u16(0..4),
        link_unit: zero_or(rng, 30_000.0),
        rack_uplink: zero_or(rng, 90_000.0),
        refuses_from: rng.bool().then(|| rng.f64() * 1.5),
        seen_after: zero_or(rng, 2.0),
        told_every: zero_or(rng, 5.0),
        switch_cost: zero_or(rng, 1.0),
        cross_zone_price: zero_or(rng, 0.1),
        max_setups: rng.u32(1..6),
        may_withdraw: rng.bool(),
        come_back: rng.bool().then(|| rng.f64()),
        cold_from: rng.f64(),
        warm_within: zero_or(rng, 20.0),
        tip_multiple: zero_or(rng, 5.0),
        fall_window: zero_or(rng, 5.0),
        further: rng.bool().then(|| FurtherBudget {
            free: rng.f64() * 4.0,
            per_taken: rng.f64() * 0.5,
            span: 0.2 + rng.f64() * 8.0,
        }),
        ask_list: rng.bool(),
        uplinks_told: rng.bool(),
    }
}

fn random_listed_node(rng: &mut Rng, n: u32, now: f64) -> ListedNode {
    let up_since = if rng.u8(0..8) == 0 { now - rng.f64() } else { 0.0 };
    let phase = [Phase::Ready, Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone][rng.usize(0..5)];
    ListedNode {
        node: NodeId(n),
        zone: (n % 2) as u16,
        kind: 0,
        cell: n as u16,
        phase,
        size: rng.f64() * 2.0,
        up_since,
    }
}

/// Adds listed nodes to the round and to the state of the checker.
fn add_list_change(round: &mut Round, checker: &mut RuleChecker, nodes: Vec<ListedNode>) {
    nodes.iter().for_each(|l| {
        checker.listed.insert(l.node, *l);
    });
    round.list_changes.push(ListChange::Changed(nodes));
}

/// Adds random answers of nodes for SETUPs in flight and for playing sessions.
fn add_node_answers(rng: &mut Rng, round: &mut Round, checker: &mut RuleChecker) {
    let now = checker.now;
    let asked: Vec<SessId> = checker.open.keys().copied().collect();
    for sess in asked {
        let h = checker.open.get_mut(&sess).expect("the session is open");
        let load = LoadReport {
            streams: rng.bool().then(|| rng.f64() * 30.0),
            link: Some(rng.f64() * 2.0),
            uplink: None,
        };
        if let Some(node) = h.playing_at {
            match rng.u8(0..30) {
                0 => {
                    let outcome =
                        if rng.bool() { SetupOutcome::Served } else { SetupOutcome::ConnectionLost };
                    round.ended.push(Ended { sess, node, outcome, closed: true, load });
                    checker.open.remove(&sess);
                }
                1..6 => round.measurements.push(Measurement::Link { sess, node, asked: rng.f64() * 1.5 }),
                6..8 => round.measurements.push(Measurement::Uplink { sess, node, asked: rng.f64() * 1.5 }),
                8..11 => round.measurements.push(Measurement::Delivered { node, share: rng.f64() }),
                _ => {}
            }
            continue;
        }
        let Some((node, until)) = h.in_flight else { continue };
        if now >= until {
            let outcome = if until < h.deadline { SetupOutcome::Withdrawn } else { SetupOutcome::TimedOut };
            checker.ended(sess, false);
            round.ended.push(Ended { sess, node, outcome, closed: false, load });
        } else if rng.u8(0..6) == 0 {
            (h.in_flight, h.playing_at) = (None, Some(node));
            round.playing.push(Playing { sess, node, took: now - h.sent });
        } else if rng.u8(0..6) == 0 {
            let outcome = [
                SetupOutcome::BusyReplied,
                SetupOutcome::Unreachable,
                SetupOutcome::NeverSent,
                SetupOutcome::Failed,
                SetupOutcome::ConnectionLost,
            ];
            let outcome = outcome[rng.usize(0..5)];
            checker.ended(
                sess,
                matches!(
                    outcome,
                    SetupOutcome::BusyReplied | SetupOutcome::Unreachable | SetupOutcome::NeverSent
                ),
            );
            round.ended.push(Ended { sess, node, outcome, closed: false, load });
        }
    }
}

fn run_seed(seed: u64) -> (usize, usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let terms = random_terms(&mut rng);
    let mut director = Director::new(&terms, seed, 1000.0);
    let groups = terms.groups.len() as u16;
    let rungs = terms.ladder.len() as u8;
    let mut checker = RuleChecker {
        now: 1000.0,
        terms,
        listed: BTreeMap::new(),
        open: BTreeMap::new(),
        accepted: Vec::new(),
        further: Vec::new(),
        busy: 0,
        failed: 0,
        sent: 0,
    };
    let mut next = 0;
    for k in 0..ROUNDS {
        checker.now += rng.f64() * MAX_ROUND_GAP;
        let (now, mut round) = (checker.now, Round::default());
        if k == 0 {
            let nodes: Vec<ListedNode> = (0..NODES)
                .map(|n| ListedNode { phase: Phase::Ready, ..random_listed_node(&mut rng, n, now) })
                .collect();
            checker.listed = nodes.iter().map(|l| (l.node, *l)).collect();
            round.list_changes.push(ListChange::Cached(nodes));
        } else if rng.u8(0..60) == 0 {
            let n = rng.u32(0..NODES);
            add_list_change(&mut round, &mut checker, vec![random_listed_node(&mut rng, n, now)]);
        }
        add_node_answers(&mut rng, &mut round, &mut checker);
        if rng.u8(0..20) == 0
            && let Some((&sess, _)) =
                checker.open.iter().find(|(_, h)| h.playing_at.is_none() && h.in_flight.is_none())
        {
            round.departures.push(sess);
            checker.open.remove(&sess);
        }
        for _ in 0..if k == 0 { 0 } else { rng.usize(0..8).saturating_sub(5) } {
            next += 1;
            let group = GroupId(rng.u16(0..groups) as u8);
            let request = NewSession {
                sess: SessId(next),
                group,
                title: TitleId(rng.u64(0..3)),
                setup_timeout: 0.05 + rng.f64() * 3.0,
                first_cell: rng.u16(0..6),
                cells: rng.u16(1..=6),
                best_rung: rng.u8(0..rungs),
            };
            checker.accepted.push(now);
            let open = OpenSession {
                request,
                deadline: now + request.setup_timeout,
                in_flight: None,
                setups: 0,
                maybe_ran: None,
                sent: now,
                playing_at: None,
            };
            checker.open.insert(request.sess, open);
            round.new_sessions.push(request);
        }
        director.round(now, &round, &mut checker);
        // In half of the runs, the director no longer presumes nodes cold when viewers arrive.
        let quiet = if k == 0 && seed.is_multiple_of(2) { 60 } else { 0 };
        for _ in 0..quiet {
            checker.now += 0.1;
            director.round(checker.now, &Round::default(), &mut checker);
        }
        for (sess, h) in &checker.open {
            assert!(
                h.in_flight.is_some() || h.playing_at.is_some(),
                "{sess:?} was neither sent nor given up at once"
            );
        }
    }
    (checker.sent, checker.busy, checker.failed)
}

#[test]
fn random_settings_keep_all_rules() {
    let (mut sent, mut busy, mut failed) = (0, 0, 0);
    for seed in 0..SEEDS {
        let (s, b, f) = std::panic::catch_unwind(|| run_seed(seed)).unwrap_or_else(|e| {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(e)
        });
        (sent, busy, failed) = (sent + s, busy + b, failed + f);
    }
    assert!(sent > 4_000 && busy > 20_000 && failed > 300, "{sent} SETUPs, {busy} busy, {failed} failed");
}
