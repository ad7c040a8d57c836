//! Chains of versions: which a voter's log provides, how a director applies them, and which invalid chains it rejects.

mod texts;

use std::collections::BTreeSet;

use expect_test::expect;
use fastrand::Rng;
use kelpdoor_agreement::{
    CatchUp, Chosen, ClientRequest, Delta, DurableState, Edit, Follower, MAX_CLOCK_RATE_ERROR, MAX_DOCUMENT,
    MAX_LOG_BYTES, MAX_LOG_VERSIONS, Output, Value, Voter, VoterId, VoterMessage, VoterResponse,
    lease_duration,
};
use texts::{READER, TestRules};

fn version(number: u64, text: &str) -> Chosen {
    Chosen { number, value: Value { id: number, text: text.to_owned() } }
}

fn text(number: u64) -> String {
    format!("one\ntwo\nnumber {number}\nfour by 0 1 2 3 4")
}

/// The chain from one version to another, with the contents of [`text`].
fn chain(from: u64, to: u64) -> Vec<Delta> {
    (from..to).map(|n| Delta::between(&version(n, &text(n)), &version(n + 1, &text(n + 1)))).collect()
}

fn granted(seq: u64, newest: u64, document: Option<Chosen>, chain: Vec<Delta>) -> VoterResponse {
    VoterResponse::Granted { seq, newest, pending: false, document, chain }
}

/// Sends due requests to all three voters, which all give this response.
fn renew_all(f: &mut Follower<TestRules>, now: f64, newest: u64, chain: &[Delta]) -> Result<(), String> {
    for v in 0..3 {
        if let Some(ClientRequest::Renew { seq, .. }) = f.next_request(now, VoterId(v)) {
            f.handle_response(now, VoterId(v), granted(seq, newest, None, chain.to_vec()))?;
        }
    }
    Ok(())
}

/// A follower that holds a lease on version 1 and acts on nothing older.
fn leased_follower() -> Follower<TestRules> {
    let mut f = Follower::new("d", 1, Some(version(1, &text(1))), ());
    for k in 0..10 {
        renew_all(&mut f, f64::from(k) * 0.25, 1, &[]).unwrap();
    }
    let a = f.active_versions(2.25).unwrap();
    assert!(a.from <= 2.25 && a.until > 3.0 && a.older.is_empty(), "{a:?}");
    f
}

fn active(f: &mut Follower<TestRules>, now: f64) -> (String, String, String) {
    let rules = f.rules(now).unwrap();
    let numbers: Vec<&str> = rules.all.iter().map(|t| t.lines().nth(2).unwrap()).collect();
    let oldest = rules.oldest.lines().nth(2).unwrap().to_owned();
    (f.active_versions(now).unwrap().label(), numbers.join(", "), oldest)
}

#[test]
fn versions_learned_together_all_stay_active() {
    let mut f = leased_follower();
    renew_all(&mut f, 2.5, 4, &chain(1, 4)).unwrap();
    let mut told = String::new();
    for now in [2.5, 3.5, 3.53] {
        let (label, all, oldest) = active(&mut f, now);
        told += &format!("{now}: {label}: {all}; without a stricter side: {oldest}\n");
    }
    assert!(f.active_versions(2.5).unwrap().from <= 2.5, "the director went on without a wait");
    expect![[r#"
        2.5: 4/be2b2dfa1f58398f beside 3/fee6c9bdb4b64ff9 to 1/7c8fe81b31d5c874: number 1, number 2, number 3, number 4; without a stricter side: number 1
        3.5: 4/be2b2dfa1f58398f beside 3/fee6c9bdb4b64ff9 to 1/7c8fe81b31d5c874: number 1, number 2, number 3, number 4; without a stricter side: number 1
        3.53: 4/be2b2dfa1f58398f: number 4; without a stricter side: number 4
    "#]]
    .assert_eq(&told);
}

#[test]
fn chain_without_lease_waits_one_lease() {
    let mut f = leased_follower();
    let until = f.active_versions(2.25).unwrap().until;
    assert_eq!(until, 2.25 + 0.99);
    renew_all(&mut f, until, 3, &chain(1, 3)).unwrap();
    let a = f.active_versions(until).unwrap();
    assert_eq!((a.version.number, a.older.len(), a.from), (3, 0, until + 1.02));
    // A version learned during the wait is added: the wait does not start again.
    renew_all(&mut f, until + 0.5, 5, &chain(3, 5)).unwrap();
    let b = f.active_versions(until + 1.1).unwrap();
    assert_eq!((b.version.number, b.oldest(), b.from), (5, 3, until + 1.02));
}

#[test]
fn invalid_chain_is_rejected_without_effect() {
    let base = leased_follower();
    let good = chain(1, 4);
    let with = |of: fn(&mut Vec<Delta>)| {
        let mut chain = good.clone();
        of(&mut chain);
        chain
    };
    let mut told = String::new();
    let far = "x".repeat(MAX_DOCUMENT);
    let mut large = good.clone();
    large[1].edits[0].put = far;
    let mut long = Vec::new();
    (0..=MAX_LOG_VERSIONS).for_each(|_| long.push(good[0].clone()));
    let mut parts = good.clone();
    parts[0].edits = vec![Edit { at: 0, cut: 0, put: String::new() }; 1025];
    let cases = [
        ("a hole", with(|c| drop(c.remove(1)))),
        ("twice", with(|c| c.insert(1, c[0].clone()))),
        ("another base", with(|c| c[0].base = "0123456789abcdef".into())),
        ("another fleet's", vec![Delta::between(&version(1, "other"), &version(2, "fleet"))]),
        ("garbled", with(|c| c[1].edits[0].put = "99".into())),
        ("past the end", with(|c| c[0].edits[0].at = usize::MAX)),
        ("cuts past the end", with(|c| c[0].edits[0].cut = usize::MAX)),
        ("falling", with(|c| c[0].edits.push(Edit { at: 0, cut: 1, put: String::new() }))),
        ("too large", large),
        ("too long", long),
        ("too many edits", parts),
        ("far away", with(|c| c[2].number = u64::MAX)),
        ("does not read", {
            let (two, three) = (version(2, &text(2)), version(3, "bad"));
            vec![good[0].clone(), Delta::between(&two, &three)]
        }),
    ];
    for (name, chain) in cases {
        let mut f = base.clone();
        let before = f.active_versions(2.5);
        let newest = 4;
        told += &format!("{name}: {}\n", renew_all(&mut f, 2.5, newest, &chain).unwrap_err());
        assert_eq!(f.active_versions(2.5), before, "{name}: the response has no effect");
        // The voter that sent it is asked for a document, the others for a chain.
        let wants = |f: &mut Follower<TestRules>, v| match f.next_request(2.75, VoterId(v)) {
            Some(ClientRequest::Renew { wants, .. }) => wants,
            other => panic!("{other:?}"),
        };
        assert_eq!((wants(&mut f, 0), wants(&mut f, 1)), (CatchUp::Document, CatchUp::Chain), "{name}");
    }
    expect![[r#"
        a hole: voter 0: a delta makes version 4, version 2 is known
        twice: voter 0: a delta makes version 2, version 2 is known
        another base: voter 0: a delta to version 2 is from 0123456789abcdef, known is 1/7c8fe81b31d5c874
        another fleet's: voter 0: a delta to version 2 is from d9298a10d1b07358, known is 1/7c8fe81b31d5c874
        garbled: voter 0: a delta to version 3 makes 502a2e4dd3da6e45, it says fee6c9bdb4b64ff9
        past the end: voter 0: a delta to version 2: its edit at byte 18446744073709551615 does not fit
        cuts past the end: voter 0: a delta to version 2: its edit at byte 15 does not fit
        falling: voter 0: a delta to version 2: its edit at byte 0 does not fit
        too large: voter 0: a delta to version 3 makes over 262144 bytes
        too long: voter 0: a chain of 257 versions, 256 at most
        too many edits: voter 0: a delta to version 2 has 1025 edits, 1024 at most
        far away: voter 0: a delta makes version 18446744073709551615, version 3 is known
        does not read: voter 0: version 3/2f05d4b689d270ca does not read here: it says so
    "#]]
    .assert_eq(&told);
}

#[test]
fn frequent_versions_keep_few_groups_and_drop_old_ones() {
    for rate in [0.58, 5.8, 100.0] {
        let mut f = leased_follower();
        let (mut number, mut max_groups, mut oldest_since) = (1, 0, 0.0f64);
        let mut learned = vec![0.0; 2];
        // One voter after the other responds, so that versions are learned much faster than a group is wide.
        for step in 0..400u32 {
            let t = 2.5 + 0.0502 * f64::from(step);
            let next = 1 + ((t - 2.25) * rate) as u64;
            let voter = VoterId((step % 5) as u8);
            if let Some(ClientRequest::Renew { seq, .. }) = f.next_request(t, voter) {
                f.handle_response(t, voter, granted(seq, next, None, chain(number, next))).unwrap();
            }
            number = f.known_version().unwrap().number;
            learned.resize(number as usize + 1, t);
            let a = f.active_versions(t).unwrap();
            assert!(a.from <= t && t < a.until, "no interruption: {a:?} at {t}");
            max_groups = max_groups.max(a.older.len());
            let rules = f.rules(t).unwrap();
            // All versions from the oldest to the newest are merged, and no others.
            let all: BTreeSet<String> = (a.oldest()..=number).map(text).collect();
            assert_eq!((rules.all.clone(), &rules.oldest), (all, &text(a.oldest())));
            // The oldest version was replaced when the next one was learned.
            if a.oldest() < number {
                oldest_since = oldest_since.max(t - learned[a.oldest() as usize + 1]);
            }
            assert!(a.label().len() < 512);
        }
        let hold = lease_duration(2.0) * (1.0 + 2.0 * MAX_CLOCK_RATE_ERROR);
        assert!(max_groups <= 11 && number > 10, "{max_groups} groups at {rate} a second");
        assert!(oldest_since <= hold * 1.125 + 1e-9, "{oldest_since} at {rate} a second");
    }
}

/// A voter that has learned these versions one after the other, and its state on disk.
fn voter_with(numbers: impl Iterator<Item = u64>, text: impl Fn(u64) -> String) -> (Voter, DurableState) {
    let founders = [0, 1, 2].map(VoterId);
    let mut v = Voter::new(VoterId(0), DurableState::founded("f", &founders), READER, 1, 0.0);
    let mut disk = v.durable().clone();
    for number in numbers {
        v.handle_message(0.0, VoterId(1), VoterMessage::Learn { number, id: number, text: text(number) });
        disk = v.take_output().0.unwrap_or(disk);
    }
    (v, disk)
}

fn renew(v: &mut Voter, have: u64, wants: CatchUp) -> (Option<u64>, Vec<u64>) {
    let request = ClientRequest::Renew {
        name: "d".into(),
        boot: 1,
        seq: 1,
        have,
        lease: 1.0,
        left: 0.0,
        acts: String::new(),
        wants,
    };
    v.handle_request(5.0, 1, request);
    match v.take_output().1.pop() {
        Some(Output::Response(_, VoterResponse::Granted { document, chain, .. })) => {
            (document.map(|c| c.number), chain.iter().map(|d| d.number).collect())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn renewal_gets_chain_or_document_as_requested() {
    let (mut v, disk) = voter_with(1..=5, text);
    assert_eq!(renew(&mut v, 2, CatchUp::Chain), (None, vec![3, 4, 5]));
    assert_eq!(renew(&mut v, 2, CatchUp::Document), (Some(5), vec![]));
    assert_eq!(renew(&mut v, 0, CatchUp::Either), (Some(5), vec![]));
    assert_eq!(renew(&mut v, 0, CatchUp::Chain), (None, vec![]));
    assert_eq!(renew(&mut v, 5, CatchUp::Either), (None, vec![]));
    assert_eq!(renew(&mut v, 9, CatchUp::Either), (None, vec![]));
    // The log is on disk: after a restart the voter sends the same chain.
    let mut again = Voter::new(VoterId(0), disk, READER, 1, 0.0);
    assert_eq!(renew(&mut again, 2, CatchUp::Chain), (None, vec![3, 4, 5]));
    // Version 6 was missed: the log starts anew after the gap.
    again.handle_message(0.0, VoterId(1), VoterMessage::Learn { number: 7, id: 7, text: text(7) });
    again.handle_message(0.0, VoterId(1), VoterMessage::Learn { number: 8, id: 8, text: text(8) });
    assert_eq!(renew(&mut again, 5, CatchUp::Chain), (None, vec![]));
    assert_eq!(renew(&mut again, 5, CatchUp::Either), (Some(8), vec![]));
    assert_eq!(renew(&mut again, 7, CatchUp::Either), (None, vec![8]));
}

#[test]
fn learned_versions_are_reported_as_change_rate() {
    let (mut v, _) = voter_with(1..=30, text);
    let mut changes = |now: f64| {
        v.handle_request(now, 1, ClientRequest::Status);
        match v.take_output().1.pop() {
            Some(Output::Response(_, VoterResponse::Status { changes, .. })) => changes,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!([changes(0.0), changes(10.0), changes(60.0), changes(60.5)], [30.0, 3.0, 0.5, 0.0]);
    let (mut fast, _) = voter_with(1..=1000, text);
    fast.handle_request(20.0, 1, ClientRequest::Status);
    let told = fast.take_output().1.pop();
    assert!(
        matches!(told, Some(Output::Response(_, VoterResponse::Status { changes, .. })) if changes == MAX_LOG_VERSIONS as f64 / 20.0)
    );
}

#[test]
fn log_is_bounded_in_versions_and_bytes() {
    let (v, _) = voter_with(1..=400, text);
    assert_eq!(
        (v.durable().log.len(), v.durable().log[0].number),
        (MAX_LOG_VERSIONS, 401 - MAX_LOG_VERSIONS as u64)
    );
    // Each version changes 100 KB: few deltas fit, and the newest is stored even at the maximum document size.
    let (v, _) = voter_with(1..=20, |n| char::from(b'a' + n as u8).to_string().repeat(100_000));
    let bytes: usize = v.durable().log.iter().map(Delta::bytes).sum();
    assert!((3..=5).contains(&v.durable().log.len()) && bytes <= MAX_LOG_BYTES, "{bytes}");
    let (v, _) = voter_with(1..=3, |n| char::from(b'a' + n as u8).to_string().repeat(MAX_DOCUMENT));
    assert_eq!(v.durable().log.back().map(|d| d.number), Some(3));
}

#[test]
fn delta_applied_to_base_gives_new_version() {
    let mut rng = Rng::with_seed(7);
    let words = ["node(1)\n", "node(2)\n", "é\n", "", "title(\"ß\")\n", "x", "\n"];
    let mut random =
        |most: usize| -> String { (0..rng.usize(..most)).map(|_| words[rng.usize(..words.len())]).collect() };
    let mut pairs: Vec<(String, String)> = (0..3000).map(|_| (random(12), random(12))).collect();
    pairs.push((String::new(), "a\n".repeat(5000)));
    pairs.push(("a\n".repeat(5000), "b\n".repeat(5000)));
    pairs.push((
        (0..4000).map(|n| format!("{n}\n")).collect(),
        (0..4000).rev().map(|n| format!("{n}\n")).collect(),
    ));
    for (old, new) in pairs {
        let (old, new) = (version(1, &old), version(2, &new));
        let delta = Delta::between(&old, &new);
        assert_eq!(delta.apply(&old, &old.digest()).as_ref(), Ok(&new), "{delta:?}");
    }
    // The size of a delta is in proportion to the change.
    let list =
        |off: u32| -> String { (0..4000).map(|n| format!("node({n}, drain = {})\n", n == off)).collect() };
    let (old, new) = (version(1, &list(10)), version(2, &list(3990)));
    let delta = Delta::between(&old, &new);
    assert!(old.value.text.len() > 90_000 && delta.bytes() < 400, "{}", delta.bytes());
}

#[test]
fn messages_and_stores_without_chains_parse() {
    let ask = r#"{"renew":{"name":"d","boot":1,"seq":2,"have":3,"lease":1.0,"left":0.5,"acts":""}}"#;
    assert!(matches!(serde_json::from_str(ask), Ok(ClientRequest::Renew { wants: CatchUp::Document, .. })));
    let told = r#"{"granted":{"seq":2,"newest":3,"pending":false,"document":null}}"#;
    assert!(
        matches!(serde_json::from_str(told), Ok(VoterResponse::Granted { chain, .. }) if chain.is_empty())
    );
    let store = r#"{"fleet":"f","founders":[0],"chosen":[{"number":3,"value":{"id":1,"text":"t"}}],
                    "promised":{"round":0,"voter":0},"accepted":null,"votes_from":1}"#;
    let durable: DurableState = serde_json::from_str(store).unwrap();
    assert!(durable.newest() == 3 && durable.log.is_empty() && durable.chain(2).is_none());
    // A response without a chain omits the field.
    let plain = VoterResponse::Granted { seq: 2, newest: 3, pending: false, document: None, chain: vec![] };
    assert_eq!(serde_json::to_string(&plain).unwrap(), told);
}
