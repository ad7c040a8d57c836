//! Explores every order of messages in a small scope and guards against two values chosen for one version: three voters, two
//! proposers, retried attempts, and one voter restarted at any moment, also between its write and the messages that follow.

mod texts;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor_agreement::{
    Ballot, Chosen, ClientRequest, DurableState, Output, Value, Voter, VoterId, VoterMessage,
};
use texts::READER;

const FOUNDERS: [VoterId; 3] = [VoterId(0), VoterId(1), VoterId(2)];

/// A 128-bit hash of a state.
fn hashed(voters: &[Voter], rest: impl Hash) -> u128 {
    let of = |salt: u8| {
        let mut h = DefaultHasher::new();
        salt.hash(&mut h);
        voters.iter().for_each(|v| v.decision_state().hash(&mut h));
        rest.hash(&mut h);
        h.finish()
    };
    u128::from(of(0)) << 64 | u128::from(of(1))
}

#[derive(Clone)]
struct State {
    voters: Vec<Voter>,
    /// Messages in flight, each at most once. A message that is never delivered is lost.
    in_flight: BTreeSet<(VoterId, VoterId, VoterMessage)>,
    restarts: u8,
    /// Remaining retries, by any voter.
    retries: u8,
    /// Every acceptance so far, by which a value is chosen.
    accepted: BTreeMap<(Ballot, u64), BTreeSet<VoterId>>,
}

impl State {
    fn key(&self) -> u128 {
        hashed(&self.voters, (&self.in_flight, self.restarts, self.retries, &self.accepted))
    }

    /// Takes out a voter's output. If `lost`, it dies between its write and its messages.
    fn flush(&mut self, k: usize, lost: bool) {
        let (_, out) = self.voters[k].take_output();
        if let Some((ballot, value)) = &self.voters[k].durable().accepted {
            self.accepted.entry((*ballot, value.id)).or_default().insert(VoterId(k as u8));
        }
        for o in out {
            // Chosen values are determined by acceptances; `Learn` messages would only multiply the states.
            if let Output::Message(to, message) = o
                && !lost
                && !matches!(message, VoterMessage::Learn { .. })
            {
                self.in_flight.insert((VoterId(k as u8), to, message));
            }
        }
    }

    fn restart(&mut self, k: usize) {
        let durable = self.voters[k].durable().clone();
        self.voters[k] = Voter::new(VoterId(k as u8), durable, READER, 7, 0.0);
        self.restarts -= 1;
    }

    fn chosen(&self) -> BTreeSet<u64> {
        self.accepted.iter().filter(|(_, who)| who.len() >= 2).map(|((_, id), _)| *id).collect()
    }
}

fn explore(proposers: usize, restarts: u8, retries: u8, max_states: usize) -> (usize, usize) {
    let voters =
        FOUNDERS.map(|v| Voter::new(v, DurableState::founded("f", &FOUNDERS), READER, 7, 0.0)).to_vec();
    let mut first =
        State { voters, in_flight: BTreeSet::new(), restarts, retries, accepted: BTreeMap::new() };
    for k in 0..proposers {
        let value = Value { id: k as u64 + 1, text: format!("text {k}") };
        first.voters[k].handle_request(0.0, 1, ClientRequest::Propose { after: 0, value, sure: false });
        first.flush(k, false);
    }
    let mut seen = HashSet::from([first.key()]);
    let mut queue = vec![first];
    let mut decided = 0;
    while let Some(state) = queue.pop() {
        assert!(state.chosen().len() <= 1, "two values chosen: {:?}", state.accepted);
        let learned: BTreeSet<u64> =
            state.voters.iter().filter_map(|v| v.newest()).map(|c| c.value.id).collect();
        assert!(learned.is_subset(&state.chosen()), "learned {learned:?}, chosen {:?}", state.chosen());
        decided += usize::from(!state.chosen().is_empty());
        assert!(seen.len() < max_states, "more than {max_states} states");
        let mut next = Vec::new();
        for message in &state.in_flight {
            for lost in [false, true] {
                if lost && state.restarts == 0 {
                    continue;
                }
                let mut s = state.clone();
                s.in_flight.remove(message);
                let (from, to, message) = message.clone();
                let to = usize::from(to.0);
                s.voters[to].handle_message(0.0, from, message);
                s.flush(to, lost);
                if lost {
                    s.restart(to);
                }
                next.push(s);
            }
        }
        for k in 0..3 {
            if state.restarts > 0 {
                let mut s = state.clone();
                s.restart(k);
                next.push(s);
            }
            if state.retries > 0 {
                // Its attempt times out, or it finishes a value that it accepted.
                let mut s = state.clone();
                s.retries -= 1;
                s.voters[k].tick(1.5);
                s.flush(k, false);
                next.push(s);
            }
        }
        for s in next {
            if seen.insert(s.key()) {
                queue.push(s);
            }
        }
    }
    (seen.len(), decided)
}

#[test]
fn any_message_order_chooses_at_most_one_value() {
    let (states, decided) = explore(2, 1, 0, 1_000_000);
    println!("two proposers, one restart: {states} states, in {decided} of them a value is chosen");
    assert!(states > 5_000 && decided > 500, "{states} {decided}");
}

#[test]
fn retried_attempt_chooses_at_most_one_value() {
    let (states, decided) = explore(1, 1, 1, 1_000_000);
    println!(
        "one proposer, one restart, one retry by any voter: {states} states, in {decided} of them a value is chosen"
    );
    assert!(states > 5_000 && decided > 500, "{states} {decided}");
}

/// Run by hand, takes some minutes: `cargo test --release -p kelpdoor-agreement --test exhaustive -- --ignored --nocapture`.
#[test]
#[ignore = "minutes and gigabytes"]
fn two_proposers_and_retry_choose_at_most_one_value() {
    let (states, decided) = explore(2, 0, 1, 60_000_000);
    println!(
        "two proposers, one retry by any voter: {states} states, in {decided} of them a value is chosen"
    );
    assert!(decided > 500);
}

/// The state of a handover. All voters know version 1. Voter 0 has had version 2 accepted, which replaces voter 2 by voter 3,
/// and its messages are in flight. Any voter that knows version 2 may propose version 3 while others still use the earlier
/// list.
#[derive(Clone)]
struct Handover {
    voters: Vec<Voter>,
    in_flight: BTreeSet<(VoterId, VoterId, VoterMessage)>,
    proposals: u8,
    retries: u8,
    restarts: u8,
    /// By version, ballot and content, all voters that ever accepted it.
    accepted: BTreeMap<(u64, Ballot, u64), BTreeSet<VoterId>>,
}

const BEFORE: &str = "one by 0 1 2";
const AFTER: &str = "two by 0 1 3";

impl Handover {
    fn key(&self) -> u128 {
        hashed(&self.voters, (&self.in_flight, self.proposals, self.retries, self.restarts, &self.accepted))
    }

    fn flush(&mut self, k: usize) {
        let (_, out) = self.voters[k].take_output();
        let (d, me) = (self.voters[k].durable(), VoterId(k as u8));
        if let Some((ballot, value)) = &d.accepted {
            self.accepted.entry((d.newest() + 1, *ballot, value.id)).or_default().insert(me);
        }
        for o in out {
            match o {
                // Polls are dropped: here every voter that lacks a version learns it in another way.
                Output::Message(_, VoterMessage::Want { .. })
                | Output::Broadcast(VoterMessage::Want { .. })
                | Output::Response(..) => {}
                Output::Message(to, message) => self.send(me, to, message),
                Output::Broadcast(message) => {
                    let others = (0..self.voters.len() as u8).map(VoterId).filter(|v| *v != me);
                    others.for_each(|to| self.send(me, to, message.clone()));
                }
            }
        }
        // Drops `Learn` messages that are no news to their receiver.
        let known: Vec<u64> = self.voters.iter().map(|v| v.durable().newest()).collect();
        self.in_flight.retain(
            |(_, to, w)| !matches!(w, VoterMessage::Learn { number, .. } if *number <= known[usize::from(to.0)]),
        );
    }

    fn send(&mut self, from: VoterId, to: VoterId, message: VoterMessage) {
        // The sender of a `Learn` message is irrelevant.
        let from = if matches!(message, VoterMessage::Learn { .. }) { to } else { from };
        self.in_flight.insert((from, to, message));
    }

    /// Contents chosen for a version, by the list of the preceding version.
    fn chosen(&self, number: u64) -> BTreeSet<u64> {
        let list: Vec<u8> = if number == 2 { vec![0, 1, 2] } else { vec![0, 1, 3] };
        let of = self.accepted.iter().filter(|((n, ..), _)| *n == number);
        let is_majority = |who: &BTreeSet<VoterId>| who.iter().filter(|v| list.contains(&v.0)).count() >= 2;
        of.filter(|(_, who)| is_majority(who)).map(|((.., id), _)| *id).collect()
    }
}

fn explore_handover(proposals: u8, retries: u8, restarts: u8, max_states: usize) -> (usize, usize) {
    let first = Chosen { number: 1, value: Value { id: 1, text: BEFORE.into() } };
    let knows = |votes_from| DurableState {
        chosen: vec![first.clone()],
        votes_from: Some(votes_from),
        ..DurableState::founded("f", &FOUNDERS)
    };
    // The other voters answered voter 3 at version 1.
    let voters = (0..4).map(|k| Voter::new(VoterId(k), knows(if k < 3 { 1 } else { 3 }), READER, 7, 0.0));
    let (in_flight, accepted) = (BTreeSet::new(), BTreeMap::new());
    let mut start = Handover { voters: voters.collect(), in_flight, proposals, retries, restarts, accepted };
    let value = Value { id: 2, text: AFTER.into() };
    start.voters[0].handle_request(0.0, 1, ClientRequest::Propose { after: 1, value, sure: false });
    start.flush(0);
    // A majority has promised; voter 2 has received nothing yet.
    for (from, to, message) in std::mem::take(&mut start.in_flight) {
        if to == VoterId(1) {
            start.voters[1].handle_message(0.0, from, message);
            start.flush(1);
        }
    }
    for (from, _, message) in std::mem::take(&mut start.in_flight) {
        start.voters[0].handle_message(0.0, from, message);
    }
    start.flush(0);
    let mut seen = HashSet::from([start.key()]);
    let mut queue = vec![start];
    let mut decided = 0;
    while let Some(state) = queue.pop() {
        let chosen = [state.chosen(2), state.chosen(3)];
        assert!(chosen.iter().all(|c| c.len() <= 1), "two contents of a version: {:?}", state.accepted);
        for c in state.voters.iter().flat_map(|v| &v.durable().chosen).filter(|c| c.number > 1) {
            assert!(chosen[c.number as usize - 2].contains(&c.value.id), "learned but not chosen: {c:?}");
        }
        decided += usize::from(!chosen[1].is_empty());
        assert!(seen.len() < max_states, "more than {max_states} states");
        let mut next = Vec::new();
        for message in &state.in_flight {
            let mut s = state.clone();
            s.in_flight.remove(message);
            let (from, to, message) = message.clone();
            s.voters[usize::from(to.0)].handle_message(0.0, from, message);
            s.flush(usize::from(to.0));
            next.push(s);
        }
        for k in 0..4 {
            let newest = state.voters[k].durable().newest();
            if state.proposals > 0 && newest == 2 {
                let mut s = state.clone();
                s.proposals -= 1;
                let value = Value { id: 10 + k as u64, text: format!("{k} by 0 1 3") };
                s.voters[k].handle_request(0.0, 1, ClientRequest::Propose { after: 2, value, sure: false });
                s.flush(k);
                next.push(s);
            }
            if state.retries > 0 {
                let mut s = state.clone();
                s.retries -= 1;
                s.voters[k].tick(1.5);
                s.flush(k);
                next.push(s);
            }
            if state.restarts > 0 {
                let mut s = state.clone();
                s.restarts -= 1;
                let durable = s.voters[k].durable().clone();
                s.voters[k] = Voter::new(VoterId(k as u8), durable, READER, 7, 0.0);
                next.push(s);
            }
        }
        for s in next {
            if seen.insert(s.key()) {
                queue.push(s);
            }
        }
    }
    (seen.len(), decided)
}

fn check_handover(proposals: u8, retries: u8, restarts: u8, max_states: usize) {
    let (states, decided) = explore_handover(proposals, retries, restarts, max_states);
    println!(
        "a voter replaced, {proposals} proposals after it, {retries} retries, {restarts} restarts: {states} states, \
         in {decided} of them the version after is chosen"
    );
    assert!(states > 500 && decided > 50, "{states} {decided}");
}

#[test]
fn replaced_voter_leaves_one_content_per_version() {
    check_handover(1, 0, 0, 100_000);
    check_handover(1, 0, 1, 400_000);
}

/// Run by hand, like the test above.
#[test]
#[ignore = "minutes and gigabytes"]
fn replaced_voter_and_two_proposals_leave_one_content_per_version() {
    check_handover(2, 0, 0, 20_000_000);
}

#[test]
#[ignore = "minutes and gigabytes"]
fn replaced_voter_and_retry_leave_one_content_per_version() {
    check_handover(1, 1, 0, 20_000_000);
}
