//! Explores every order of events in a small scope and guards against two directors that act on rules without a common
//! version. Versions are chosen one after the other; a second voter learns all, some or none of them; one director asks
//! either voter and may receive a response late, another asks only the deciding voter; time advances by half a lease. A
//! single voter decides, so that the value it accepts is chosen.

mod texts;

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor_agreement::{
    Chosen, ClientRequest, DurableState, Follower, Output, Value, Voter, VoterId, VoterMessage, VoterResponse,
};
use texts::{READER, TestRules};

const DECIDER: VoterId = VoterId(0);
const OTHER: VoterId = VoterId(1);
/// Half of the lease that the documents grant, in seconds.
const TICK: f64 = 0.5;
/// The maximum contradiction time that the documents state, in seconds.
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
    /// Number of the newest version that the deciding voter accepted, and thereby chose.
    chosen: u64,
    voters: [Voter; 2],
    directors: [Follower<TestRules>; 2],
    /// Responses in flight, by director and voter.
    delayed: BTreeMap<(usize, VoterId), VoterResponse>,
    /// For each version, the tick at which a director first acted on nothing older.
    first_alone: BTreeMap<u64, u32>,
    acted: u64,
}

impl State {
    fn now(&self) -> f64 {
        10.0 + TICK * f64::from(self.ticks)
    }

    fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        self.voters.iter().for_each(|v| v.decision_state().hash(&mut h));
        // Sequence numbers do not distinguish states: each voter has one request in flight, which a late response answers.
        let all = format!("{:?}{:?}{:?}", self.directors, self.delayed, self.first_alone);
        for part in all.split("seq: ").flat_map(|p| p.split("outstanding: Some((")) {
            part.trim_start_matches(|c: char| c.is_ascii_digit()).hash(&mut h);
        }
        (self.ticks, self.chosen).hash(&mut h);
        h.finish()
    }

    /// Checks the invariants; called after every event.
    fn check_invariants(&mut self) {
        let now = self.now();
        for d in &mut self.directors {
            let Some(a) = d.active_versions(now).filter(|a| a.from <= now && now < a.until) else { continue };
            self.acted += 1;
            let (newest, oldest) = (a.version.number, a.oldest());
            self.first_alone.entry(oldest).or_insert(self.ticks);
            let since = |n: u64| self.first_alone.range(n + 1..).map(|(_, at)| self.ticks - at).max();
            assert_eq!(since(newest), None, "{} after a director acted only on newer versions", a.label());
            let mixed = f64::from(since(oldest).unwrap_or(0)) * TICK;
            assert!(mixed <= CONTRADICTION, "{} for {mixed} s: switched keys", a.label());
            let all = (oldest..=newest).map(text).collect();
            let rules = d.rules(now).expect("active rules");
            assert_eq!((rules.all.clone(), rules.oldest.clone()), (all, text(oldest)), "{}", a.label());
        }
    }

    /// Sends a director's request to a voter and returns the response.
    fn request(&mut self, d: usize, voter: VoterId) -> Option<VoterResponse> {
        let now = self.now();
        let request = self.directors[d].next_request(now, voter)?;
        let v = &mut self.voters[usize::from(voter.0)];
        v.handle_request(now, d as u64, request);
        v.take_output().1.into_iter().find_map(|o| match o {
            Output::Response(_, response) => Some(response),
            _ => None,
        })
    }

    fn deliver(&mut self, d: usize, voter: VoterId, response: VoterResponse) {
        // A rejected response is an error without further effect.
        let _ = self.directors[d].handle_response(self.now(), voter, response);
        self.check_invariants();
    }

    fn successors(&self, versions: u64, ticks: u32) -> Vec<State> {
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
                s.voters[1].handle_message(s.now(), DECIDER, VoterMessage::Learn { number, id, text });
                s.voters[1].take_output();
            });
        }
        for d in 0..2 {
            // The second director asks only the deciding voter.
            for voter in [DECIDER, OTHER].into_iter().filter(|v| d == 0 || *v == DECIDER) {
                if let Some(response) = self.delayed.get(&(d, voter)).cloned() {
                    event(&mut |s| {
                        s.delayed.remove(&(d, voter));
                        s.deliver(d, voter, response.clone());
                    });
                    continue;
                }
                event(&mut |s| {
                    if let Some(response) = s.request(d, voter) {
                        s.deliver(d, voter, response);
                    }
                });
                if self.delayed.is_empty() && d == 0 {
                    event(&mut |s| {
                        if let Some(response) = s.request(d, voter) {
                            s.delayed.insert((d, voter), response);
                        }
                    });
                }
            }
        }
        if self.ticks < ticks {
            event(&mut |s| {
                s.ticks += 1;
                s.check_invariants();
            });
        }
        next
    }
}

/// Returns the number of states, of states reached by a director's action, and of states in which a director holds three or
/// more versions.
fn explore(versions: u64, ticks: u32, max_states: usize) -> (usize, u64, usize) {
    let initial_state =
        || DurableState { chosen: vec![version(1)], ..DurableState::founded("f", &[DECIDER]) };
    let voters = [0, 1].map(|k| Voter::new(VoterId(k), initial_state(), READER, 7, 0.0));
    let directors = [0, 1].map(|d| Follower::<TestRules>::new(&format!("d{d}"), d + 1, None, ()));
    let (delayed, first_alone) = (BTreeMap::new(), BTreeMap::new());
    let mut start = State { ticks: 0, chosen: 1, voters, directors, delayed, first_alone, acted: 0 };
    // Both directors have held a lease on version 1 for a while.
    for k in 0..4 {
        start.ticks = k;
        for d in 0..2 {
            let response = start.request(d, DECIDER).expect("a response");
            start.deliver(d, DECIDER, response);
        }
    }
    let (mut seen, mut queue) = (HashSet::from([start.key()]), vec![start.clone()]);
    let (mut acted, mut multiple) = (0, 0);
    while let Some(state) = queue.pop() {
        assert!(seen.len() < max_states, "more than {max_states} states");
        acted += state.acted - start.acted;
        let of = |d: &Follower<TestRules>| {
            d.active_versions(state.now()).map_or(0, |a| a.version.number - a.oldest())
        };
        multiple += usize::from(state.directors.iter().any(|d| of(d) >= 2));
        for mut s in state.successors(versions, 3 + ticks) {
            if seen.insert(s.key()) {
                s.acted = start.acted + u64::from(s.acted > state.acted);
                queue.push(s);
            }
        }
    }
    (seen.len(), acted, multiple)
}

fn explored(versions: u64, ticks: u32, max_states: usize) {
    let (states, acted, multiple) = explore(versions, ticks, max_states);
    println!(
        "{versions} versions, {ticks} half leases: {states} states, a director acted on the way to {acted} of them, \
         a chain of two was learned at once in {multiple}"
    );
    assert!(acted > 100 && (versions < 3 || multiple > 100), "{acted} {multiple}");
}

#[test]
fn any_event_order_keeps_active_versions_overlapping() {
    explored(3, 3, 400_000);
}

/// Run by hand, takes some minutes: `cargo test --release -p kelpdoor-agreement --test chained -- --ignored --nocapture`.
#[test]
#[ignore = "minutes and gigabytes"]
fn longer_event_order_keeps_active_versions_overlapping() {
    explored(3, 6, 60_000_000);
    explored(4, 4, 60_000_000);
}
