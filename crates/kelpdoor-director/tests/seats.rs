//! Sessions with tokens at the desk, as short traces: the way through the keeper to a node, renewal, expiry, a seat that
//! moves, a school that is full, a keeper that is silent for longer than the viewer waits.

mod common;

use common::{Bench, book, ok, requests, roster, start, told};
use expect_test::{Expect, expect};
use kelpdoor_api::{FromPlayer, RequestKey};
use kelpdoor_director::{Effect, Input, TokenCheck};
use kelpdoor_rtsp::{Method, header_names};
use kelpdoor_seats::{DirectorId, Epoch, KeeperRequest, KeeperResponse, LeaseTerms, Ledger, School, TokenId};
use kelpdoor_tokens::Entitlement;

/// A desk with its keeper; what was said is noted.
struct Hall {
    bench: Bench,
    ledger: Ledger,
    /// Words reach the keeper, and its answers the desk.
    keeping: bool,
    lines: Vec<String>,
    next: u32,
}

impl Hall {
    fn new() -> Hall {
        let mut ledger = Ledger::new(LeaseTerms { duration: 12.0, clock_error: 1.0 });
        ledger.set_seats(&School("olaf".into()), 2);
        let mut bench = Bench::new(&book(), 1);
        let effects = bench.input(Input::Roster(roster()));
        bench.connect(&effects);
        let mut hall = Hall { bench, ledger, keeping: true, lines: Vec::new(), next: 0 };
        hall.done(effects);
        hall.wait(6.0);
        hall.lines.clear();
        hall
    }

    fn done(&mut self, effects: Vec<Effect>) {
        self.lines
            .extend(told(&effects).into_iter().map(|l| format!("{:.1} {l}", self.bench.now - common::START)));
        let mut words: Vec<KeeperRequest> = Vec::new();
        for (node, link, r) in requests(&effects) {
            match r.method {
                Method::Setup => {
                    self.next += 1;
                    let key = r.headers.get(header_names::REQUEST_KEY).unwrap_or("").to_owned();
                    self.lines.push(format!("    SETUP {key}"));
                    let id = format!("s{}", self.next);
                    let more = self.bench.says(node, link, ok(&r).with(header_names::SESSION, &id));
                    self.done(more);
                }
                Method::Teardown => {
                    self.lines
                        .push(format!("    TEARDOWN {}", r.headers.get(header_names::SESSION).unwrap_or("")));
                    let more = self.bench.says(node, link, ok(&r));
                    self.done(more);
                }
                Method::Options | Method::SetParameter => {}
                _ => {
                    let more = self.bench.says(node, link, ok(&r));
                    self.done(more);
                }
            }
        }
        for effect in effects {
            match effect {
                Effect::Keeper(word) => words.push(word),
                Effect::Fault(why) => panic!("{why}"),
                _ => {}
            }
        }
        if !self.keeping {
            return;
        }
        for word in words {
            for (_, answer) in self.ledger.handle_request(self.bench.now, &word) {
                let more = self.bench.input(Input::Keeper(answer));
                self.done(more);
            }
        }
    }

    fn wait(&mut self, seconds: f64) {
        let end = self.bench.now + seconds;
        while let Some(effects) = self.bench.wake_before(end) {
            self.done(effects);
        }
        self.bench.now = end;
    }

    fn good(&self, token: &str, lasts: f64) -> TokenCheck {
        TokenCheck::Valid(Box::new(Entitlement {
            school: School("olaf".into()),
            token: TokenId(token.into()),
            group: None,
            expires: self.bench.now + lasts,
        }))
    }

    fn start(&mut self, key: &str, check: TokenCheck) {
        let effects =
            self.bench.input(Input::PlayerWithToken { sock: 1, message: start(key, "ticket", "t1"), check });
        self.done(effects);
    }

    fn renew(&mut self, key: &str, check: TokenCheck) {
        let message = FromPlayer::Renew { key: RequestKey(key.into()), token: String::new() };
        let effects = self.bench.input(Input::PlayerWithToken { sock: 1, message, check });
        self.done(effects);
    }

    fn held(&self) -> u32 {
        self.ledger.status(&School("olaf".into())).held
    }

    fn show(&self, expected: Expect) {
        expected.assert_eq(&self.lines.join("\n"));
    }
}

#[test]
fn a_session_is_warned_renewed_and_ended_when_its_token_runs_out() {
    let mut hall = Hall::new();
    hall.start("key-00001", hall.good("a", 5.0));
    assert_eq!(hall.held(), 1);
    hall.wait(4.0);
    hall.renew("key-00001", hall.good("a", 4.0));
    hall.renew("key-00001", hall.good("b", 9.0));
    hall.renew("key-00001", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    hall.wait(6.0);
    hall.show(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        9.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}
        10.0 1 < {"key":"key-00001","lasts":4.0,"type":"renewed"}
        10.0 1 < {"code":"token_refused","key":"key-00001","message":"the token is not a renewal of the session's: its school or id is another","type":"error"}
        10.0 1 < {"code":"token_refused","key":"key-00001","message":"the token expired 3 s ago: ask for a new one","type":"error"}
        12.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}
        14.0 1 < {"key":"key-00001","type":"ended","why":"expired"}
            TEARDOWN s1"#]]);
    assert_eq!(hall.held(), 0);
}

#[test]
fn a_later_request_with_the_token_takes_the_seat_and_ends_the_earlier_one() {
    let mut hall = Hall::new();
    hall.start("key-00001", hall.good("a", 60.0));
    hall.start("key-00002", hall.good("a", 60.0));
    assert_eq!(hall.held(), 1);
    // Elsewhere, then.
    let word = KeeperRequest::Hello { director: DirectorId(9), nonce: 1 };
    let now = hall.bench.now;
    let Some((_, KeeperResponse::Welcome { epoch, .. })) = hall.ledger.handle_request(now, &word).pop()
    else {
        panic!()
    };
    let (school, token) = (School("olaf".into()), TokenId("a".into()));
    let claim =
        KeeperRequest::Claim { director: DirectorId(9), epoch, school, token, expires: now + 60.0, n: 1 };
    hall.ledger.handle_request(now, &claim);
    // The word of it is lost; it comes with a beat.
    hall.wait(4.0);
    hall.show(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        6.0 1 < {"key":"key-00001","type":"ended","why":"seat_moved"}
            TEARDOWN s1
            SETUP key-00002
        6.0 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        6.6 1 < {"key":"key-00002","type":"ended","why":"seat_moved"}
            TEARDOWN s2"#]]);
    assert_eq!((hall.held(), epoch), (1, Epoch(2)));
}

#[test]
fn a_full_school_is_busy_and_tokens_that_are_none_are_errors() {
    let mut hall = Hall::new();
    for (k, token) in ["a", "b", "c"].into_iter().enumerate() {
        hall.start(&format!("key-0000{k}"), hall.good(token, 30.0));
    }
    hall.start("key-00010", TokenCheck::Missing);
    hall.start("key-00011", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    hall.start("key-00012", TokenCheck::TooFast);
    // A retry of a request that plays is no new one, whatever became of its token.
    hall.start("key-00000", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    hall.show(expect![[r#"
            SETUP key-00000
        6.0 1 < {"key":"key-00000","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        6.0 1 < {"come_back":2.0,"key":"key-00002","type":"busy"}
        6.0 1 < {"code":"token_missing","key":"key-00010","message":"group \"ticket\" needs a token","type":"error"}
        6.0 1 < {"code":"token_refused","key":"key-00011","message":"the token expired 3 s ago: ask for a new one","type":"error"}
        6.0 1 < {"code":"too_fast","key":"key-00012","message":"too many tokens a second","type":"error"}
        6.0 1 < {"key":"key-00000","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}"#]]);
}

#[test]
fn with_a_silent_keeper_what_is_lent_is_used_and_all_are_answered_in_time() {
    let mut hall = Hall::new();
    hall.start("key-00001", hall.good("a", 30.0));
    hall.wait(4.0);
    hall.keeping = false;
    hall.start("key-00002", hall.good("b", 30.0));
    hall.start("key-00003", hall.good("c", 30.0));
    hall.wait(1.0);
    // It comes back, with a word late: nothing changes for those who were answered.
    hall.keeping = true;
    hall.wait(5.0);
    hall.show(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        10.5 1 < {"come_back":2.0,"key":"key-00003","type":"busy"}
            SETUP key-00002
        10.5 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7003/t1"}"#]]);
    assert_eq!(hall.held(), 2);
}

#[test]
fn a_lease_that_ran_out_while_we_stood_still_ends_what_it_held() {
    let mut hall = Hall::new();
    hall.start("key-00001", hall.good("a", 300.0));
    hall.keeping = false;
    hall.bench.now += 14.0;
    hall.start("key-00002", hall.good("a", 300.0));
    hall.keeping = true;
    hall.wait(5.0);
    hall.show(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        20.0 1 < {"key":"key-00001","type":"ended","why":"seat_lost"}
            TEARDOWN s1
            SETUP key-00002
        20.3 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7003/t1"}"#]]);
}

#[test]
fn a_token_that_ran_out_in_line_touches_no_session() {
    let mut hall = Hall::new();
    hall.start("key-00001", hall.good("a", 30.0));
    hall.lines.clear();
    hall.renew("key-00001", hall.good("a", -1.0));
    hall.start("key-00002", hall.good("a", -1.0));
    // Renewed often, it is still told once.
    for lasts in [31.0, 32.0, 33.0] {
        hall.renew("key-00001", hall.good("a", lasts));
    }
    assert_eq!(hall.bench.desk.counts().playing, 1);
    let timers = hall.bench.desk.counts().timers;
    hall.renew("key-00001", hall.good("a", 34.0));
    assert_eq!(hall.bench.desk.counts().timers, timers);
    hall.wait(33.0);
    hall.show(expect![[r#"
        6.0 1 < {"code":"token_refused","key":"key-00001","message":"the token has expired: ask for a new one","type":"error"}
        6.0 1 < {"code":"token_refused","key":"key-00002","message":"the token has expired: ask for a new one","type":"error"}
        6.0 1 < {"key":"key-00001","lasts":31.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":32.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":33.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":34.0,"type":"renewed"}
        38.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}"#]]);
    assert_eq!(hall.held(), 1);
}
