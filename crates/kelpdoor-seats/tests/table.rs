//! Keeper and directors step by step: each row of the table in `docs/seats.md`, and the cases that are hard. Words
//! are carried by hand, so that each can be lost, doubled or late.

use expect_test::{Expect, expect};
use kelpdoor_seats::*;

const LEASE: LeaseTerms = LeaseTerms { duration: 20.0, clock_error: 2.5 };
const PATIENCE: HolderTimeouts = HolderTimeouts {
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

/// A keeper with two directors that have said hello.
struct Table {
    ledger: Ledger,
    kept: Vec<Change>,
    now: f64,
    said: Vec<String>,
}

fn short(word: &KeeperResponse) -> String {
    match word {
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

impl Table {
    fn new(seats: u32) -> Self {
        let mut t = Table { ledger: Ledger::new(LEASE), kept: Vec::new(), now: 100.0, said: Vec::new() };
        t.ledger.set_seats(&school(), seats);
        t.hello(0, 1);
        t.hello(1, 2);
        t.said.clear();
        t
    }

    fn take(&mut self, word: KeeperRequest) {
        let answers = self.ledger.handle_request(self.now, &word);
        self.kept.extend(self.ledger.take_changes());
        let answers: Vec<String> = answers.iter().map(|(d, w)| format!("{}: {}", d.0, short(w))).collect();
        let s = self.ledger.status(&school());
        let answers = if answers.is_empty() { "nothing".into() } else { answers.join("; ") };
        self.said.push(format!("{answers} | held {} lent {} free {}", s.held, s.leased, s.free));
    }

    fn hello(&mut self, director: u32, nonce: u64) {
        self.take(KeeperRequest::Hello { director: DirectorId(director), nonce });
    }

    fn claim(&mut self, epoch: u64, token: &str, lasts: f64, n: u64) {
        let (director, epoch, expires) = (DirectorId(epoch as u32 - 1), Epoch(epoch), self.now + lasts);
        self.take(KeeperRequest::Claim { director, epoch, school: school(), token: id(token), expires, n });
    }

    fn spent(&mut self, epoch: u64, token: &str, lasts: f64, n: u64) {
        let (director, epoch, expires) = (DirectorId(epoch as u32 - 1), Epoch(epoch), self.now + lasts);
        self.take(KeeperRequest::Spent { director, epoch, school: school(), token: id(token), expires, n });
    }

    fn release(&mut self, epoch: u64, token: &str, n: u64) {
        let (director, epoch) = (DirectorId(epoch as u32 - 1), Epoch(epoch));
        self.take(KeeperRequest::Release { director, epoch, school: school(), token: id(token), n });
    }

    fn lend(&mut self, epoch: u64, want: u32, n: u64) {
        let (director, epoch) = (DirectorId(epoch as u32 - 1), Epoch(epoch));
        self.take(KeeperRequest::Lend { director, epoch, school: school(), want, n });
    }

    fn beat(&mut self, epoch: u64, n: u64) {
        self.take(KeeperRequest::Beat { director: DirectorId(epoch as u32 - 1), epoch: Epoch(epoch), n });
    }

    /// Killed and started again from what was kept.
    fn restart(&mut self) {
        let mut ledger = Ledger::new(LEASE);
        self.kept.iter().for_each(|c| ledger.apply(c));
        ledger.resume(self.now);
        self.ledger = ledger;
        self.said.push("restarted".into());
    }

    fn show(&self, expected: Expect) {
        self.ledger.audit().expect("books in order");
        expected.assert_eq(&self.said.join("\n"));
    }
}

#[test]
fn claims_of_a_free_held_and_full_school() {
    let mut t = Table::new(2);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 90.0, 2);
    t.claim(1, "a", 10.0, 3);
    t.claim(2, "b", 30.0, 1);
    t.claim(2, "c", 30.0, 2);
    t.claim(1, "old", -9.0, 4);
    t.show(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 1
        0: granted a by 1 | held 1 lent 0 free 1
        0: granted a by 2 | held 1 lent 0 free 1
        0: granted a by 3 | held 1 lent 0 free 1
        1: granted b by 1 | held 2 lent 0 free 0
        1: full for c, come back in 20 | held 2 lent 0 free 0
        0: expired old | held 2 lent 0 free 0"#]]);
}

#[test]
fn a_retry_at_another_director_takes_the_one_seat_along_until_the_first_says_so() {
    let mut t = Table::new(1);
    t.claim(1, "a", 60.0, 1);
    t.claim(2, "a", 60.0, 1);
    // The word of the move was lost: it comes again with each beat, also after a restart of the keeper.
    t.beat(1, 2);
    t.restart();
    t.beat(1, 3);
    t.release(1, "a", 4);
    t.beat(1, 5);
    // An old word of the first is overtaken, a new one moves it back.
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 6);
    t.show(expect![[r#"
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
fn a_release_that_is_lost_comes_again_and_an_overtaken_claim_takes_nothing() {
    let mut t = Table::new(1);
    t.claim(1, "a", 60.0, 1);
    // The first release was lost, the second is doubled.
    t.release(1, "a", 2);
    t.release(1, "a", 2);
    t.claim(1, "a", 60.0, 1);
    t.release(2, "a", 9);
    t.claim(2, "b", 60.0, 10);
    t.release(1, "b", 7);
    t.show(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        0: freed a by 2 | held 0 lent 0 free 1
        0: freed a by 2 | held 0 lent 0 free 1
        0: granted a by 1 | held 0 lent 0 free 1
        1: freed a by 9 | held 0 lent 0 free 1
        1: granted b by 10 | held 1 lent 0 free 0
        0: freed b by 7 | held 1 lent 0 free 0"#]]);
}

#[test]
fn seats_lent_ahead_are_spent_once_and_fall_back() {
    let mut t = Table::new(3);
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
    t.show(expect![[r#"
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
fn a_pool_that_shrank_takes_none_away_and_gives_none_out() {
    let mut t = Table::new(3);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "b", 60.0, 2);
    t.ledger.set_seats(&school(), 1);
    t.claim(1, "b", 90.0, 3);
    t.claim(2, "c", 60.0, 1);
    t.release(1, "a", 4);
    t.claim(2, "c", 60.0, 2);
    t.release(1, "b", 5);
    t.claim(2, "c", 60.0, 3);
    t.show(expect![[r#"
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
fn a_keeper_killed_between_write_and_answer_grants_the_same_seat_again() {
    let mut t = Table::new(1);
    t.claim(1, "a", 60.0, 1);
    t.restart();
    // Its answer never went out: the claim comes again, and a renewal crosses the restart.
    t.claim(1, "a", 60.0, 1);
    t.restart();
    t.claim(1, "a", 90.0, 2);
    t.hello(0, 1);
    t.show(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        restarted
        0: granted a by 1 | held 1 lent 0 free 0
        restarted
        0: granted a by 2 | held 1 lent 0 free 0
        0: welcome to 1 | held 1 lent 0 free 0"#]]);
}

#[test]
fn a_director_that_is_gone_strands_nothing_past_its_lease_and_its_epoch_spends_no_more() {
    let mut t = Table::new(2);
    t.lend(1, 1, 1);
    t.claim(1, "a", 600.0, 2);
    // It starts again; the viewer of `a` comes back with its token, the loan of the old epoch still counts.
    t.hello(0, 77);
    t.take(KeeperRequest::Claim {
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
    t.show(expect![[r#"
        0: lent 1 until 120 | held 0 lent 1 free 1
        0: granted a by 2 | held 1 lent 1 free 0
        0: welcome to 3 | held 1 lent 1 free 0
        0: granted a by 1; 0: moved a, held by 2 | held 1 lent 1 free 0
        0: 1 fenced | held 1 lent 1 free 0
        1: alive 1 | held 1 lent 1 free 0
        1: alive 2 | held 1 lent 1 free 0
        1: alive 3 | held 0 lent 0 free 2"#]]);
}

/// What a holder does, shortly.
fn did(out: &[Output]) -> String {
    let of = |o: &Output| match o {
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
    out.iter().map(of).collect::<Vec<String>>().join(", ")
}

/// A director that has its epoch, its first beat heard.
fn holder(ahead: u32) -> (Holder, Ledger) {
    let mut h = Holder::new(DirectorId(0), 7, LEASE, HolderTimeouts { seats_ahead: ahead, ..PATIENCE });
    let mut ledger = Ledger::new(LEASE);
    ledger.set_seats(&school(), 2);
    let out = h.tick(100.0);
    carry(&mut h, &mut ledger, 100.0, out);
    (h, ledger)
}

/// Carries words to and fro until none is left; what else was done.
fn carry(h: &mut Holder, ledger: &mut Ledger, now: f64, out: Vec<Output>) -> Vec<Output> {
    let (mut open, mut done) = (out, Vec::new());
    while !open.is_empty() {
        for o in std::mem::take(&mut open) {
            let Output::Send(word) = &o else {
                done.push(o);
                continue;
            };
            for (_, answer) in ledger.handle_request(now, word) {
                open.extend(h.handle_response(now, &answer));
            }
        }
    }
    done
}

#[test]
fn a_lease_that_ran_out_in_a_stall_ends_what_was_held_and_asks_anew() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    assert_eq!(did(&carry(&mut h, &mut ledger, 100.0, out)), "GRANTED a");
    // It stands still for less than its lease, then for more; the keeper frees later than it ends.
    assert_eq!(did(&h.tick(110.0)), "beat");
    let out = h.tick(121.0);
    assert_eq!(did(&out), "ENDED a Lapsed, hello");
    ledger.expire(121.0);
    assert_eq!(ledger.status(&school()).held, 1);
    ledger.expire(123.0);
    assert_eq!(ledger.status(&school()).held, 0);
    // With no epoch there is nothing to do but hellos: no spinning.
    assert!(h.next_timer_at() > 121.0, "{}", h.next_timer_at());
    let out = h.request_seat(122.0, &school(), &id("b"), 1000.0, 1.0);
    assert_eq!(did(&out), "hello");
    assert!(h.next_timer_at() > 122.0, "{}", h.next_timer_at());
}

#[test]
fn without_a_keeper_what_was_lent_is_used_and_then_the_answer_is_in_time() {
    let (mut h, mut ledger) = holder(1);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    assert_eq!(did(&carry(&mut h, &mut ledger, 100.0, out)), "GRANTED a");
    let out = h.tick(103.5);
    carry(&mut h, &mut ledger, 103.5, out);
    assert_eq!(ledger.status(&school()).leased, 1);
    // The keeper hears nothing any more.
    assert_eq!(did(&h.request_seat(104.0, &school(), &id("b"), 1000.0, 1.0)), "claim b");
    assert_eq!(did(&h.tick(104.31)), "spent b, GRANTED b");
    assert_eq!(did(&h.request_seat(104.4, &school(), &id("c"), 1000.0, 0.1)), "claim c");
    assert_eq!(did(&h.tick(104.51)), "REFUSED c NoKeeper, release c");
    // Renewals of what is held need no answer.
    assert_eq!(did(&h.request_seat(105.0, &school(), &id("a"), 2000.0, 1.0)), "claim a, GRANTED a");
}

#[test]
fn a_move_that_is_said_late_does_not_end_what_was_claimed_anew() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 1000.0, 1.0);
    carry(&mut h, &mut ledger, 100.0, out);
    let (epoch, n) = (Epoch(1), u64::MAX);
    let moved = |n| KeeperResponse::Moved { epoch, school: school(), token: id("a"), n };
    // Of an older holding than this one.
    assert_eq!(did(&h.handle_response(101.0, &moved(0))), "");
    assert_eq!(did(&h.handle_response(101.0, &moved(n))), "ENDED a Moved, release a");
    // Said once more: only confirmed once more.
    assert_eq!(did(&h.handle_response(101.1, &moved(n))), "release a");
}

#[test]
fn a_director_with_its_clock_two_seconds_off_never_shares_a_seat() {
    // It is 2 s slow: by its clock the token runs two seconds longer than by the keeper's. Then it is cut off, and its
    // lease ends on both sides.
    for cut in [false, true] {
        let mut ledger = Ledger::new(LEASE);
        ledger.set_seats(&school(), 1);
        let mut slow = Holder::new(DirectorId(0), 7, LEASE, PATIENCE);
        let out = slow.tick(98.0);
        carry(&mut slow, &mut ledger, 100.0, out);
        let out = slow.request_seat(98.0, &school(), &id("a"), if cut { 500.0 } else { 110.0 }, 1.0);
        assert_eq!(did(&carry(&mut slow, &mut ledger, 100.0, out)), "GRANTED a");
        for tenth in 0..300 {
            let now = 100.0 + f64::from(tenth) / 10.0;
            let out = slow.tick(now - 2.0);
            if !cut {
                for o in out {
                    let Output::Send(word) = o else { continue };
                    for (_, answer) in ledger.handle_request(now, &word) {
                        slow.handle_response(now - 2.0, &answer);
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
fn a_renewal_made_while_the_keeper_is_away_keeps_its_seat_though_the_old_expiry_passed() {
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 105.0, 1.0);
    carry(&mut h, &mut ledger, 100.0, out);
    assert_eq!(did(&h.request_seat(104.0, &school(), &id("a"), 200.0, 1.0)), "claim a, GRANTED a");
    // The keeper was away for long after the old expiry; it is back before the renewal comes again.
    ledger.expire(113.0);
    assert_eq!(ledger.status(&school()).held, 1);
    let out = h.tick(113.0);
    carry(&mut h, &mut ledger, 113.0, out);
    ledger.expire(114.0);
    assert_eq!((h.held(), ledger.status(&school()).held), (1, 1));
    // Without a renewal the director ends it and says so.
    let (mut h, mut ledger) = holder(0);
    let out = h.request_seat(100.0, &school(), &id("a"), 105.0, 1.0);
    carry(&mut h, &mut ledger, 100.0, out);
    let out = h.tick(105.0);
    assert_eq!(did(&out), "beat, ENDED a Expired, release a");
    carry(&mut h, &mut ledger, 105.0, out);
    assert_eq!(ledger.status(&school()).free, 2);
}

#[test]
fn a_seat_counts_until_the_director_it_moved_from_lets_go() {
    let mut t = Table::new(1);
    t.claim(1, "a", 60.0, 1);
    // The first director stands still; the viewer plays at the second, and is done there.
    t.claim(2, "a", 60.0, 1);
    t.release(2, "a", 2);
    t.claim(2, "b", 60.0, 3);
    t.release(1, "a", 2);
    t.claim(2, "b", 60.0, 4);
    t.show(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        1: granted a by 1; 0: moved a, held by 1 | held 1 lent 0 free 0
        1: freed a by 2 | held 0 lent 0 free 0
        1: full for b, come back in 20 | held 0 lent 0 free 0
        0: freed a by 2 | held 0 lent 0 free 1
        1: granted b by 4 | held 1 lent 0 free 0"#]]);
}

#[test]
fn a_ledger_written_down_whole_is_the_same_one() {
    let mut t = Table::new(3);
    t.claim(1, "a", 60.0, 1);
    t.claim(2, "a", 60.0, 1);
    t.lend(1, 1, 2);
    t.hello(0, 9);
    let whole = t.ledger.snapshot();
    let mut again = Ledger::new(LEASE);
    whole.iter().for_each(|c| again.apply(c));
    assert_eq!(again.status(&school()), t.ledger.status(&school()));
    assert_eq!(again.holder(&school(), &id("a")), t.ledger.holder(&school(), &id("a")));
    assert_eq!(again.snapshot(), whole);
}

#[test]
fn an_answer_to_a_claim_that_was_given_up_holds_nothing() {
    let (mut h, _) = holder(0);
    let n = |out: &[Output]| match out {
        [Output::Send(KeeperRequest::Claim { n, .. }), ..] => *n,
        other => panic!("{}", did(other)),
    };
    let first = n(&h.request_seat(100.0, &school(), &id("a"), 500.0, 1.0));
    assert_eq!(did(&h.release(100.01, &school(), &id("a"))), "release a");
    let second = n(&h.request_seat(100.02, &school(), &id("a"), 500.0, 1.0));
    let granted = |n| KeeperResponse::Granted { epoch: Epoch(1), school: school(), token: id("a"), n };
    // Overtaken by its release at the keeper, which holds nothing for it.
    assert_eq!(did(&h.handle_response(100.03, &granted(first))), "");
    assert!(!h.holds(&school(), &id("a")));
    // A retry with a longer token is said to the keeper, and only that answer counts.
    let third = n(&h.request_seat(100.04, &school(), &id("a"), 900.0, 1.0));
    assert_eq!(did(&h.handle_response(100.05, &granted(second))), "");
    assert_eq!(did(&h.handle_response(100.06, &granted(third))), "GRANTED a");
}

#[test]
fn a_release_heard_after_the_claim_that_followed_it_frees_nothing() {
    let mut t = Table::new(1);
    t.claim(1, "a", 60.0, 1);
    t.claim(1, "a", 60.0, 3);
    t.release(1, "a", 2);
    // And a move names the latest claim, or its director would take it for an older one.
    t.claim(2, "a", 60.0, 1);
    t.show(expect![[r#"
        0: granted a by 1 | held 1 lent 0 free 0
        0: granted a by 3 | held 1 lent 0 free 0
        0: freed a by 2 | held 1 lent 0 free 0
        1: granted a by 1; 0: moved a, held by 3 | held 1 lent 0 free 0"#]]);
}
