//! Single cases of voters, followers and the merge of documents.

mod texts;

use expect_test::expect;
use kelpdoor_agreement::keys::{KeyClass, check_transition, merge_documents, merge_numberings};
use kelpdoor_agreement::{
    Ballot, CatchUp, Chosen, ClientRequest, DurableState, Follower, Output, Value, Voter, VoterId,
    VoterMessage, VoterResponse,
};
use kelpdoor_script::AgreedSettings;
use texts::{READER, TestRules};

const FOUNDERS: [VoterId; 3] = [VoterId(0), VoterId(1), VoterId(2)];

fn voters() -> Vec<Voter> {
    FOUNDERS.map(|v| Voter::new(v, DurableState::founded("f", &FOUNDERS), READER, 1, 0.0)).to_vec()
}

fn value(id: u64) -> Value {
    Value { id, text: format!("text {id}") }
}

/// Delivers messages until none is left, except those that `cut` drops. Returns the responses to clients.
fn deliver_all(
    voters: &mut [Voter], now: f64, cut: impl Fn(u8, u8, &VoterMessage) -> bool,
) -> Vec<VoterResponse> {
    let (mut responses, count) = (Vec::new(), voters.len());
    loop {
        let mut in_flight = Vec::new();
        for (k, v) in voters.iter_mut().enumerate() {
            for o in v.take_output().1 {
                match o {
                    Output::Broadcast(message) => {
                        let all = (0..count as u8).filter(|to| *to != k as u8);
                        let all = all.filter(|to| !cut(k as u8, *to, &message));
                        in_flight.extend(all.map(|to| (k as u8, VoterId(to), message.clone())));
                    }
                    Output::Message(to, message) if !cut(k as u8, to.0, &message) => {
                        in_flight.push((k as u8, to, message))
                    }
                    Output::Message(..) => {}
                    Output::Response(_, response) => responses.push(response),
                }
            }
        }
        if in_flight.is_empty() {
            return responses;
        }
        for (from, to, message) in in_flight {
            voters[usize::from(to.0)].handle_message(now, VoterId(from), message);
        }
    }
}

fn propose(voters: &mut [Voter], k: usize, after: u64, id: u64) {
    voters[k].handle_request(0.0, 1, ClientRequest::Propose { after, value: value(id), sure: false });
}

#[test]
fn proposal_after_older_version_is_lost() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    assert_eq!(deliver_all(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    propose(&mut v, 1, 0, 2);
    let digest = v[0].newest().unwrap().digest();
    assert_eq!(deliver_all(&mut v, 0.0, |_, _, _| false), [VoterResponse::Lost { newest: 1, digest }]);
    // A proposal whose response was lost can be repeated at any voter.
    propose(&mut v, 2, 0, 1);
    assert_eq!(deliver_all(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    propose(&mut v, 2, 7, 3);
    let responses = deliver_all(&mut v, 0.0, |_, _, _| false);
    assert_eq!(
        responses,
        [VoterResponse::NotTaken { why: "version 7 is not known here, the newest is 1".into() }]
    );
}

#[test]
fn concurrent_proposals_choose_one_and_report_it_to_the_other() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    propose(&mut v, 2, 0, 2);
    let mut responses = Vec::new();
    for k in 0..40 {
        let now = f64::from(k) * 0.1;
        v.iter_mut().for_each(|v| v.tick(now));
        responses.extend(deliver_all(&mut v, now, |_, _, _| false));
    }
    let won = v[0].newest().unwrap().clone();
    assert!(v.iter().all(|v| v.newest() == Some(&won)), "all voters know the same version");
    let lost = VoterResponse::Lost { newest: 1, digest: won.digest() };
    responses.sort_by_key(|t| matches!(t, VoterResponse::Lost { .. }));
    assert_eq!(responses, [VoterResponse::Agreed { number: 1 }, lost]);
}

#[test]
fn accepted_value_is_finished_without_its_proposer() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    // Voters 0 and 1 accept the value, which chooses it; then 0 dies before it learns so.
    deliver_all(&mut v, 0.0, |from, to, w| {
        to == 2 || from == 2 || matches!(w, VoterMessage::Accepted { .. })
    });
    assert!(v.iter().all(|v| v.newest().is_none()));
    for k in 0..20 {
        let now = 1.0 + f64::from(k) * 0.2;
        v[1].tick(now);
        deliver_all(&mut v, now, |from, to, _| from == 0 || to == 0);
    }
    assert_eq!(v[1].newest().map(|c| c.value.id), Some(1));
    assert_eq!(v[2].newest().map(|c| c.value.id), Some(1));
}

/// Voter 2 belonged to the majority that chose version 1 and then lost its disk.
fn lost_disk() -> Vec<Voter> {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    deliver_all(&mut v, 0.0, |from, to, w| {
        to == 1 || from == 1 || matches!(w, VoterMessage::Accepted { .. })
    });
    assert!(v[0].durable().accepted.is_some() && v[2].durable().accepted.is_some());
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READER, 1, 0.0);
    v
}

#[test]
fn voter_with_lost_disk_does_not_vote() {
    let mut v = lost_disk();
    propose(&mut v, 1, 0, 2);
    for k in 0..40 {
        let now = f64::from(k) * 0.1;
        v[1].tick(now);
        v[2].tick(now);
        let responses = deliver_all(&mut v, now, |from, to, _| from == 0 || to == 0);
        assert!(
            !responses.iter().any(|t| matches!(t, VoterResponse::Agreed { .. })),
            "1 and 2 chose another content"
        );
    }
}

#[test]
fn voter_with_lost_disk_skips_version_it_may_have_voted_for() {
    let mut v = lost_disk();
    v[2].tick(0.0);
    deliver_all(&mut v, 0.0, |_, _, _| false);
    // Voter 0 accepted version 1, so it may be chosen. Until it is finished, the voters of the next version are unknown.
    assert_eq!(v[2].durable().votes_from, None);
    for now in [1.0, 2.0] {
        v[0].tick(now);
        v[2].tick(now);
        deliver_all(&mut v, now, |_, _, _| false);
    }
    // Voter 2 may have voted for version 2.
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, Some(3)));
    v[2].handle_request(2.0, 1, ClientRequest::Propose { after: 1, value: value(2), sure: false });
    let responses = deliver_all(&mut v, 2.0, |from, to, _| from == 0 || to == 0);
    assert!(
        matches!(&responses[..], [VoterResponse::NotTaken { why }] if why.contains("lost its store")),
        "{responses:?}"
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
        matches!(&deliver_all(&mut v, 9.0, |_, _, _| false)[..], [VoterResponse::Refused { .. }]),
        "no lease is granted"
    );
    // The others choose version 2; then voter 2 votes again.
    v[0].tick(9.0);
    deliver_all(&mut v, 9.0, |_, _, _| false);
    propose(&mut v, 0, 1, 3);
    assert_eq!(deliver_all(&mut v, 9.0, |_, _, _| false), [VoterResponse::Agreed { number: 2 }]);
    assert!(v[2].durable().may_vote());
    v[2].handle_request(99.0, 1, renew(2));
    assert!(matches!(
        &deliver_all(&mut v, 99.0, |_, _, _| false)[..],
        [VoterResponse::Granted { newest: 2, .. }]
    ));
}

#[test]
fn answer_to_earlier_start_is_ignored() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    deliver_all(&mut v, 0.0, |_, to, _| to == 2);
    // Voter 2 polls the others before it votes, and their answers are delayed.
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READER, 5, 0.0);
    v[2].tick(0.0);
    let mut late = Vec::new();
    for (_, out) in [v[2].take_output()] {
        for o in out {
            let Output::Broadcast(message) = o else { continue };
            for to in [VoterId(0), VoterId(1)] {
                v[usize::from(to.0)].handle_message(0.0, VoterId(2), message.clone());
                late.extend(v[usize::from(to.0)].take_output().1.into_iter().map(|o| (to, o)));
            }
        }
    }
    assert_eq!(late.len(), 4, "{late:?}");
    // It then restarts, votes for version 2, and loses its disk.
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READER, 6, 0.0);
    for (from, o) in late {
        if let Output::Message(_, message) = o {
            v[2].handle_message(0.0, from, message);
        }
    }
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, None));
    v[2].tick(1.0);
    deliver_all(&mut v, 1.0, |_, _, _| false);
    assert_eq!(v[2].durable().votes_from, Some(3));
}

/// Three founders and a fourth voter that is ready to join.
fn founders_and_joining_voter() -> Vec<Voter> {
    let mut v = voters();
    v.push(Voter::new(VoterId(3), DurableState::lost("f"), READER, 1, 0.0));
    propose(&mut v, 0, 0, 1);
    deliver_all(&mut v, 0.0, |_, _, _| false);
    for now in [0.5, 0.6] {
        v[3].tick(now);
        deliver_all(&mut v, now, |_, _, _| false);
    }
    v
}

fn propose_list(voters: &mut [Voter], k: usize, after: u64, id: u64, by: &str) {
    let value = Value { id, text: format!("text {id} by {by}") };
    voters[k].handle_request(1.0, 1, ClientRequest::Propose { after, value, sure: false });
}

#[test]
fn new_voter_list_is_decided_by_previous_list() {
    let mut v = founders_and_joining_voter();
    assert!(v[0].ready(1.0, VoterId(3)) && !v[0].ready(99.0, VoterId(3)) && !v[3].listed());
    // Voter 3 neither decides the version that names it nor takes proposals before.
    propose_list(&mut v, 3, 1, 7, "0 1 3");
    let responses = deliver_all(&mut v, 1.0, |_, _, _| false);
    assert_eq!(
        responses,
        [VoterResponse::NotTaken { why: "this voter is not on the agreed list of voters".into() }]
    );
    propose_list(&mut v, 0, 1, 8, "0 1 3");
    assert!(deliver_all(&mut v, 1.0, |from, to, _| [from, to] == [0, 1] || from == 2 || to == 2).is_empty());
    assert_eq!(v[3].durable().newest(), 1);
    for k in 0..8 {
        let now = 1.5 + f64::from(k) * 0.5;
        v[0].tick(now);
        deliver_all(&mut v, now, |from, to, _| from == 2 || to == 2);
    }
    assert_eq!((v[0].durable().newest(), v[3].listed()), (2, true));
    // With 1 gone, 0 and 3 decide. With 0 gone too, 2 cannot help: it is no longer listed.
    propose_list(&mut v, 0, 2, 9, "0 1 3");
    assert_eq!(
        deliver_all(&mut v, 6.0, |from, to, _| from == 1 || to == 1),
        [VoterResponse::Agreed { number: 3 }]
    );
    propose_list(&mut v, 3, 3, 10, "0 1 3");
    for k in 0..10 {
        let now = 7.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        let responses =
            deliver_all(&mut v, now, |from, to, _| [0, 1].contains(&from) || [0, 1].contains(&to));
        assert!(!responses.iter().any(|t| matches!(t, VoterResponse::Agreed { .. })), "2 and 3 decide");
    }
    assert!(!v[2].listed() && v[2].durable().newest() == 3);
}

#[test]
fn growth_to_five_voters_keeps_one_majority() {
    let mut v = founders_and_joining_voter();
    v.push(Voter::new(VoterId(4), DurableState::lost("f"), READER, 1, 0.0));
    v[4].tick(1.0);
    deliver_all(&mut v, 1.0, |_, _, _| false);
    // Voter 2 receives nothing and still counts three.
    propose_list(&mut v, 0, 1, 8, "0 1 2 3 4");
    deliver_all(&mut v, 1.0, |from, to, _| from == 2 || to == 2);
    assert_eq!((v[0].deciding().len(), v[2].deciding().len()), (5, 3));
    // Voters 0 and 3 accept a version 3, which is no majority of five; neither are 1 and 2.
    propose_list(&mut v, 0, 2, 9, "0 1 2 3 4");
    deliver_all(&mut v, 1.0, |from, to, _| [1, 2, 4].contains(&from) || [1, 2, 4].contains(&to));
    propose_list(&mut v, 2, 1, 10, "0 1 2");
    for k in 0..10 {
        let now = 2.0 + f64::from(k) * 0.2;
        v.iter_mut().for_each(|v| v.tick(now));
        deliver_all(&mut v, now, |from, to, _| (from == 1 || from == 2) != (to == 1 || to == 2));
    }
    // The proposal of voter 2 after version 1 lost; voter 1 sent it the chosen version.
    assert!(v[1].newest() == v[2].newest() && v[2].durable().newest() == 2);
    assert_eq!(v[0].durable().newest(), 3, "0, 3 and 4 are a majority of five");
    for k in 0..10 {
        let now = 5.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        deliver_all(&mut v, now, |_, _, _| false);
    }
    assert!(v.iter().all(|x| x.newest() == v[0].newest()));
}

#[test]
fn lease_needs_majority_of_listed_voters() {
    let by = |number, by: &str| Chosen { number, value: Value { id: number, text: format!("t by {by}") } };
    let mut f = Follower::<TestRules>::new("d", 1, Some(by(2, "0 1 3")), ());
    let mut renew = |now: f64, voter: u8, document: Option<Chosen>| {
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
    // Voter 2 is not listed: 0 and 2 are no majority.
    assert_eq!([renew(0.0, 0, None), renew(0.0, 2, None)], [f64::NEG_INFINITY; 2]);
    assert_eq!(renew(0.1, 3, None), 0.99);
    // Of five voters, the responses of two are not enough; a third completes the majority.
    let five = Some(by(3, "0 1 2 3 4"));
    assert_eq!([renew(0.5, 0, five), renew(0.5, 1, None)], [0.99, 0.1 + 0.99], "0, 1, and 3 before");
    assert_eq!(renew(0.6, 2, None), 0.5 + 0.99);
}

#[test]
fn voter_with_lost_store_waits_while_value_is_pending() {
    let mut v = founders_and_joining_voter();
    // Voters 0, 1 and 2 accept version 2. Only 2 learns that it is chosen, and may have voted for version 3 by the new list.
    propose_list(&mut v, 0, 1, 8, "1 2 3");
    deliver_all(&mut v, 1.0, |_, to, w| matches!(w, VoterMessage::Accepted { .. }) && to != 2);
    assert!(v[..3].iter().all(|v| v.durable().accepted.is_some()));
    v[2] = Voter::new(VoterId(2), DurableState::lost("f"), READER, 9, 2.0);
    v[2].tick(2.0);
    deliver_all(&mut v, 2.0, |_, _, _| false);
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (1, None));
    // Once version 2 is finished, the voters that it names answer, and version 3 is left to them.
    for k in 0..6 {
        let now = 3.0 + f64::from(k) * 0.5;
        v.iter_mut().for_each(|v| v.tick(now));
        deliver_all(&mut v, now, |_, _, _| false);
    }
    assert_eq!((v[2].durable().newest(), v[2].durable().votes_from), (2, Some(4)));
}

#[test]
fn unlisted_voter_neither_counts_nor_votes() {
    let mut v = founders_and_joining_voter();
    propose_list(&mut v, 0, 1, 8, "0 1 2");
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
    // Voter 3 could vote for version 3 if the list named it.
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
fn implausible_numbers_are_ignored() {
    let mut v = voters();
    let ballot = Ballot { round: u64::MAX, voter: VoterId(1) };
    let (number, id, text) = (u64::MAX, 1, String::new());
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Learn { number, id, text: text.clone() });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Prepare { number: 1, ballot });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Accept { number: 1, ballot, id, text });
    v[0].handle_message(0.0, VoterId(1), VoterMessage::Refuse { number: 1, promised: ballot });
    assert_eq!(v[0].durable(), &DurableState::founded("f", &FOUNDERS));
    propose(&mut v, 0, 0, 1);
    assert_eq!(deliver_all(&mut v, 0.0, |_, _, _| false), [VoterResponse::Agreed { number: 1 }]);
    let mut f = Follower::<TestRules>::new("d", 1, None, ());
    let Some(ClientRequest::Renew { seq, .. }) = f.next_request(0.0, VoterId(0)) else { panic!() };
    let far = Chosen { number: u64::MAX, value: value(1) };
    let responses =
        VoterResponse::Granted { seq, newest: 1, pending: false, document: Some(far), chain: vec![] };
    assert!(f.handle_response(0.0, VoterId(0), responses).is_err() && f.known_version().is_none());
}

#[test]
fn name_in_use_is_refused_to_another_director() {
    let mut v = voters();
    let mut renew = |now: f64, boot: u64, left: f64| {
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
    let mut responses = String::new();
    for (now, boot, left) in [(0.0, 1, 0.0), (0.9, 1, 0.1), (1.5, 2, 0.0), (1.93, 2, 0.0), (2.0, 1, 0.0)] {
        responses += &format!("{now} start {boot}: {}\n", renew(now, boot, left));
    }
    expect![[r#"
        0 start 1: granted
        0.9 start 1: granted
        1.5 start 2: the name "d" is in use by another director
        1.93 start 2: granted
        2 start 1: the name "d" is in use by another director
    "#]]
    .assert_eq(&responses);
}

#[test]
fn restarted_voter_refuses_director_without_lease() {
    let mut v = voters();
    propose(&mut v, 0, 0, 1);
    deliver_all(&mut v, 0.0, |_, _, _| false);
    let durable = v[0].durable().clone();
    let mut voter = Voter::new(VoterId(0), durable, READER, 1, 100.0);
    let mut renew = |now: f64, name: &str, left: f64| {
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
    assert!(!renew(100.5, "new", 0.0) && renew(100.5, "goes on", 0.3) && renew(101.1, "new", 0.0));
}

fn grant(f: &mut Follower<TestRules>, now: f64, voter: u8, newest: u64, pending: bool, doc: Option<u64>) {
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
fn lease_runs_from_requests_and_is_not_extended_while_value_is_pending() {
    let mut f = Follower::<TestRules>::new("d", 1, None, ());
    grant(&mut f, 0.0, 0, 1, false, Some(1));
    grant(&mut f, 0.1, 1, 1, false, None);
    let a = f.active_versions(0.2).unwrap();
    // The lease runs from 0.0 on a clock that may be slow by 1 %; it begins when no director acts on an older version alone.
    assert_eq!((a.until, a.from), (0.99, 0.01 + 1.02));
    // One of two voters has accepted something newer: no extension, whatever the third reported earlier.
    grant(&mut f, 0.5, 0, 1, true, None);
    grant(&mut f, 0.5, 1, 1, false, None);
    assert_eq!(f.active_versions(0.5).unwrap().until, 0.99);
    // The third voter, cut off until now, has nothing newer either: with voter 1, a majority.
    grant(&mut f, 0.6, 2, 1, false, None);
    assert_eq!(f.active_versions(0.6).unwrap().until, 0.5 + 0.99);
    // A delayed response counts from the time of its request.
    let Some(ClientRequest::Renew { seq, .. }) = f.next_request(1.2, VoterId(1)) else { panic!() };
    let late = VoterResponse::Granted { seq, newest: 1, pending: false, document: None, chain: vec![] };
    f.handle_response(2.1, VoterId(1), late).unwrap();
    assert_eq!(f.active_versions(2.1).unwrap().until, 0.6 + 0.99);
}

#[test]
fn older_version_stays_active_until_others_leases_end() {
    let mut f = Follower::<TestRules>::new("d", 1, None, ());
    for k in 0..8 {
        let now = f64::from(k) * 0.25;
        (0..3).for_each(|v| grant(&mut f, now, v, 1, false, Some(1).filter(|_| k == 0)));
    }
    let label = |f: &Follower<TestRules>, t: f64| {
        f.active_versions(t).map(|a| a.older.iter().map(|b| b.first.number).collect::<Vec<_>>())
    };
    grant(&mut f, 2.0, 0, 2, false, Some(2));
    assert_eq!(label(&f, 2.1), Some(vec![1]));
    assert!((f.next_change_at(2.1) - 3.03).abs() < 1e-9);
    assert_eq!(label(&f, 3.1), Some(vec![]));
    // Version 3 will be missed: the director holds a lease on version 2.
    for k in 9..12 {
        let now = f64::from(k) * 0.25;
        (0..3).for_each(|v| grant(&mut f, now, v, 2, false, None));
    }
    // Under a lease a document that skips versions is rejected; a voter with the versions in between sends a chain.
    let Some(ClientRequest::Renew { seq, wants: CatchUp::Chain, .. }) = f.next_request(3.0, VoterId(1))
    else {
        panic!()
    };
    let four = Some(Chosen { number: 4, value: value(4) });
    let responses = VoterResponse::Granted { seq, newest: 4, pending: false, document: four, chain: vec![] };
    expect!["voter 1 shows version 4 and not those after 2: not taken under a lease"]
        .assert_eq(&f.handle_response(3.01, VoterId(1), responses).unwrap_err());
    let a = f.active_versions(3.1).unwrap();
    assert!(a.version.number == 2 && a.older.is_empty() && (a.until - 3.74).abs() < 1e-9, "{a:?}");
    // Without a lease it is accepted, and nothing begins until the leases of others are over.
    grant(&mut f, 3.75, 1, 4, false, Some(4));
    let a = f.active_versions(3.8).unwrap();
    assert!(a.version.number == 4 && a.older.is_empty() && (a.from - 4.78).abs() < 1e-9, "{a:?}");
    // Older responses and older documents have no effect.
    grant(&mut f, 3.9, 2, 3, false, Some(3));
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

fn parse_document(changes: &[(&str, &str)]) -> AgreedSettings {
    let mut text = DOCUMENT.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    AgreedSettings::parse("document", &text).unwrap_or_else(|f| panic!("{f:?}"))
}

#[test]
fn merged_documents_are_no_laxer_than_either() {
    let old = parse_document(&[]);
    let new = parse_document(&[
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
    // The stricter value does not depend on the order.
    let (back, _) = merge_documents(&new, &old);
    assert_eq!((back.groups[0].floor, back.groups[1].seats, back.fleet.tip_multiple), (1, 9, 4.0));
}

#[test]
fn change_of_fixed_key_is_rejected() {
    let old = parse_document(&[]);
    let refused =
        |changes: &[(&str, &str)]| check_transition(&old, &parse_document(changes), false).unwrap_err();
    expect!["ladder.rates: it cannot change while the fleet runs, from [120.0, 221.0] to [120.0, 300.0]"]
        .assert_eq(&refused(&[("[120, 221]", "[120, 300]")]));
    expect![[
        r#"groups: it cannot change while the fleet runs, from ["story", "paid"] to ["story", "other"]"#
    ]]
    .assert_eq(&refused(&[("\"paid\"", "\"other\"")]));
    expect!["directors.names: 2 of 3 directors would go at once; say --sure if so"]
        .assert_eq(&refused(&[("[\"a\", \"b\", \"c\"]", "[\"a\"]")]));
    assert!(check_transition(&old, &parse_document(&[("[\"a\", \"b\", \"c\"]", "[\"a\"]")]), true).is_ok());
    let free =
        check_transition(&old, &parse_document(&[("told_every = 2", "told_every = 3")]), false).unwrap();
    assert_eq!((free.len(), free[0].class), (1, KeyClass::Free));
}

#[test]
fn merge_of_three_documents_is_associative() {
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
fn merged_lists_use_common_nodes_and_old_title_locations() {
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
    assert_eq!(back, nodes, "the stricter value does not depend on the order");
    // A list is stricter than none, in either order.
    let none = parse_document(&[]);
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
fn school_seats_change_at_once() {
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
fn merged_numbering_gives_turns_common_to_all() {
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
    // The merge is associative.
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
    // A director on only one of two lists takes no turn while both may be in use.
    assert_eq!(merge_numberings(&[(None, 5), (Some(5), 6)]).1, 1_000_000_000);
}
