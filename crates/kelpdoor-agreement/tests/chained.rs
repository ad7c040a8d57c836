//! Every order of events in a small scope: a version and then another is chosen, a voter beside hears of both, of the last
//! alone, or of none, and a director asks either voter and may hear an answer late,
//! another asks the deciding one, while time goes on by half a lease. One
//! voter decides, so that what it has accepted is what is chosen.

mod texts;

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor_agreement::{
    Chosen, ClientRequest, DurableState, Follower, Output, Value, Voter, VoterId, VoterMessage, VoterResponse,
};
use texts::{READING, Texts};

const DECIDES: VoterId = VoterId(0);
const BESIDE: VoterId = VoterId(1);
/// s; half of the lease that documents grant here.
const TICK: f64 = 0.5;
/// s; as they state it.
const CONTRADICTION: f64 = 2.0;

fn text(number: u64) -> String {
    format!("number {number} by 0")
}

fn version(number: u64) -> Chosen {
    Chosen { number, value: Value { id: number, text: text(number) } }
}

#[derive(Clone)]
struct State {
    ticks: u32,
    /// Chosen: the newest that the deciding voter accepted.
    chosen: u64,
    voters: [Voter; 2],
    directors: [Follower<Texts>; 2],
    /// Answers on their way, by director and voter.
    late: BTreeMap<(usize, VoterId), VoterResponse>,
    /// By version, when somebody first acted who heeded nothing older.
    first: BTreeMap<u64, u32>,
    acted: u64,
}

impl State {
    fn now(&self) -> f64 {
        10.0 + TICK * f64::from(self.ticks)
    }

    fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        self.voters.iter().for_each(|v| v.decision_state().hash(&mut h));
        // Numbers of questions tell nothing apart: each line has one out, and what is late answers that one.
        let all = format!("{:?}{:?}{:?}", self.directors, self.late, self.first);
        for part in all.split("seq: ").flat_map(|p| p.split("out: Some((")) {
            part.trim_start_matches(|c: char| c.is_ascii_digit()).hash(&mut h);
        }
        (self.ticks, self.chosen).hash(&mut h);
        h.finish()
    }

    /// What must not be, looked at whenever anything happened.
    fn look(&mut self) {
        let now = self.now();
        for d in &mut self.directors {
            let Some(a) = d.active_versions(now).filter(|a| a.from <= now && now < a.until) else { continue };
            self.acted += 1;
            let (newest, oldest) = (a.version.number, a.oldest());
            self.first.entry(oldest).or_insert(self.ticks);
            let since = |n: u64| self.first.range(n + 1..).map(|(_, at)| self.ticks - at).max();
            assert_eq!(since(newest), None, "{} after somebody heeded only newer ones", a.label());
            let mixed = f64::from(since(oldest).unwrap_or(0)) * TICK;
            assert!(mixed <= CONTRADICTION, "{} for {mixed} s: switched keys", a.label());
            let all = (oldest..=newest).map(text).collect();
            let rules = d.rules(now).expect("what it acts on");
            assert_eq!((rules.all.clone(), rules.oldest.clone()), (all, text(oldest)), "{}", a.label());
        }
    }

    /// A director asks, and the voter answers, whatever becomes of the answer.
    fn ask(&mut self, d: usize, voter: VoterId) -> Option<VoterResponse> {
        let now = self.now();
        let ask = self.directors[d].next_request(now, voter)?;
        let v = &mut self.voters[usize::from(voter.0)];
        v.handle_request(now, d as u64, ask);
        v.take_output().1.into_iter().find_map(|o| match o {
            Output::Response(_, tell) => Some(tell),
            _ => None,
        })
    }

    fn hear(&mut self, d: usize, voter: VoterId, tell: VoterResponse) {
        // A word that is not taken says so; nothing else comes of it.
        let _ = self.directors[d].handle_response(self.now(), voter, tell);
        self.look();
    }

    fn next(&self, versions: u64, ticks: u32) -> Vec<State> {
        let mut next = Vec::new();
        let mut event = |of: &mut dyn FnMut(&mut State)| {
            let mut s = self.clone();
            of(&mut s);
            next.push(s);
        };
        if self.chosen < versions {
            event(&mut |s| {
                s.chosen += 1;
                let value = Value { id: s.chosen, text: text(s.chosen) };
                s.voters[0].handle_request(
                    s.now(),
                    9,
                    ClientRequest::Propose { after: s.chosen - 1, value, sure: false },
                );
                s.voters[0].take_output();
            });
        }
        if self.voters[1].durable().newest() < self.chosen {
            event(&mut |s| {
                let (number, id, text) = (s.chosen, s.chosen, text(s.chosen));
                s.voters[1].handle_message(s.now(), DECIDES, VoterMessage::Learn { number, id, text });
                s.voters[1].take_output();
            });
        }
        for d in 0..2 {
            // The other director hears of the deciding voter alone.
            for voter in [DECIDES, BESIDE].into_iter().filter(|v| d == 0 || *v == DECIDES) {
                if let Some(tell) = self.late.get(&(d, voter)).cloned() {
                    event(&mut |s| {
                        s.late.remove(&(d, voter));
                        s.hear(d, voter, tell.clone());
                    });
                    continue;
                }
                event(&mut |s| {
                    if let Some(tell) = s.ask(d, voter) {
                        s.hear(d, voter, tell);
                    }
                });
                if self.late.is_empty() && d == 0 {
                    event(&mut |s| {
                        if let Some(tell) = s.ask(d, voter) {
                            s.late.insert((d, voter), tell);
                        }
                    });
                }
            }
        }
        if self.ticks < ticks {
            event(&mut |s| {
                s.ticks += 1;
                s.look();
            });
        }
        next
    }
}

/// States seen, looks at which a director acted, and how often one acted on two and on three versions.
fn explore(versions: u64, ticks: u32, most: usize) -> (usize, u64, usize) {
    let knows = || DurableState { chosen: vec![version(1)], ..DurableState::founded("f", &[DECIDES]) };
    let voters = [0, 1].map(|k| Voter::new(VoterId(k), knows(), READING, 7, 0.0));
    let directors = [0, 1].map(|d| Follower::<Texts>::new(&format!("d{d}"), d + 1, None, ()));
    let (late, first) = (BTreeMap::new(), BTreeMap::new());
    let mut start = State { ticks: 0, chosen: 1, voters, directors, late, first, acted: 0 };
    // Both have been under a lease on version 1 for long.
    for k in 0..4 {
        start.ticks = k;
        for d in 0..2 {
            let tell = start.ask(d, DECIDES).expect("an answer");
            start.hear(d, DECIDES, tell);
        }
    }
    let (mut seen, mut todo) = (HashSet::from([start.key()]), vec![start.clone()]);
    let (mut acted, mut together) = (0, 0);
    while let Some(state) = todo.pop() {
        assert!(seen.len() < most, "more than {most} states");
        acted += state.acted - start.acted;
        let of =
            |d: &Follower<Texts>| d.active_versions(state.now()).map_or(0, |a| a.version.number - a.oldest());
        together += usize::from(state.directors.iter().any(|d| of(d) >= 2));
        for mut s in state.next(versions, 3 + ticks) {
            if seen.insert(s.key()) {
                s.acted = start.acted + u64::from(s.acted > state.acted);
                todo.push(s);
            }
        }
    }
    (seen.len(), acted, together)
}

fn explored(versions: u64, ticks: u32, most: usize) {
    let (states, acted, together) = explore(versions, ticks, most);
    println!(
        "{versions} versions, {ticks} half leases: {states} states, a director acted on the way to {acted} of them, \
         a chain of two was learned at once in {together}"
    );
    assert!(acted > 100 && (versions < 3 || together > 100), "{acted} {together}");
}

#[test]
fn no_order_of_events_lets_two_directors_act_on_rules_without_one_in_common() {
    explored(3, 3, 400_000);
}

/// By hand, some minutes: `cargo test --release -p kelpdoor-agreement --test chained -- --ignored --nocapture`.
#[test]
#[ignore = "minutes and gigabytes"]
fn nor_over_a_longer_time() {
    explored(3, 6, 60_000_000);
    explored(4, 4, 60_000_000);
}
