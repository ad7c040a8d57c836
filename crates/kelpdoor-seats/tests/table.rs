//! Keeper and directors step by step: each row of the table in `docs/seats.md`, and edge cases. The tests pass each
//! message on themselves, so that each can be lost, duplicated or delayed.

use expect_test::{Expect, expect};
use kelpdoor_seats::*;

const TERMS: LeaseTerms = LeaseTerms { duration: 20.0, clock_error: 2.5 };
const TIMEOUTS: HolderTimeouts = HolderTimeouts {
    claim_timeout: 0.3,
    heartbeat_interval: 3.0,
    resend_min: 0.4,
    resend_max: 4.0,
    seats_ahead: 0,
};

fn school() -> School {
    School("olaf".into())
}

fn id(token: &str) -> TokenId {
    TokenId(token.into())
}

/// A keeper and two directors that have an epoch.
struct Keeper {
    ledger: Ledger,
    stored: Vec<Change>,
    now: f64,
    transcript: Vec<String>,
}

fn describe_response(response: &KeeperResponse) -> String {
    match response {
        KeeperResponse::Welcome { epoch, .. } => format!("welcome to {}", epoch.0),
        KeeperResponse::Alive { n, .. } => format!("alive {n}"),
        KeeperResponse::Fenced { epoch } => format!("{} fenced", epoch.0),
        KeeperResponse::Granted { token, n, .. } => format!("granted {} by {n}", token.0),
        KeeperResponse::Freed { token, n, .. } => format!("freed {} by {n}", token.0),
        KeeperResponse::Full { token, come_back, .. } => {
            format!("full for {}, come back in {come_back:.0}", token.0)
        }
        KeeperResponse::Expired { token, .. } => format!("expired {}", token.0),
        KeeperResponse::Moved { token, n, .. } => format!("moved {}, held by {n}", token.0),
        KeeperResponse::Lent { count, until, .. } => format!("lent {count} until {until:.0}"),
    }
}

impl Keeper {
    fn new(seats: u32) -> Self {
        let mut t =
            Keeper { ledger: Ledger::new(TERMS), stored: Vec::new(), now: 100.0, transcript: Vec::new() };
        t.ledger.set_seats(&school(), seats);
        t.hello(0, 1);
        t.hello(1, 2);
        t.transcript.clear();
        t
    }

    fn handle(&mut self, request: KeeperRequest) {
        let responses = self.ledger.handle_request(self.now, &request);
        self.stored.extend(self.ledger.take_changes());
        let responses: Vec<String> =
            responses.iter().map(|(d, r)| format!("{}: {}", d.0, describe_response(r))).collect();
        let s = self.ledger.status(&school());
        let responses = if responses.is_empty() { "nothing".into() } else { responses.join("; ") };
        self.transcript.push(format!("{responses} | held {} lent {} free {}", s.held, s.leased, s.free));
    }

    fn hello(&mut self, director: u32, nonce: u64) {
        self.handle(KeeperRequest::Hello { director: DirectorId(director), nonce });
    }

    fn claim(&mut self, epoch: u64, token: &str, lasts: f64, n: u64) {
        let (director, epoch, expires) = (DirectorId(epoch as u32 - 1), Epoch(epoch), self.now + lasts);
        self.handle(KeeperRequest::Claim { director, epoch, school: school(), token: id(token), expires, n });
    }

    fn spent(&mut self, epoch: u64, token: &str, lasts: f64, n: u64) {
        let (director, epoch, expires) = (DirectorId(epoch as u32 - 1), Epoch(epoch), self.now + lasts);
        self.handle(KeeperRequest::Spent { director, epoch, school: school(), token: id(token), expires, n });
    }

    fn release(&mut self, epoch: u64, token: &str, n: u64) {
        let (director, epoch) = (DirectorId(epoch as u32 - 1), Epoch(epoch));
        self.handle(KeeperRequest::Release { director, epoch, school: school(), token: id(token), n });
    }

    fn lend(&mut self, epoch: u64, want: u32, n: u64) {
        let (director, epoch) = (DirectorId(epoch as u32 - 1), Epoch(epoch));
        self.handle(KeeperRequest::Lend { director, epoch, school: school(), want, n });
    }

    fn beat(&mut self, epoch: u64, n: u64) {
        self.handle(KeeperRequest::Beat { director: DirectorId(epoch as u32 - 1), epoch: Epoch(epoch), n });
    }

    /// Kills the keeper and restarts it from the stored changes.
    fn restart(&mut self) {
        let mut ledger = Ledger::new(TERMS);
        self.stored.iter().for_each(|c| ledger.apply(c));
        ledger.resume(self.now);
        self.ledger = ledger;
        self.transcript.push("restarted".into());
    }

    fn assert_transcript(&self, expected: Expect) {
        self.ledger.audit().expect("a consistent ledger");
        expected.assert_eq(&self.transcript.join("\n"));
    }
}

#[test]
fn claims_on_free_held_and_full_pool_are_granted_or_refused() {
    let mut t = Keeper::new(2);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 90.0, 2);
    t.claim(1, "a", 10.0, 3);
    t.claim(2, "b", 30.0, 1);
    t.claim(2, "c", 30.0, 2);
    t.claim(1, "old", -9.0, 4);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 1
        0: granted a by 1 | held 1 lent 0 free 1
        0: granted a by 2 | held 1 lent 0 free 1
        0: granted a by 3 | held 1 lent 0 free 1
        1: granted b by 1 | held 2 lent 0 free 0
        1: full for c, come back in 20 | held 2 lent 0 free 0
        0: expired old | held 2 lent 0 free 0"#]]);
}

#[test]
fn retry_at_another_director_moves_seat_and_moved_is_repeated_until_release() {
    let mut t = Keeper::new(1);
    t.claim(1, "a", 60.0, 1);
    t.claim(2, "a", 60.0, 1);
    // The `Moved` message was lost: it is repeated with each heartbeat, also after a restart of the keeper.
    t.beat(1, 2);
    t.restart();
    t.beat(1, 3);
    t.release(1, "a", 4);
    t.beat(1, 5);
    // An old claim of the first director changes nothing; a new one moves the seat back.
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 6);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        1: granted a by 1; 0: moved a, held by 1 | held 1 lent 0 free 0
        0: alive 2; 0: moved a, held by 1 | held 1 lent 0 free 0
        restarted
        0: alive 3; 0: moved a, held by 1 | held 1 lent 0 free 0
        0: freed a by 4 | held 1 lent 0 free 0
        0: alive 5 | held 1 lent 0 free 0
        0: granted a by 1 | held 1 lent 0 free 0
        0: granted a by 6; 1: moved a, held by 1 | held 1 lent 0 free 0"#]]);
}

#[test]
fn duplicated_release_frees_once_and_late_claim_takes_no_seat() {
    let mut t = Keeper::new(1);
    t.claim(1, "a", 60.0, 1);
    // The first release was lost, the second is duplicated.
    t.release(1, "a", 2);
    t.release(1, "a", 2);
    t.claim(1, "a", 60.0, 1);
    t.release(2, "a", 9);
    t.claim(2, "b", 60.0, 10);
    t.release(1, "b", 7);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        0: freed a by 2 | held 0 lent 0 free 1
        0: freed a by 2 | held 0 lent 0 free 1
        0: granted a by 1 | held 0 lent 0 free 1
        1: freed a by 9 | held 0 lent 0 free 1
        1: granted b by 10 | held 1 lent 0 free 0
        0: freed b by 7 | held 1 lent 0 free 0"#]]);
}

#[test]
fn leased_seats_are_used_once_and_freed_at_lease_end() {
    let mut t = Keeper::new(3);
    t.lend(1, 2, 1);
    t.lend(2, 5, 1);
    t.spent(1, "a", 60.0, 2);
    t.spent(1, "a", 60.0, 2);
    t.lend(1, 2, 1);
    t.lend(1, 0, 3);
    t.claim(2, "b", 60.0, 2);
    t.spent(1, "c", 60.0, 4);
    t.now += 19.0;
    t.beat(2, 3);
    t.beat(1, 5);
    t.now += 4.0;
    t.beat(1, 6);
    t.assert_transcript(expect![[r#"
        0: lent 1 until 120 | held 0 lent 1 free 2
        1: lent 1 until 120 | held 0 lent 2 free 1
        0: granted a by 2 | held 1 lent 1 free 1
        0: granted a by 2 | held 1 lent 1 free 1
        0: lent 0 until 120 | held 1 lent 1 free 1
        0: lent 0 until 120 | held 1 lent 1 free 1
        1: granted b by 2 | held 2 lent 1 free 0
        0: full for c, come back in 20 | held 2 lent 1 free 0
        1: alive 3 | held 2 lent 1 free 0
        0: alive 5 | held 2 lent 1 free 0
        0: alive 6 | held 2 lent 0 free 1"#]]);
}

#[test]
fn shrunk_pool_keeps_held_seats_and_grants_none() {
    let mut t = Keeper::new(3);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "b", 60.0, 2);
    t.ledger.set_seats(&school(), 1);
    t.claim(1, "b", 90.0, 3);
    t.claim(2, "c", 60.0, 1);
    t.release(1, "a", 4);
    t.claim(2, "c", 60.0, 2);
    t.release(1, "b", 5);
    t.claim(2, "c", 60.0, 3);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 2
        0: granted b by 2 | held 2 lent 0 free 1
        0: granted b by 3 | held 2 lent 0 free 0
        1: full for c, come back in 20 | held 2 lent 0 free 0
        0: freed a by 4 | held 1 lent 0 free 0
        1: full for c, come back in 20 | held 1 lent 0 free 0
        0: freed b by 5 | held 0 lent 0 free 1
        1: granted c by 3 | held 1 lent 0 free 0"#]]);
}

#[test]
fn keeper_killed_between_write_and_response_grants_same_seat_again() {
    let mut t = Keeper::new(1);
    t.claim(1, "a", 60.0, 1);
    t.restart();
    // The response was never sent: the claim is resent, and a renewal arrives after the next restart.
    t.claim(1, "a", 60.0, 1);
    t.restart();
    t.claim(1, "a", 90.0, 2);
    t.hello(0, 1);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        restarted
        0: granted a by 1 | held 1 lent 0 free 0
        restarted
        0: granted a by 2 | held 1 lent 0 free 0
        0: welcome to 1 | held 1 lent 0 free 0"#]]);
}

#[test]
fn restarted_director_has_old_epoch_fenced_and_freed_after_lease() {
    let mut t = Keeper::new(2);
    t.lend(1, 1, 1);
    t.claim(1, "a", 600.0, 2);
    // The director restarts and the viewer of `a` reconnects; the advance lease of the old epoch still counts.
    t.hello(0, 77);
    t.handle(KeeperRequest::Claim {
        director: DirectorId(0),
        epoch: Epoch(3),
        school: school(),
        token: id("a"),
        expires: 700.0,
        n: 1,
    });
    t.spent(1, "b", 60.0, 3);
    t.beat(2, 1);
    t.now += 15.0;
    t.beat(2, 2);
    t.now += 15.0;
    t.beat(2, 3);
    t.assert_transcript(expect![[r#"
        0: lent 1 until 120 | held 0 lent 1 free 1
        0: granted a by 2 | held 1 lent 1 free 0
        0: welcome to 3 | held 1 lent 1 free 0
        0: granted a by 1; 0: moved a, held by 2 | held 1 lent 1 free 0
        0: 1 fenced | held 1 lent 1 free 0
        1: alive 1 | held 1 lent 1 free 0
        1: alive 2 | held 1 lent 1 free 0
        1: alive 3 | held 0 lent 0 free 2"#]]);
}

/// A short form of a holder's outputs.
fn describe_outputs(outputs: &[Output]) -> String {
    let describe = |output: &Output| match output {
        Output::Send(KeeperRequest::Hello { .. }) => "hello".into(),
        Output::Send(KeeperRequest::Beat { .. }) => "beat".into(),
        Output::Send(KeeperRequest::Claim { token, .. }) => format!("claim {}", token.0),
        Output::Send(KeeperRequest::Spent { token, .. }) => format!("spent {}", token.0),
        Output::Send(KeeperRequest::Release { token, .. }) => format!("release {}", token.0),
        Output::Send(KeeperRequest::Lend { want, .. }) => format!("lend {want}"),
        Output::Granted { token, .. } => format!("GRANTED {}", token.0),
        Output::Refused { token, why, .. } => format!("REFUSED {} {why:?}", token.0),
        Output::Ended { token, why, .. } => format!("ENDED {} {why:?}", token.0),
    };
    outputs.iter().map(describe).collect::<Vec<String>>().join(", ")
}

/// A director with an epoch and an answered heartbeat, and its keeper.
fn holder(seats_ahead: u32) -> (Holder, Ledger) {
    let mut h = Holder::new(DirectorId(0), 7, TERMS, HolderTimeouts { seats_ahead, ..TIMEOUTS });
    let mut ledger = Ledger::new(TERMS);
    ledger.set_seats(&school(), 2);
    let out = h.tick(100.0);
    exchange(&mut h, &mut ledger, 100.0, out);
    (h, ledger)
}

/// Exchanges messages until none is left; returns the other outputs.
fn exchange(h: &mut Holder, ledger: &mut Ledger, now: f64, outputs: Vec<Output>) -> Vec<Output> {
    let (mut open, mut others) = (outputs, Vec::new());
    while !open.is_empty() {
        for output in std::mem::take(&mut open) {
            let Output::Send(request) = &output else {
                others.push(output);
                continue;
            };
            for (_, response) in ledger.handle_request(now, request) {
                open.extend(h.handle_response(now, &response));
            }
        }
    }
    others
}

#[test]
fn lease_expired_during_stall_ends_seats_and_sends_hello() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    assert_eq!(describe_outputs(&exchange(&mut h, &mut ledger, 100.0, out)), "GRANTED a");
    // The director stalls for less than its lease, then for more. The keeper frees the seat later than it ends here.
    assert_eq!(describe_outputs(&h.tick(110.0)), "beat");
    let out = h.tick(121.0);
    assert_eq!(describe_outputs(&out), "ENDED a Lapsed, hello");
    ledger.expire(121.0);
    assert_eq!(ledger.status(&school()).held, 1);
    ledger.expire(123.0);
    assert_eq!(ledger.status(&school()).held, 0);
    // Without an epoch only hellos are sent; no timer fires at once.
    assert!(h.next_timer_at() > 121.0, "{}", h.next_timer_at());
    let out = h.request_seat(122.0, &school(), &id("b"), 1000.0, 1.0);
    assert_eq!(describe_outputs(&out), "hello");
    assert!(h.next_timer_at() > 122.0, "{}", h.next_timer_at());
}

#[test]
fn unavailable_keeper_uses_leased_seat_then_refuses_in_time() {
    let (mut h, mut ledger) = holder(1);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    assert_eq!(describe_outputs(&exchange(&mut h, &mut ledger, 100.0, out)), "GRANTED a");
    let out = h.tick(103.5);
    exchange(&mut h, &mut ledger, 103.5, out);
    assert_eq!(ledger.status(&school()).leased, 1);
    // From here on the keeper gets no message.
    assert_eq!(describe_outputs(&h.request_seat(104.0, &school(), &id("b"), 1000.0, 1.0)), "claim b");
    assert_eq!(describe_outputs(&h.tick(104.31)), "spent b, GRANTED b");
    assert_eq!(describe_outputs(&h.request_seat(104.4, &school(), &id("c"), 1000.0, 0.1)), "claim c");
    assert_eq!(describe_outputs(&h.tick(104.51)), "REFUSED c NoKeeper, release c");
    // Renewals of held seats need no response.
    assert_eq!(
        describe_outputs(&h.request_seat(105.0, &school(), &id("a"), 2000.0, 1.0)),
        "claim a, GRANTED a"
    );
}

#[test]
fn late_moved_message_does_not_end_newer_claim() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    exchange(&mut h, &mut ledger, 100.0, out);
    let (epoch, n) = (Epoch(1), u64::MAX);
    let moved = |n| KeeperResponse::Moved { epoch, school: school(), token: id("a"), n };
    // For an older claim than the current one.
    assert_eq!(describe_outputs(&h.handle_response(101.0, &moved(0))), "");
    assert_eq!(describe_outputs(&h.handle_response(101.0, &moved(n))), "ENDED a Moved, release a");
    // A repeated message is only confirmed again.
    assert_eq!(describe_outputs(&h.handle_response(101.1, &moved(n))), "release a");
}

#[test]
fn director_clock_two_seconds_slow_never_shares_a_seat() {
    // The director's clock is 2 s slow, so that the token expires 2 s later there than at the keeper. In the second case
    // the director is disconnected and its lease ends on both sides.
    for disconnected in [false, true] {
        let mut ledger = Ledger::new(TERMS);
        ledger.set_seats(&school(), 1);
        let mut slow = Holder::new(DirectorId(0), 7, TERMS, TIMEOUTS);
        let out = slow.tick(98.0);
        exchange(&mut slow, &mut ledger, 100.0, out);
        let out = slow.request_seat(98.0, &school(), &id("a"), if disconnected { 500.0 } else { 110.0 }, 1.0);
        assert_eq!(describe_outputs(&exchange(&mut slow, &mut ledger, 100.0, out)), "GRANTED a");
        for tenth in 0..300 {
            let now = 100.0 + f64::from(tenth) / 10.0;
            let out = slow.tick(now - 2.0);
            if !disconnected {
                for output in out {
                    let Output::Send(request) = output else { continue };
                    for (_, response) in ledger.handle_request(now, &request) {
                        slow.handle_response(now - 2.0, &response);
                    }
                }
            }
            ledger.expire(now);
            let free = ledger.status(&school()).free == 1;
            assert!(!(free && slow.holds(&school(), &id("a"))), "free and held at {now}");
        }
        assert_eq!((slow.held(), ledger.status(&school()).free), (0, 1));
    }
}

#[test]
fn renewal_during_keeper_downtime_keeps_seat_past_old_expiry() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 105.0, 1.0);
    exchange(&mut h, &mut ledger, 100.0, out);
    assert_eq!(
        describe_outputs(&h.request_seat(104.0, &school(), &id("a"), 200.0, 1.0)),
        "claim a, GRANTED a"
    );
    // The keeper is down until well after the old expiry and back before the renewal is resent.
    ledger.expire(113.0);
    assert_eq!(ledger.status(&school()).held, 1);
    let out = h.tick(113.0);
    exchange(&mut h, &mut ledger, 113.0, out);
    ledger.expire(114.0);
    assert_eq!((h.held(), ledger.status(&school()).held), (1, 1));
    // Without a renewal the director ends the seat and releases it.
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 105.0, 1.0);
    exchange(&mut h, &mut ledger, 100.0, out);
    let out = h.tick(105.0);
    assert_eq!(describe_outputs(&out), "beat, ENDED a Expired, release a");
    exchange(&mut h, &mut ledger, 105.0, out);
    assert_eq!(ledger.status(&school()).free, 2);
}

#[test]
fn moved_seat_counts_until_previous_director_releases_it() {
    let mut t = Keeper::new(1);
    t.claim(1, "a", 60.0, 1);
    // The first director stalls; the viewer plays at the second and leaves there.
    t.claim(2, "a", 60.0, 1);
    t.release(2, "a", 2);
    t.claim(2, "b", 60.0, 3);
    t.release(1, "a", 2);
    t.claim(2, "b", 60.0, 4);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        1: granted a by 1; 0: moved a, held by 1 | held 1 lent 0 free 0
        1: freed a by 2 | held 0 lent 0 free 0
        1: full for b, come back in 20 | held 0 lent 0 free 0
        0: freed a by 2 | held 0 lent 0 free 1
        1: granted b by 4 | held 1 lent 0 free 0"#]]);
}

#[test]
fn replayed_snapshot_restores_same_ledger() {
    let mut t = Keeper::new(3);
    t.claim(1, "a", 60.0, 1);
    t.claim(2, "a", 60.0, 1);
    t.lend(1, 1, 2);
    t.hello(0, 9);
    let snapshot = t.ledger.snapshot();
    let mut restored = Ledger::new(TERMS);
    snapshot.iter().for_each(|c| restored.apply(c));
    assert_eq!(restored.status(&school()), t.ledger.status(&school()));
    assert_eq!(restored.holder(&school(), &id("a")), t.ledger.holder(&school(), &id("a")));
    assert_eq!(restored.snapshot(), snapshot);
}

#[test]
fn response_to_abandoned_claim_grants_nothing() {
    let (mut h, _) = holder(0);
    let n = |out: &[Output]| match out {
        [Output::Send(KeeperRequest::Claim { n, .. }), ..] => *n,
        other => panic!("{}", describe_outputs(other)),
    };
    let first = n(&h.request_seat(100.0, &school(), &id("a"), 500.0, 1.0));
    assert_eq!(describe_outputs(&h.release(100.01, &school(), &id("a"))), "release a");
    let second = n(&h.request_seat(100.02, &school(), &id("a"), 500.0, 1.0));
    let granted = |n| KeeperResponse::Granted { epoch: Epoch(1), school: school(), token: id("a"), n };
    // Its release reached the keeper first, so that the keeper holds no seat for this claim.
    assert_eq!(describe_outputs(&h.handle_response(100.03, &granted(first))), "");
    assert!(!h.holds(&school(), &id("a")));
    // A retry with a later expiry is claimed anew, and only the response to that claim counts.
    let third = n(&h.request_seat(100.04, &school(), &id("a"), 900.0, 1.0));
    assert_eq!(describe_outputs(&h.handle_response(100.05, &granted(second))), "");
    assert_eq!(describe_outputs(&h.handle_response(100.06, &granted(third))), "GRANTED a");
}

#[test]
fn release_delayed_behind_newer_claim_frees_nothing() {
    let mut t = Keeper::new(1);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 3);
    t.release(1, "a", 2);
    // `Moved` has to name the latest claim, or the director would ignore it as older.
    t.claim(2, "a", 60.0, 1);
    t.assert_transcript(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        0: granted a by 3 | held 1 lent 0 free 0
        0: freed a by 2 | held 1 lent 0 free 0
        1: granted a by 1; 0: moved a, held by 3 | held 1 lent 0 free 0"#]]);
}
