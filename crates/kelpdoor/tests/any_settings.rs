//! Five of the six rules under settings drawn at random, with nodes that answer at random: each seed is one director's short
//! life. The pace of cold nodes has tests of its own beside the traces.

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
/// s; the longest time between rounds, and so by how much later what ended in time may be told and answered.
const APART: f64 = 0.04;

struct Held {
    ask: NewSession,
    due: f64,
    /// The SETUP that is out: its node, and when it is given up.
    out: Option<(NodeId, f64)>,
    setups: usize,
    /// The first SETUP that may have run: its node, and when it was sent.
    ran: Option<(NodeId, f64)>,
    sent: f64,
    plays: Option<NodeId>,
}

/// Judges each order as it is given.
struct Judge {
    now: f64,
    terms: Terms,
    listed: BTreeMap<NodeId, ListedNode>,
    held: BTreeMap<SessId, Held>,
    taken: Vec<f64>,
    further: Vec<f64>,
    busy: usize,
    failed: usize,
    sent: usize,
}

impl Judge {
    fn group(&self, sess: SessId) -> &GroupTerms {
        &self.terms.groups[self.held[&sess].ask.group.0 as usize]
    }

    fn seats(&self, title: TitleId, group: GroupId) -> usize {
        let holds = |h: &&Held| {
            h.ask.title == title && h.ask.group == group && (h.out.is_some() || h.plays.is_some())
        };
        self.held.values().filter(holds).count()
    }

    fn ended(&mut self, sess: SessId, proof: bool) {
        let h = self.held.get_mut(&sess).expect("held");
        let (node, _) = h.out.take().expect("one is out");
        if !proof && h.ran.is_none() {
            h.ran = Some((node, h.sent));
        }
    }
}

impl Orders for Judge {
    fn set_rung(&mut self, sess: SessId, rung: u8) {
        let (floor, top) = (self.group(sess).floor, self.held[&sess].ask.best_rung);
        assert!((floor..=top).contains(&rung), "rung {rung} is not within {floor} to {top}");
    }

    fn send_setup(&mut self, sess: SessId, node: NodeId, wait: Option<f64>) {
        self.sent += 1;
        let (now, h) = (self.now, self.held.get(&sess).expect("still owed an answer"));
        assert!(h.out.is_none() && h.plays.is_none(), "two SETUPs of {sess:?} would be out");
        let line = self.listed[&node];
        assert_eq!(line.phase, Phase::Ready, "{node:?} is not ready");
        let off = (line.cell + self.terms.cells - h.ask.first_cell) % self.terms.cells;
        assert!(off < h.ask.cells, "{node:?} does not hold the title");
        assert!(h.setups < self.terms.max_setups as usize && now <= h.due);
        let group = self.group(sess);
        if let Some((first, at)) = h.ran {
            let first = self.listed[&first];
            match group.repeat {
                Repeat::Freely => {}
                Repeat::Within(reach) => assert!(
                    reach.joins((first.zone, first.cell), (line.zone, line.cell))
                        && now - at <= group.repeat_window,
                    "a keyed SETUP left its group or came late"
                ),
                Repeat::Never => panic!("an unsafe SETUP was sent again without proof"),
            }
        }
        let seats = group.seats as usize;
        assert!(seats == 0 || self.seats(h.ask.title, h.ask.group) < seats, "over its seats");
        let (again, due) = (h.setups > 0, h.due);
        if again && let Some(b) = self.terms.further {
            self.further.push(now);
            let lately = |all: &[f64]| all.iter().filter(|&&t| t > now - b.span).count() as f64;
            assert!(lately(&self.further) <= b.free + b.per_taken * lately(&self.taken), "over the budget");
        }
        let h = self.held.get_mut(&sess).expect("held");
        h.setups += 1;
        h.sent = now;
        h.out = Some((node, wait.map_or(due, |w| due.min(now + w))));
    }

    fn withdraw(&mut self, sess: SessId, _: u8) {
        assert!(self.terms.may_withdraw, "not allowed here");
        // Called off at the next round.
        if let Some(h) = self.held.get_mut(&sess)
            && let Some((_, until)) = &mut h.out
        {
            *until = self.now;
        }
    }

    fn reply_busy(&mut self, sess: SessId, come_back: Option<f64>) {
        self.busy += 1;
        let repeat = self.group(sess).repeat;
        let h = self.held.remove(&sess).expect("answered once");
        assert!(h.out.is_none() && h.plays.is_none() && self.now <= h.due + APART);
        assert!(h.ran.is_none() || matches!(repeat, Repeat::Freely | Repeat::Within(Reach::Anywhere)));
        assert_eq!(come_back, self.terms.come_back, "with when to come back, where that may be said");
    }

    fn reply_failed(&mut self, sess: SessId) {
        self.failed += 1;
        let h = self.held.remove(&sess).expect("answered once");
        assert!(h.out.is_none() && h.plays.is_none() && self.now <= h.due + APART);
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

fn settings(rng: &mut Rng) -> Terms {
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

fn line(rng: &mut Rng, n: u32, now: f64) -> ListedNode {
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

/// Takes `lines` into the round and into what the judge knows to be told.
fn list(round: &mut Round, judge: &mut Judge, lines: Vec<ListedNode>) {
    lines.iter().for_each(|l| {
        judge.listed.insert(l.node, *l);
    });
    round.list_changes.push(ListChange::Changed(lines));
}

/// What nodes say by now of the SETUPs that are out, and of sessions that play.
fn answers(rng: &mut Rng, round: &mut Round, judge: &mut Judge) {
    let now = judge.now;
    let asked: Vec<SessId> = judge.held.keys().copied().collect();
    for sess in asked {
        let h = judge.held.get_mut(&sess).expect("held");
        let load = LoadReport {
            streams: rng.bool().then(|| rng.f64() * 30.0),
            link: Some(rng.f64() * 2.0),
            uplink: None,
        };
        if let Some(node) = h.plays {
            match rng.u8(0..30) {
                0 => {
                    let outcome =
                        if rng.bool() { SetupOutcome::Served } else { SetupOutcome::ConnectionLost };
                    round.ended.push(Ended { sess, node, outcome, closed: true, load });
                    judge.held.remove(&sess);
                }
                1..6 => round.measurements.push(Measurement::Link { sess, node, asked: rng.f64() * 1.5 }),
                6..8 => round.measurements.push(Measurement::Uplink { sess, node, asked: rng.f64() * 1.5 }),
                8..11 => round.measurements.push(Measurement::Delivered { node, share: rng.f64() }),
                _ => {}
            }
            continue;
        }
        let Some((node, until)) = h.out else { continue };
        if now >= until {
            let outcome = if until < h.due { SetupOutcome::Withdrawn } else { SetupOutcome::TimedOut };
            judge.ended(sess, false);
            round.ended.push(Ended { sess, node, outcome, closed: false, load });
        } else if rng.u8(0..6) == 0 {
            (h.out, h.plays) = (None, Some(node));
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
            judge.ended(
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

fn life(seed: u64) -> (usize, usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let terms = settings(&mut rng);
    let mut director = Director::new(&terms, seed, 1000.0);
    let groups = terms.groups.len() as u16;
    let rungs = terms.ladder.len() as u8;
    let mut judge = Judge {
        now: 1000.0,
        terms,
        listed: BTreeMap::new(),
        held: BTreeMap::new(),
        taken: Vec::new(),
        further: Vec::new(),
        busy: 0,
        failed: 0,
        sent: 0,
    };
    let mut next = 0;
    for k in 0..ROUNDS {
        judge.now += rng.f64() * APART;
        let (now, mut round) = (judge.now, Round::default());
        if k == 0 {
            let lines: Vec<ListedNode> =
                (0..NODES).map(|n| ListedNode { phase: Phase::Ready, ..line(&mut rng, n, now) }).collect();
            judge.listed = lines.iter().map(|l| (l.node, *l)).collect();
            round.list_changes.push(ListChange::Cached(lines));
        } else if rng.u8(0..60) == 0 {
            let n = rng.u32(0..NODES);
            list(&mut round, &mut judge, vec![line(&mut rng, n, now)]);
        }
        answers(&mut rng, &mut round, &mut judge);
        if rng.u8(0..20) == 0
            && let Some((&sess, _)) = judge.held.iter().find(|(_, h)| h.plays.is_none() && h.out.is_none())
        {
            round.departures.push(sess);
            judge.held.remove(&sess);
        }
        for _ in 0..if k == 0 { 0 } else { rng.usize(0..8).saturating_sub(5) } {
            next += 1;
            let group = GroupId(rng.u16(0..groups) as u8);
            let ask = NewSession {
                sess: SessId(next),
                group,
                title: TitleId(rng.u64(0..3)),
                setup_timeout: 0.05 + rng.f64() * 3.0,
                first_cell: rng.u16(0..6),
                cells: rng.u16(1..=6),
                best_rung: rng.u8(0..rungs),
            };
            judge.taken.push(now);
            let held = Held {
                ask,
                due: now + ask.setup_timeout,
                out: None,
                setups: 0,
                ran: None,
                sent: now,
                plays: None,
            };
            judge.held.insert(ask.sess, held);
            round.new_sessions.push(ask);
        }
        director.round(now, &round, &mut judge);
        // Half of them are past the doubts of their own start when viewers come.
        let quiet = if k == 0 && seed.is_multiple_of(2) { 60 } else { 0 };
        for _ in 0..quiet {
            judge.now += 0.1;
            director.round(judge.now, &Round::default(), &mut judge);
        }
        for (sess, h) in &judge.held {
            assert!(h.out.is_some() || h.plays.is_some(), "{sess:?} is held back: given up or sent, at once");
        }
    }
    (judge.sent, judge.busy, judge.failed)
}

#[test]
fn the_rules_hold_under_any_settings() {
    let (mut sent, mut busy, mut failed) = (0, 0, 0);
    for seed in 0..SEEDS {
        let (s, b, f) = std::panic::catch_unwind(|| life(seed)).unwrap_or_else(|e| {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(e)
        });
        (sent, busy, failed) = (sent + s, busy + b, failed + f);
    }
    assert!(sent > 4_000 && busy > 20_000 && failed > 300, "{sent} SETUPs, {busy} busy, {failed} failed");
}
