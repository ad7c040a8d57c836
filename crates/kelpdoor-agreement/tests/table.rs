//! Single cases of voters and followers, in words.

mod texts;

use expect_test::expect;
use kelpdoor_agreement::keys::{KeyClass, check_transition, merge_documents, merge_numberings};
use kelpdoor_agreement::{
    Ballot, CatchUp, Chosen, ClientRequest, DurableState, Follower, Output, Value, Voter, VoterId,
    VoterMessage, VoterResponse,
};
use kelpdoor_script::AgreedSettings;
use texts::{READING, Texts};

const FOUNDERS: [VoterId; 3] = [VoterId(0), VoterId(1), VoterId(2)];

fn voters() -> Vec<Voter> {
    FOUNDERS.map(|v| Voter::new(v, DurableState::founded("f", &FOUNDERS), READING, 1, 0.0)).to_vec()
}

fn value(id: u64) -> Value {
    Value { id, text: format!("text {id}") }
}

/// Carries words until none is left, but for those that `cut` takes; what clients are told.
fn pump(voters: &mut [Voter], now: f64, cut: impl Fn(u8, u8, &VoterMessage) -> bool) -> Vec<VoterResponse> {
    let (mut told, count) = (Vec::new(), voters.len());
    loop {
        let mut net = Vec::new();
        for (k, v) in voters.iter_mut().enumerate() {
            for o in v.take_output().1 {
                match o {
                    Output::Broadcast(word) => {
                        let all = (0..count as u8).filter(|to| *to != k as u8);
                        let all = all.filter(|to| !cut(k as u8, *to, &word));
                        net.extend(all.map(|to| (k as u8, VoterId(to), word.clone())));
                    }
                    Output::Message(to, word) if !cut(k as u8, to.0, &word) => net.push((k as u8, to, word)),
                    Output::Message(..) => {}
                    Output::Response(_, tell) => told.push(tell),
                }
            }
        }
        if net.is_empty() {
            return told;
        }
        for (from, to, word) in net {
            voters[usize::from(to.0)].handle_message(now, VoterId(from), word);
        }
    }
}

fn propose(voters: &mut [Voter], k: usize, after: u64, id: u64) {
    voters[k].handle_request(0.0, 1, ClientRequest::Propose { after, value: value(id), sure: false });
}

#[test]
fn a_proposal_is_a_compare_and_set() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    assert_eq!(pump(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    propose(&mut v, 1, 0, 2);
    let digest = v[0].newest().unwrap().digest();
    assert_eq!(pump(&mut v, 0.0, |_, _, _| false), [VoterResponse::Lost { newest: 1, digest }]);
    // An answer that was lost is asked for again, at any voter.
    propose(&mut v, 2, 0, 1);
    assert_eq!(pump(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    propose(&mut v, 2, 7, 3);
    let told = pump(&mut v, 0.0, |_, _, _| false);
    assert_eq!(
        told,
        [VoterResponse::NotTaken { why: "version 7 is not known here, the newest is 1".into() }]
    );
}

#[test]
fn two_at_once_one_wins_and_the_other_is_told_by_what() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    propose(&mut v, 2, 0, 2);
    let mut told = Vec::new();
    for k in 0..40 {
        let now = f64::from(k) * 0.1;
        v.iter_mut().for_each(|v| v.tick(now));
        told.extend(pump(&mut v, now, |_, _, _| false));
    }
    let won = v[0].newest().unwrap().clone();
    assert!(v.iter().all(|v| v.newest() == Some(&won)), "all know the same");
    let lost = VoterResponse::Lost { newest: 1, digest: won.digest() };
    told.sort_by_key(|t| matches!(t, VoterResponse::Lost { .. }));
    assert_eq!(told, [VoterResponse::Agreed { number: 1 }, lost]);
}

#[test]
fn what_a_minority_accepted_is_finished_when_its_proposer_is_gone() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    // Accepted by 0 and 1, which chooses it; then 0 dies before it hears so.
    pump(&mut v, 0.0, |from, to, w| to == 2 || from == 2 || matches!(w, VoterMessage::Accepted { .. }));
    assert!(v.iter().all(|v| v.newest().is_none()));
    for k in 0..20 {
        let now = 1.0 + f64::from(k) * 0.2;
        v[1].tick(now);
        pump(&mut v, now, |from, to, _| from == 0 || to == 0);
    }
    assert_eq!(v[1].newest().map(|c| c.value.id), Some(1));
    assert_eq!(v[2].newest().map(|c| c.value.id), Some(1));
}

/// The old voter 2 was of the majority that chose version 1, and lost its disk.
fn lost_disk() -> Vec<Voter> {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    pump(&mut v, 0.0, |from, to, w| to == 1 || from == 1 || matches!(w, VoterMessage::Accepted { .. }));
    assert!(v[0].durable().accepted.is_some() && v[2].durable().accepted.is_some());
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READING, 1, 0.0);
    v
}

#[test]
fn a_voter_that_lost_its_disk_does_not_vote() {
    let mut v = lost_disk();
    propose(&mut v, 1, 0, 2);
    for k in 0..40 {
        let now = f64::from(k) * 0.1;
        v[1].tick(now);
        v[2].tick(now);
        let told = pump(&mut v, now, |from, to, _| from == 0 || to == 0);
        assert!(
            !told.iter().any(|t| matches!(t, VoterResponse::Agreed { .. })),
            "1 and 2 chose another content"
        );
    }
}

#[test]
fn nor_where_it_may_have_voted_once_it_has_heard_the_others() {
    let mut v = lost_disk();
    v[2].tick(0.0);
    pump(&mut v, 0.0, |_, _, _| false);
    // Version 1 was accepted at 0: it may be chosen, and who would decide the next one is not known before it is finished.
    assert_eq!(v[2].durable().votes_from, None);
    for now in [1.0, 2.0] {
        v[0].tick(now);
        v[2].tick(now);
        pump(&mut v, now, |_, _, _| false);
    }
    // It may have voted for version 2.
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, Some(3)));
    v[2].handle_request(2.0, 1, ClientRequest::Propose { after: 1, value: value(2), sure: false });
    let told = pump(&mut v, 2.0, |from, to, _| from == 0 || to == 0);
    assert!(
        matches!(&told[..], [VoterResponse::NotTaken { why }] if why.contains("lost its store")),
        "{told:?}"
    );
    let renew = |have| ClientRequest::Renew {
        name: "d".into(),
        boot: 1,
        seq: 1,
        have,
        lease: 1.0,
        left: 0.0,
        acts: String::new(),
        wants: CatchUp::Document,
    };
    v[2].handle_request(9.0, 1, renew(1));
    assert!(
        matches!(&pump(&mut v, 9.0, |_, _, _| false)[..], [VoterResponse::Refused { .. }]),
        "it grants nothing"
    );
    // The others go on, and with version 2 it votes again.
    v[0].tick(9.0);
    pump(&mut v, 9.0, |_, _, _| false);
    propose(&mut v, 0, 1, 3);
    assert_eq!(pump(&mut v, 9.0, |_, _, _| false), [VoterResponse::Agreed { number: 2 }]);
    assert!(v[2].durable().may_vote());
    v[2].handle_request(99.0, 1, renew(2));
    assert!(matches!(&pump(&mut v, 99.0, |_, _, _| false)[..], [VoterResponse::Granted { newest: 2, .. }]));
}

#[test]
fn an_answer_to_an_earlier_start_says_nothing_of_what_was_lost_since() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    pump(&mut v, 0.0, |_, to, _| to == 2);
    // Before it votes for anything, 2 asks how far the others are, and their answers are on the way for long.
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READING, 5, 0.0);
    v[2].tick(0.0);
    let mut late = Vec::new();
    for (_, out) in [v[2].take_output()] {
        for o in out {
            let Output::Broadcast(word) = o else { continue };
            for to in [VoterId(0), VoterId(1)] {
                v[usize::from(to.0)].handle_message(0.0, VoterId(2), word.clone());
                late.extend(v[usize::from(to.0)].take_output().1.into_iter().map(|o| (to, o)));
            }
        }
    }
    assert_eq!(late.len(), 4, "{late:?}");
    // Then it came back, voted for version 2, and lost its disk.
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READING, 6, 0.0);
    for (from, o) in late {
        if let Output::Message(_, word) = o {
            v[2].handle_message(0.0, from, word);
        }
    }
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, None));
    v[2].tick(1.0);
    pump(&mut v, 1.0, |_, _, _| false);
    assert_eq!(v[2].durable().votes_from, Some(3));
}

/// Four voters, of which the last is to join the first three.
fn and_one_to_join() -> Vec<Voter> {
    let mut v = voters();
    v.push(Voter::new(VoterId(3), DurableState::lost("f"), READING, 1, 0.0));
    propose(&mut v, 0, 0, 1);
    pump(&mut v, 0.0, |_, _, _| false);
    for now in [0.5, 0.6] {
        v[3].tick(now);
        pump(&mut v, now, |_, _, _| false);
    }
    v
}

fn list(voters: &mut [Voter], k: usize, after: u64, id: u64, by: &str) {
    let value = Value { id, text: format!("text {id} by {by}") };
    voters[k].handle_request(1.0, 1, ClientRequest::Propose { after, value, sure: false });
}

#[test]
fn voters_come_and_go_by_a_version_which_those_before_it_decide() {
    let mut v = and_one_to_join();
    assert!(v[0].ready(1.0, VoterId(3)) && !v[0].ready(99.0, VoterId(3)) && !v[3].listed());
    // 3 has no say in the version that names it, nor a proposal of its own before.
    list(&mut v, 3, 1, 7, "0 1 3");
    let told = pump(&mut v, 1.0, |_, _, _| false);
    assert_eq!(
        told,
        [VoterResponse::NotTaken { why: "this voter is not on the agreed list of voters".into() }]
    );
    list(&mut v, 0, 1, 8, "0 1 3");
    assert!(pump(&mut v, 1.0, |from, to, _| [from, to] == [0, 1] || from == 2 || to == 2).is_empty());
    assert_eq!(v[3].durable().newest(), 1);
    for k in 0..8 {
        let now = 1.5 + f64::from(k) * 0.5;
        v[0].tick(now);
        pump(&mut v, now, |from, to, _| from == 2 || to == 2);
    }
    assert_eq!((v[0].durable().newest(), v[3].listed()), (2, true));
    // With 1 gone, 0 and 3 decide; with 0 gone, 2 is no help: it learns of the list, and has no say.
    list(&mut v, 0, 2, 9, "0 1 3");
    assert_eq!(pump(&mut v, 6.0, |from, to, _| from == 1 || to == 1), [VoterResponse::Agreed { number: 3 }]);
    list(&mut v, 3, 3, 10, "0 1 3");
    for k in 0..10 {
        let now = 7.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        let told = pump(&mut v, now, |from, to, _| [0, 1].contains(&from) || [0, 1].contains(&to));
        assert!(!told.iter().any(|t| matches!(t, VoterResponse::Agreed { .. })), "2 and 3 decide");
    }
    assert!(!v[2].listed() && v[2].durable().newest() == 3);
}

#[test]
fn five_of_three_have_one_majority_though_some_still_count_three() {
    let mut v = and_one_to_join();
    v.push(Voter::new(VoterId(4), DurableState::lost("f"), READING, 1, 0.0));
    v[4].tick(1.0);
    pump(&mut v, 1.0, |_, _, _| false);
    // 2 hears nothing of it, and counts three.
    list(&mut v, 0, 1, 8, "0 1 2 3 4");
    pump(&mut v, 1.0, |from, to, _| from == 2 || to == 2);
    assert_eq!((v[0].deciding().len(), v[2].deciding().len()), (5, 3));
    // 0 and 3 accept a version 3, which of five is no majority; 1 and 2 are none either.
    list(&mut v, 0, 2, 9, "0 1 2 3 4");
    pump(&mut v, 1.0, |from, to, _| [1, 2, 4].contains(&from) || [1, 2, 4].contains(&to));
    list(&mut v, 2, 1, 10, "0 1 2");
    for k in 0..10 {
        let now = 2.0 + f64::from(k) * 0.2;
        v.iter_mut().for_each(|v| v.tick(now));
        pump(&mut v, now, |from, to, _| (from == 1 || from == 2) != (to == 1 || to == 2));
    }
    // What 2 proposed after version 1 lost; 1 told it by what.
    assert!(v[1].newest() == v[2].newest() && v[2].durable().newest() == 2);
    assert_eq!(v[0].durable().newest(), 3, "0, 3 and 4 are a majority of five");
    for k in 0..10 {
        let now = 5.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        pump(&mut v, now, |_, _, _| false);
    }
    assert!(v.iter().all(|x| x.newest() == v[0].newest()));
}

#[test]
fn a_lease_is_given_by_those_who_decide_the_next_version_alone() {
    let by = |number, by: &str| Chosen { number, value: Value { id: number, text: format!("t by {by}") } };
    let mut f = Follower::<Texts>::new("d", 1, Some(by(2, "0 1 3")), ());
    let mut say = |now: f64, voter: u8, document: Option<Chosen>| {
        let newest = document.as_ref().map_or(2, |c| c.number);
        if let Some(ClientRequest::Renew { seq, .. }) = f.next_request(now, VoterId(voter)) {
            f.handle_response(
                now,
                VoterId(voter),
                VoterResponse::Granted { seq, newest, pending: false, document, chain: vec![] },
            )
            .unwrap();
        }
        f.active_versions(now).unwrap().until
    };
    // 2 was taken off the list: with 0 it is no majority.
    assert_eq!([say(0.0, 0, None), say(0.0, 2, None)], [f64::NEG_INFINITY; 2]);
    assert_eq!(say(0.1, 3, None), 0.99);
    // Of five, what two of three said is not enough; a third makes it.
    let five = Some(by(3, "0 1 2 3 4"));
    assert_eq!([say(0.5, 0, five), say(0.5, 1, None)], [0.99, 0.1 + 0.99], "0, 1, and 3 before");
    assert_eq!(say(0.6, 2, None), 0.5 + 0.99);
}

#[test]
fn who_lost_its_store_waits_until_nothing_is_pending_at_those_it_hears() {
    let mut v = and_one_to_join();
    // 0, 1 and 2 accept version 2; 2 alone learns that it is chosen, and may have gone on with 3 by the list it has.
    list(&mut v, 0, 1, 8, "1 2 3");
    pump(&mut v, 1.0, |_, to, w| matches!(w, VoterMessage::Accepted { .. }) && to != 2);
    assert!(v[..3].iter().all(|v| v.durable().accepted.is_some()));
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READING, 9, 2.0);
    v[2].tick(2.0);
    pump(&mut v, 2.0, |_, _, _| false);
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, None));
    // Once it is finished, those who decide after it are heard, and version 3 is left to them.
    for k in 0..6 {
        let now = 3.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        pump(&mut v, now, |_, _, _| false);
    }
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (2, Some(4)));
}

#[test]
fn who_is_not_on_the_list_neither_counts_nor_votes() {
    let mut v = and_one_to_join();
    list(&mut v, 0, 1, 8, "0 1 2");
    let out = v[0].take_output().1;
    let Some(Output::Message(_, VoterMessage::Prepare { number, ballot })) = out.first() else {
        panic!("{out:?}")
    };
    let (number, ballot) = (*number, *ballot);
    v[0].handle_message(1.0, VoterId(3), VoterMessage::Promise { number, ballot, accepted: None });
    assert_eq!(v[0].take_output().1, [], "no majority with 3");
    v[0].handle_message(1.0, VoterId(1), VoterMessage::Promise { number, ballot, accepted: None });
    assert!(matches!(
        v[0].take_output().1[..],
        [Output::Message(_, VoterMessage::Accept { .. }), Output::Message(..)]
    ));
    v[0].handle_message(1.0, VoterId(3), VoterMessage::Accepted { number, ballot });
    assert_eq!(v[0].durable().newest(), 1);
    // It could vote for version 3 if it were named.
    v[3].handle_message(
        1.0,
        VoterId(0),
        VoterMessage::Learn { number: 2, id: 8, text: "text 8 by 0 1 2".into() },
    );
    v[3].take_output();
    assert!(v[3].durable().may_vote() && !v[3].listed());
    v[3].handle_message(1.0, VoterId(0), VoterMessage::Prepare { number: 3, ballot });
    assert_eq!(v[3].take_output().1, [], "3 promises nothing");
}

#[test]
fn numbers_that_none_comes_to_end_no_count() {
    let mut v = voters();
    let ballot = Ballot { round: u64::MAX, voter: VoterId(1) };
    let (number, id, text) = (u64::MAX, 1, String::new());
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Learn { number, id, text: text.clone() });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Prepare { number: 1, ballot });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Accept { number: 1, ballot, id, text });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Refuse { number: 1, promised: ballot });
    assert_eq!(v[0].durable(), &DurableState::founded("f", &FOUNDERS));
    propose(&mut v, 0, 0, 1);
    assert_eq!(pump(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    let mut f = Follower::<Texts>::new("d", 1, None, ());
    let Some(ClientRequest::Renew { seq, .. }) = f.next_request(0.0, VoterId(0)) else { panic!() };
    let far = Chosen { number: u64::MAX, value: value(1) };
    let told = VoterResponse::Granted { seq, newest: 1, pending: false, document: Some(far), chain: vec![] };
    assert!(f.handle_response(0.0, VoterId(0), told).is_err() && f.known_version().is_none());
}

#[test]
fn a_name_has_one_director_at_a_time() {
    let mut v = voters();
    let mut ask = |now: f64, boot: u64, left: f64| {
        let (name, acts) = ("d".to_owned(), String::new());
        v[0].handle_request(
            now,
            1,
            ClientRequest::Renew {
                name,
                boot,
                seq: 1,
                have: 0,
                lease: 1.0,
                left,
                acts,
                wants: CatchUp::Document,
            },
        );
        match v[0].take_output().1.remove(0) {
            Output::Response(_, VoterResponse::Refused { why, .. }) => why,
            Output::Response(_, VoterResponse::Granted { .. }) => "granted".to_owned(),
            other => format!("{other:?}"),
        }
    };
    let mut told = String::new();
    for (now, boot, left) in [(0.0, 1, 0.0), (0.9, 1, 0.1), (1.5, 2, 0.0), (1.93, 2, 0.0), (2.0, 1, 0.0)] {
        told += &format!("{now} start {boot}: {}\n", ask(now, boot, left));
    }
    expect![[r#"
        0 start 1: granted
        0.9 start 1: granted
        1.5 start 2: the name "d" is in use by another director
        1.93 start 2: granted
        2 start 1: the name "d" is in use by another director
    "#]]
    .assert_eq(&told);
}

#[test]
fn a_voter_just_started_gives_no_name_to_who_holds_none() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    pump(&mut v, 0.0, |_, _, _| false);
    let durable = v[0].durable().clone();
    let mut voter = Voter::new(VoterId(0), durable, READING, 1, 100.0);
    let mut ask = |now: f64, name: &str, left: f64| {
        let (name, acts) = (name.to_owned(), String::new());
        voter.handle_request(
            now,
            1,
            ClientRequest::Renew {
                name,
                boot: 1,
                seq: 1,
                have: 1,
                lease: 1.0,
                left,
                acts,
                wants: CatchUp::Document,
            },
        );
        matches!(voter.take_output().1[..], [Output::Response(_, VoterResponse::Granted { .. })])
    };
    assert!(!ask(100.5, "new", 0.0) && ask(100.5, "goes on", 0.3) && ask(101.1, "new", 0.0));
}

fn granted(f: &mut Follower<Texts>, now: f64, voter: u8, newest: u64, pending: bool, doc: Option<u64>) {
    if let Some(ClientRequest::Renew { seq, .. }) = f.next_request(now, VoterId(voter)) {
        let document = doc.map(|number| Chosen { number, value: value(number) });
        f.handle_response(
            now + 0.01,
            VoterId(voter),
            VoterResponse::Granted { seq, newest, pending, document, chain: vec![] },
        )
        .unwrap();
    }
}

#[test]
fn a_lease_runs_from_when_a_majority_was_asked_and_ends_with_what_is_pending() {
    let mut f = Follower::<Texts>::new("d", 1, None, ());
    granted(&mut f, 0.0, 0, 1, false, Some(1));
    granted(&mut f, 0.1, 1, 1, false, None);
    let a = f.active_versions(0.2).unwrap();
    // From 0.0, on a clock that may run slow by 1 in 100; begun only when nobody acts on an older version alone.
    assert_eq!((a.until, a.from), (0.99, 0.01 + 1.02));
    // One of two says that something newer was accepted: no longer lease, whatever the third said long ago.
    granted(&mut f, 0.5, 0, 1, true, None);
    granted(&mut f, 0.5, 1, 1, false, None);
    assert_eq!(f.active_versions(0.5).unwrap().until, 0.99);
    // The third, cut off until now, knows nothing newer either: with 1, a majority.
    granted(&mut f, 0.6, 2, 1, false, None);
    assert_eq!(f.active_versions(0.6).unwrap().until, 0.5 + 0.99);
    // An answer that was on its way for long counts from its question.
    let Some(ClientRequest::Renew { seq, .. }) = f.next_request(1.2, VoterId(1)) else { panic!() };
    let late = VoterResponse::Granted { seq, newest: 1, pending: false, document: None, chain: vec![] };
    f.handle_response(2.1, VoterId(1), late).unwrap();
    assert_eq!(f.active_versions(2.1).unwrap().until, 0.6 + 0.99);
}

#[test]
fn a_newer_version_stands_beside_the_old_until_nobody_acts_on_the_old_alone() {
    let mut f = Follower::<Texts>::new("d", 1, None, ());
    for k in 0..8 {
        let now = f64::from(k) * 0.25;
        (0..3).for_each(|v| granted(&mut f, now, v, 1, false, Some(1).filter(|_| k == 0)));
    }
    let label = |f: &Follower<Texts>, t: f64| {
        f.active_versions(t).map(|a| a.older.iter().map(|b| b.first.number).collect::<Vec<_>>())
    };
    granted(&mut f, 2.0, 0, 2, false, Some(2));
    assert_eq!(label(&f, 2.1), Some(vec![1]));
    assert!((f.next_change_at(2.1) - 3.03).abs() < 1e-9);
    assert_eq!(label(&f, 3.1), Some(vec![]));
    // A version between was missed: nothing until the others' leases are over.
    for k in 9..12 {
        let now = f64::from(k) * 0.25;
        (0..3).for_each(|v| granted(&mut f, now, v, 2, false, None));
    }
    // Under a lease it is not taken: whoever has the versions between tells them.
    let Some(ClientRequest::Renew { seq, wants: CatchUp::Chain, .. }) = f.next_request(3.0, VoterId(1))
    else {
        panic!()
    };
    let four = Some(Chosen { number: 4, value: value(4) });
    let told = VoterResponse::Granted { seq, newest: 4, pending: false, document: four, chain: vec![] };
    expect!["voter 1 shows version 4 and not those after 2: not taken under a lease"]
        .assert_eq(&f.handle_response(3.01, VoterId(1), told).unwrap_err());
    let a = f.active_versions(3.1).unwrap();
    assert!(a.version.number == 2 && a.older.is_empty() && (a.until - 3.74).abs() < 1e-9, "{a:?}");
    // Without one it is.
    granted(&mut f, 3.75, 1, 4, false, Some(4));
    let a = f.active_versions(3.8).unwrap();
    assert!(a.version.number == 4 && a.older.is_empty() && (a.from - 4.78).abs() < 1e-9, "{a:?}");
    // Older words and older documents change nothing.
    granted(&mut f, 3.9, 2, 3, false, Some(3));
    assert_eq!(f.known_version().map(|c| c.number), Some(4));
}

const DOCUMENT: &str = r#"
ladder(rates = [120, 221], utility = [0.2, 0.42])
group("story", utility = 1, start_target = 1, floor = 0, top = 1, seats = 0)
group("paid", utility = 2, start_target = 1, floor = 1, seats = 9, repeat = "never")
fleet(zones = ["east"], kinds = {"box": 26}, cells = 4, racks = 2, link_unit = 2600, seen_after = 0.6, told_every = 2,
      cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
further(free = 4, per_taken = 0.25, span = 10)
directors(names = ["a", "b", "c"], max_setups = 3)
voters(at = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"])
"#;

fn document(changes: &[(&str, &str)]) -> AgreedSettings {
    let mut text = DOCUMENT.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    AgreedSettings::parse("document", &text).unwrap_or_else(|f| panic!("{f:?}"))
}

#[test]
fn what_is_acted_on_between_two_versions_is_no_laxer_than_either() {
    let old = document(&[]);
    let new = document(&[
        ("floor = 0, top = 1, seats = 0", "floor = 1, top = 1, seats = 5"),
        ("floor = 1, seats = 9, repeat = \"never\"", "floor = 0, seats = 12, repeat = \"zone\""),
        ("free = 4, per_taken = 0.25", "free = 2, per_taken = 0.5"),
        ("tip_multiple = 4", "tip_multiple = 8"),
        ("max_setups = 3", "max_setups = 2"),
        ("[\"a\", \"b\", \"c\"]", "[\"a\", \"c\", \"d\"]"),
    ]);
    let (m, changes) = merge_documents(&old, &new);
    let shown: String = changes
        .iter()
        .map(|c| {
            format!(
                "{} {}: {} -> {}{}\n",
                c.key,
                c.class.name(),
                c.old,
                c.new,
                c.impact.as_ref().map(|c| format!(" ({c})")).unwrap_or_default()
            )
        })
        .collect();
    expect![[r#"
        group story.floor stricter of both: 0 -> 1 (sessions that want less are turned away)
        group story.seats stricter of both: 0 -> 5 (new sessions of a title, until enough have ended)
        group paid.floor stricter of both: 1 -> 0
        group paid.repeat switched: Never -> Zone
        group paid.seats stricter of both: 9 -> 12
        fleet.tip_multiple stricter of both: 4.0 -> 8.0
        further.free stricter of both: 4.0 -> 2.0 (SETUPs beyond a session's first)
        further.per_taken stricter of both: 0.25 -> 0.5
        directors.names switched: ["a", "b", "c"] -> ["a", "c", "d"] (directors that act no more: b)
        directors.max_setups stricter of both: 3 -> 2 (SETUPs a session)
    "#]]
    .assert_eq(&shown);
    let (story, paid) = (&m.groups[0], &m.groups[1]);
    assert_eq!((story.floor, story.seats, paid.floor, paid.seats), (1, 5, 1, 9));
    assert_eq!((m.further.unwrap().free, m.further.unwrap().per_taken), (2.0, 0.25));
    assert_eq!((m.fleet.tip_multiple, m.directors.max_setups), (4.0, 2));
    assert_eq!(paid.repeat, old.groups[1].repeat);
    assert_eq!(merge_documents(&old, &old), (old.clone(), vec![]));
    // The stricter side does not hang on which one was first.
    let (back, _) = merge_documents(&new, &old);
    assert_eq!((back.groups[0].floor, back.groups[1].seats, back.fleet.tip_multiple), (1, 9, 4.0));
}

#[test]
fn what_stands_was_built_on_does_not_change_while_it_stands() {
    let old = document(&[]);
    let refused = |changes: &[(&str, &str)]| check_transition(&old, &document(changes), false).unwrap_err();
    expect!["ladder.rates: it cannot change while the fleet runs, from [120.0, 221.0] to [120.0, 300.0]"]
        .assert_eq(&refused(&[("[120, 221]", "[120, 300]")]));
    expect![[
        r#"groups: it cannot change while the fleet runs, from ["story", "paid"] to ["story", "other"]"#
    ]]
    .assert_eq(&refused(&[("\"paid\"", "\"other\"")]));
    expect!["directors.names: 2 of 3 directors would go at once; say --sure if so"]
        .assert_eq(&refused(&[("[\"a\", \"b\", \"c\"]", "[\"a\"]")]));
    assert!(check_transition(&old, &document(&[("[\"a\", \"b\", \"c\"]", "[\"a\"]")]), true).is_ok());
    let free = check_transition(&old, &document(&[("told_every = 2", "told_every = 3")]), false).unwrap();
    assert_eq!((free.len(), free[0].class), (1, KeyClass::Free));
}

#[test]
fn what_is_acted_on_of_three_versions_is_the_same_whichever_two_are_taken_first() {
    let changes = [
        ("floor = 0, top = 1", "floor = 1, top = 1"),
        ("seats = 9, repeat = \"never\"", "seats = 4, repeat = \"zone\""),
        ("free = 4, per_taken = 0.25", "free = 2, per_taken = 0.5"),
        ("tip_multiple = 4", "tip_multiple = 3"),
        ("max_setups = 3", "max_setups = 2"),
        ("[\"a\", \"b\", \"c\"]", "[\"a\", \"c\", \"d\"]"),
        ("told_every = 2", "told_every = 3"),
    ];
    let with = |text: &str, which: u32| {
        let mut text = text.to_owned();
        for (k, (old, new)) in changes.iter().enumerate().filter(|(k, _)| which >> k & 1 == 1) {
            assert!(text.contains(old), "{k} {old}");
            text = text.replace(old, new);
        }
        AgreedSettings::parse("document", &text).unwrap_or_else(|f| panic!("{f:?}"))
    };
    let mut rng = fastrand::Rng::with_seed(3);
    let listed = format!("{DOCUMENT}{LISTS}");
    let drained = listed.replace("cell = 1)", "cell = 1, drain = True)").replace("node(3", "node(7");
    let texts = [DOCUMENT, &listed, &drained];
    for _ in 0..60 {
        let mut any = || with(texts[rng.usize(..3)], rng.u32(..128));
        let (a, b, c) = (any(), any(), any());
        assert_eq!(
            merge_documents(&merge_documents(&a, &b).0, &c).0,
            merge_documents(&a, &merge_documents(&b, &c).0).0
        );
    }
}

const LISTS: &str = r#"
node(1, zone = "east", kind = "box", cell = 0)
node(2, zone = "east", kind = "box", cell = 1)
node(3, zone = "east", kind = "box", cell = 2)
title("a", first_cell = 0, cells = 2)
title("b", first_cell = 1, cells = 1)
"#;

#[test]
fn a_node_is_used_where_every_version_has_it_and_a_title_moves_when_none_has_it_elsewhere() {
    let with = |changes: &[(&str, &str)]| {
        let mut text = format!("{DOCUMENT}{LISTS}");
        for (old, new) in changes {
            assert!(text.contains(old), "{old}");
            text = text.replace(old, new);
        }
        AgreedSettings::parse("document", &text).unwrap_or_else(|f| panic!("{f:?}"))
    };
    let old = with(&[]);
    let new = with(&[
        ("node(1", "node(4"),
        ("cell = 1)", "cell = 1, drain = True)"),
        ("\"b\", first_cell = 1", "\"b\", first_cell = 2"),
    ]);
    let shown = |changes: &[kelpdoor_agreement::keys::Change]| -> String {
        let of = |c: &kelpdoor_agreement::keys::Change| {
            format!("{} {}: {} -> {}\n", c.key, c.class.name(), c.old, c.new)
        };
        changes.iter().map(of).collect()
    };
    let (m, changes) = merge_documents(&old, &new);
    expect![[r#"
        node 1.listed stricter of both: true -> false
        node 2.drain stricter of both: false -> true
        node 4.listed stricter of both: false -> true
        title b.first cell and cells switched: Some((1, 1)) -> Some((2, 1))
    "#]]
    .assert_eq(&shown(&changes));
    let nodes = m.lists.nodes.unwrap();
    assert_eq!(nodes.values().map(|n| (n.id, n.drain)).collect::<Vec<_>>(), [(2, true), (3, false)]);
    assert_eq!(m.lists.titles, old.lists.titles);
    let back = merge_documents(&new, &old).0.lists.nodes.unwrap();
    assert_eq!(back, nodes, "the stricter side does not hang on which one was first");
    // A list where there was none is the stricter side, in either order.
    let none = document(&[]);
    assert_eq!(merge_documents(&none, &old).0.lists.nodes, old.lists.nodes);
    assert_eq!(merge_documents(&old, &none).0.lists.nodes, old.lists.nodes);
    assert_eq!(merge_documents(&none, &old).0.lists.titles, None);
    let refused = |changes: &[(&str, &str)]| check_transition(&old, &with(changes), false).unwrap_err();
    expect!["node 1.cell: it cannot change while the fleet runs, from 0 to 3"].assert_eq(&refused(&[(
        "node(1, zone = \"east\", kind = \"box\", cell = 0",
        "node(1, zone = \"east\", kind = \"box\", cell = 3",
    )]));
    let gone = [("cell = 0)", "cell = 0, drain = True)"), ("cell = 1)", "cell = 1, drain = True)")];
    expect!["node: 1 of 3 nodes would be left to use; say --sure if so"].assert_eq(&refused(&gone));
    assert!(check_transition(&old, &with(&gone), true).is_ok());
    let bad = AgreedSettings::parse(
        "document",
        &format!("{DOCUMENT}{LISTS}node(3, zone = \"south\", kind = \"box\", cell = 9)\n"),
    );
    let faults: String = bad.unwrap_err().iter().map(|f| format!("{f}\n")).collect();
    expect![[r#"
        document:16:1: node: the zone is none of the fleet's
        document:16:1: node: the fleet has fewer cells
        document:16:1: node: the number is taken
    "#]]
    .assert_eq(&faults);
}

#[test]
fn schools_are_counted_by_one_keeper_and_change_at_once() {
    let with = |lines: &str| {
        AgreedSettings::parse("document", &format!("{DOCUMENT}{lines}")).unwrap_or_else(|f| panic!("{f:?}"))
    };
    let old = with("school(\"olaf\", seats = 3)\nschool(\"olaf\", seats = 2, seat_class = \"teacher\")\n");
    let new = with("school(\"olaf\", seats = 5)\n");
    let (m, changes) = merge_documents(&old, &new);
    let shown: String =
        changes.iter().map(|c| format!("{} {} -> {} {:?}\n", c.key, c.old, c.new, c.impact)).collect();
    expect![[r#"
        school olaf.seats 3 -> 5 None
        school olaf:teacher.seats 2 -> 0 Some("new viewers of it, until enough seats came back")
    "#]]
    .assert_eq(&shown);
    assert_eq!((m.schools, check_transition(&old, &new, false).is_ok()), (new.schools, true));
}

#[test]
fn turns_under_two_numberings_are_turns_under_each() {
    for a in 1..9u32 {
        for b in 1..9u32 {
            for me_a in 0..a {
                for me_b in 0..b {
                    let (me, of) = merge_numberings(&[(Some(me_a), a), (Some(me_b), b)]);
                    let ours = (0..a * b).filter(|t| t % of == me);
                    let both = (0..a * b).filter(|t| t % a == me_a && t % b == me_b);
                    assert!(ours.eq(both), "{me_a} of {a}, {me_b} of {b}: {me} of {of}");
                }
            }
        }
    }
    assert_eq!(merge_numberings(&[(Some(2), 5)]), (2, 5));
    // Of three it is the same whichever two are taken first.
    let place = |(me, of): (u32, u32)| (Some(me), of);
    for (a, b, c) in [(4, 6, 9), (5, 5, 5), (2, 3, 7), (5800, 5799, 5801), (12, 18, 1000)] {
        for me in 0..2 {
            let (x, y, z) = ((Some(me), a), (Some(me), b), (Some(me), c));
            let (left, right) = (place(merge_numberings(&[x, y])), place(merge_numberings(&[y, z])));
            let all = merge_numberings(&[x, y, z]);
            assert_eq!(
                (merge_numberings(&[left, z]), merge_numberings(&[x, right])),
                (all, all),
                "{me} of {a}, {b}, {c}"
            );
        }
    }
    // Who is on one list alone takes no turn while the other may be in use.
    assert_eq!(merge_numberings(&[(None, 5), (Some(5), 6)]).1, 1_000_000_000);
}
