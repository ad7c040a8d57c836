//! Every order of words in a small scope: three voters, two proposers, tries begun again and one voter restarted at any
//! moment, also between its write and its words. No two values are ever chosen for a version.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use kelpdoor_agreement::{Ask, Ballot, Durable, Out, Value, Voter, VoterId, Word};

fn lease(_: &str) -> f64 {
    1.0
}

#[derive(Clone)]
struct State {
    voters: Vec<Voter>,
    /// On the way, each at most once; a word that is never delivered is one that was lost.
    net: BTreeSet<(VoterId, VoterId, Word)>,
    restarts: u8,
    /// Tries begun again, by either proposer.
    again: u8,
    /// Who accepted what, ever: the definition of being chosen.
    accepted: BTreeMap<(Ballot, u64), BTreeSet<VoterId>>,
}

impl State {
    fn key(&self) -> u128 {
        let mut hashes = [0u64; 2];
        for (salt, hash) in hashes.iter_mut().enumerate() {
            let mut h = DefaultHasher::new();
            salt.hash(&mut h);
            self.voters.iter().for_each(|v| v.shape().hash(&mut h));
            self.net.hash(&mut h);
            (self.restarts, self.again).hash(&mut h);
            self.accepted.hash(&mut h);
            *hash = h.finish();
        }
        u128::from(hashes[0]) << 64 | u128::from(hashes[1])
    }

    /// Takes out what a voter has to say; `lost`: it dies between its write and its words.
    fn flush(&mut self, k: usize, lost: bool) {
        let (_, out) = self.voters[k].take_out();
        if let Some((ballot, value)) = &self.voters[k].durable().accepted {
            self.accepted.entry((*ballot, value.id)).or_default().insert(VoterId(k as u8));
        }
        for o in out {
            // What is chosen is judged by who accepted: word of it would multiply the states.
            if let Out::To(to, word) = o
                && !lost
                && !matches!(word, Word::Learn { .. })
            {
                self.net.insert((VoterId(k as u8), to, word));
            }
        }
    }

    fn restart(&mut self, k: usize) {
        let durable = self.voters[k].durable().clone();
        self.voters[k] = Voter::new(VoterId(k as u8), 3, durable, lease, 7, 0.0);
        self.restarts -= 1;
    }

    fn chosen(&self) -> BTreeSet<u64> {
        self.accepted.iter().filter(|(_, who)| who.len() >= 2).map(|((_, id), _)| *id).collect()
    }
}

fn explore(proposers: usize, restarts: u8, again: u8, most: usize) -> (usize, usize) {
    let voters = (0..3).map(|k| Voter::new(VoterId(k), 3, Durable::founded("f"), lease, 7, 0.0)).collect();
    let mut first = State { voters, net: BTreeSet::new(), restarts, again, accepted: BTreeMap::new() };
    for k in 0..proposers {
        let value = Value { id: k as u64 + 1, text: format!("text {k}") };
        first.voters[k].ask(0.0, 1, Ask::Propose { after: 0, value, sure: false });
        first.flush(k, false);
    }
    let mut seen = HashSet::from([first.key()]);
    let mut todo = vec![first];
    let mut decided = 0;
    while let Some(state) = todo.pop() {
        assert!(state.chosen().len() <= 1, "two values chosen: {:?}", state.accepted);
        let learned: BTreeSet<u64> =
            state.voters.iter().filter_map(|v| v.newest()).map(|c| c.value.id).collect();
        assert!(learned.is_subset(&state.chosen()), "learned {learned:?}, chosen {:?}", state.chosen());
        decided += usize::from(!state.chosen().is_empty());
        assert!(seen.len() < most, "more than {most} states");
        let mut next = Vec::new();
        for word in &state.net {
            for lost in [false, true] {
                if lost && state.restarts == 0 {
                    continue;
                }
                let mut s = state.clone();
                s.net.remove(word);
                let (from, to, word) = word.clone();
                let to = usize::from(to.0);
                s.voters[to].hear(0.0, from, word);
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
            if state.again > 0 {
                // Its try is over, or it finishes what it accepted.
                let mut s = state.clone();
                s.again -= 1;
                s.voters[k].tick(1.5);
                s.flush(k, false);
                next.push(s);
            }
        }
        for s in next {
            if seen.insert(s.key()) {
                todo.push(s);
            }
        }
    }
    (seen.len(), decided)
}

#[test]
fn no_order_of_words_chooses_two_values() {
    let (states, decided) = explore(2, 1, 0, 1_000_000);
    println!("two proposers, one restart: {states} states, in {decided} of them a value is chosen");
    assert!(states > 5_000 && decided > 500, "{states} {decided}");
}

#[test]
fn nor_does_a_try_begun_again() {
    let (states, decided) = explore(1, 1, 1, 1_000_000);
    println!(
        "one proposer, one restart, one further try by any voter: {states} states, in {decided} of them a value is chosen"
    );
    assert!(states > 5_000 && decided > 500, "{states} {decided}");
}

/// By hand, some minutes: `cargo test --release -p kelpdoor-agreement --test exhaustive -- --ignored --nocapture`.
#[test]
#[ignore = "minutes and gigabytes"]
fn nor_do_two_proposers_and_a_try_begun_again() {
    let (states, decided) = explore(2, 0, 1, 60_000_000);
    println!(
        "two proposers, one further try by any voter: {states} states, in {decided} of them a value is chosen"
    );
    assert!(decided > 500);
}
