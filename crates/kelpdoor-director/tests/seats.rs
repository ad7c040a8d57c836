//! Traces of sessions with tokens in the core: from the keeper to a node, renewal, expiry, a seat that moves, a full
//! school, and a keeper that is silent for longer than the viewer waits.

mod common;

use common::{Harness, deployment, ok, player_messages, requests, roster, start};
use expect_test::{Expect, expect};
use kelpdoor_api::{FromPlayer, RequestKey};
use kelpdoor_director::{Effect, Input, TokenCheck};
use kelpdoor_rtsp::{Method, header_names};
use kelpdoor_seats::{DirectorId, Epoch, KeeperRequest, KeeperResponse, LeaseTerms, Ledger, School, TokenId};
use kelpdoor_tokens::Entitlement;

/// A core with its keeper and answering nodes; records a trace.
struct KeeperHarness {
    harness: Harness,
    ledger: Ledger,
    /// Whether requests reach the keeper and its responses reach the core.
    keeper_answers: bool,
    trace: Vec<String>,
    next_rtsp_id: u32,
}

impl KeeperHarness {
    fn new() -> KeeperHarness {
        let mut ledger = Ledger::new(LeaseTerms { duration: 12.0, clock_error: 1.0 });
        ledger.set_seats(&School("olaf".into()), 2);
        let mut harness = Harness::new(&deployment(), 1);
        let effects = harness.input(Input::Roster(roster()));
        harness.connect(&effects);
        let mut fixture =
            KeeperHarness { harness, ledger, keeper_answers: true, trace: Vec::new(), next_rtsp_id: 0 };
        fixture.handle_effects(effects);
        fixture.wait(6.0);
        fixture.trace.clear();
        fixture
    }

    fn handle_effects(&mut self, effects: Vec<Effect>) {
        self.trace.extend(
            player_messages(&effects)
                .into_iter()
                .map(|l| format!("{:.1} {l}", self.harness.now - common::START)),
        );
        let mut keeper_requests: Vec<KeeperRequest> = Vec::new();
        for (node, link, r) in requests(&effects) {
            match r.method {
                Method::Setup => {
                    self.next_rtsp_id += 1;
                    let key = r.headers.get(header_names::REQUEST_KEY).unwrap_or("").to_owned();
                    self.trace.push(format!("    SETUP {key}"));
                    let id = format!("s{}", self.next_rtsp_id);
                    let more =
                        self.harness.receive_from_node(node, link, ok(&r).with(header_names::SESSION, &id));
                    self.handle_effects(more);
                }
                Method::Teardown => {
                    self.trace
                        .push(format!("    TEARDOWN {}", r.headers.get(header_names::SESSION).unwrap_or("")));
                    let more = self.harness.receive_from_node(node, link, ok(&r));
                    self.handle_effects(more);
                }
                Method::Options | Method::SetParameter => {}
                _ => {
                    let more = self.harness.receive_from_node(node, link, ok(&r));
                    self.handle_effects(more);
                }
            }
        }
        for effect in effects {
            match effect {
                Effect::Keeper(request) => keeper_requests.push(request),
                Effect::Fault(why) => panic!("{why}"),
                _ => {}
            }
        }
        if !self.keeper_answers {
            return;
        }
        for request in keeper_requests {
            for (_, answer) in self.ledger.handle_request(self.harness.now, &request) {
                let more = self.harness.input(Input::Keeper(answer));
                self.handle_effects(more);
            }
        }
    }

    fn wait(&mut self, seconds: f64) {
        let end = self.harness.now + seconds;
        while let Some(effects) = self.harness.run_next_timer(end) {
            self.handle_effects(effects);
        }
        self.harness.now = end;
    }

    fn valid_token(&self, token: &str, lasts: f64) -> TokenCheck {
        TokenCheck::Valid(Box::new(Entitlement {
            school: School("olaf".into()),
            token: TokenId(token.into()),
            group: None,
            expires: self.harness.now + lasts,
        }))
    }

    fn start(&mut self, key: &str, check: TokenCheck) {
        let effects = self.harness.input(Input::PlayerWithToken {
            sock: 1,
            message: start(key, "ticket", "t1"),
            check,
        });
        self.handle_effects(effects);
    }

    fn renew(&mut self, key: &str, check: TokenCheck) {
        let message = FromPlayer::Renew { key: RequestKey(key.into()), token: String::new() };
        let effects = self.harness.input(Input::PlayerWithToken { sock: 1, message, check });
        self.handle_effects(effects);
    }

    fn held_seats(&self) -> u32 {
        self.ledger.status(&School("olaf".into())).held
    }

    fn assert_trace(&self, expected: Expect) {
        expected.assert_eq(&self.trace.join("\n"));
    }
}

#[test]
fn expiring_token_warns_then_renews_then_ends_session() {
    let mut fixture = KeeperHarness::new();
    fixture.start("key-00001", fixture.valid_token("a", 5.0));
    assert_eq!(fixture.held_seats(), 1);
    fixture.wait(4.0);
    fixture.renew("key-00001", fixture.valid_token("a", 4.0));
    fixture.renew("key-00001", fixture.valid_token("b", 9.0));
    fixture.renew("key-00001", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    fixture.wait(6.0);
    fixture.assert_trace(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        9.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}
        10.0 1 < {"key":"key-00001","lasts":4.0,"type":"renewed"}
        10.0 1 < {"code":"token_refused","key":"key-00001","message":"the token is not a renewal of the session's: its school or id is another","type":"error"}
        10.0 1 < {"code":"token_refused","key":"key-00001","message":"the token expired 3 s ago: ask for a new one","type":"error"}
        12.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}
        14.0 1 < {"key":"key-00001","type":"ended","why":"expired"}
            TEARDOWN s1"#]]);
    assert_eq!(fixture.held_seats(), 0);
}

#[test]
fn later_request_with_same_token_takes_seat_and_ends_earlier_session() {
    let mut fixture = KeeperHarness::new();
    fixture.start("key-00001", fixture.valid_token("a", 60.0));
    fixture.start("key-00002", fixture.valid_token("a", 60.0));
    assert_eq!(fixture.held_seats(), 1);
    // Director 9 claims the same seat.
    let request = KeeperRequest::Hello { director: DirectorId(9), nonce: 1 };
    let now = fixture.harness.now;
    let Some((_, KeeperResponse::Welcome { epoch, .. })) = fixture.ledger.handle_request(now, &request).pop()
    else {
        panic!()
    };
    let (school, token) = (School("olaf".into()), TokenId("a".into()));
    let claim =
        KeeperRequest::Claim { director: DirectorId(9), epoch, school, token, expires: now + 60.0, n: 1 };
    fixture.ledger.handle_request(now, &claim);
    // The notification of the move is lost; the next heartbeat brings it.
    fixture.wait(4.0);
    fixture.assert_trace(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        6.0 1 < {"key":"key-00001","type":"ended","why":"seat_moved"}
            TEARDOWN s1
            SETUP key-00002
        6.0 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        6.6 1 < {"key":"key-00002","type":"ended","why":"seat_moved"}
            TEARDOWN s2"#]]);
    assert_eq!((fixture.held_seats(), epoch), (1, Epoch(2)));
}

#[test]
fn full_school_is_answered_busy_and_bad_tokens_with_errors() {
    let mut fixture = KeeperHarness::new();
    for (k, token) in ["a", "b", "c"].into_iter().enumerate() {
        fixture.start(&format!("key-0000{k}"), fixture.valid_token(token, 30.0));
    }
    fixture.start("key-00010", TokenCheck::Missing);
    fixture.start("key-00011", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    fixture.start("key-00012", TokenCheck::TooFast);
    // A retry of a playing request is not a new request, even if its token is refused now.
    fixture.start("key-00000", TokenCheck::Refused("the token expired 3 s ago: ask for a new one".into()));
    fixture.assert_trace(expect![[r#"
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
fn silent_keeper_leased_seats_are_used_and_all_requests_answered_in_time() {
    let mut fixture = KeeperHarness::new();
    fixture.start("key-00001", fixture.valid_token("a", 30.0));
    fixture.wait(4.0);
    fixture.keeper_answers = false;
    fixture.start("key-00002", fixture.valid_token("b", 30.0));
    fixture.start("key-00003", fixture.valid_token("c", 30.0));
    fixture.wait(1.0);
    // The keeper returns and answers late requests: answered sessions do not change.
    fixture.keeper_answers = true;
    fixture.wait(5.0);
    fixture.assert_trace(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        10.5 1 < {"come_back":2.0,"key":"key-00003","type":"busy"}
            SETUP key-00002
        10.5 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7003/t1"}"#]]);
    assert_eq!(fixture.held_seats(), 2);
}

#[test]
fn lease_expired_during_pause_ends_its_sessions() {
    let mut fixture = KeeperHarness::new();
    fixture.start("key-00001", fixture.valid_token("a", 300.0));
    fixture.keeper_answers = false;
    fixture.harness.now += 14.0;
    fixture.start("key-00002", fixture.valid_token("a", 300.0));
    fixture.keeper_answers = true;
    fixture.wait(5.0);
    fixture.assert_trace(expect![[r#"
            SETUP key-00001
        6.0 1 < {"key":"key-00001","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7001/t1"}
        20.0 1 < {"key":"key-00001","type":"ended","why":"seat_lost"}
            TEARDOWN s1
            SETUP key-00002
        20.3 1 < {"key":"key-00002","resume_for":5.0,"rung":1,"type":"playing","uri":"rtsp://127.0.0.1:7003/t1"}"#]]);
}

#[test]
fn token_expired_in_queue_affects_no_session() {
    let mut fixture = KeeperHarness::new();
    fixture.start("key-00001", fixture.valid_token("a", 30.0));
    fixture.trace.clear();
    fixture.renew("key-00001", fixture.valid_token("a", -1.0));
    fixture.start("key-00002", fixture.valid_token("a", -1.0));
    // However often the token is renewed, the player is warned once.
    for lasts in [31.0, 32.0, 33.0] {
        fixture.renew("key-00001", fixture.valid_token("a", lasts));
    }
    assert_eq!(fixture.harness.core.counts().playing, 1);
    let timers = fixture.harness.core.counts().timers;
    fixture.renew("key-00001", fixture.valid_token("a", 34.0));
    assert_eq!(fixture.harness.core.counts().timers, timers);
    fixture.wait(33.0);
    fixture.assert_trace(expect![[r#"
        6.0 1 < {"code":"token_refused","key":"key-00001","message":"the token has expired: ask for a new one","type":"error"}
        6.0 1 < {"code":"token_refused","key":"key-00002","message":"the token has expired: ask for a new one","type":"error"}
        6.0 1 < {"key":"key-00001","lasts":31.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":32.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":33.0,"type":"renewed"}
        6.0 1 < {"key":"key-00001","lasts":34.0,"type":"renewed"}
        38.0 1 < {"after":1.9999989999923855,"key":"key-00001","type":"expiring"}"#]]);
    assert_eq!(fixture.held_seats(), 1);
}
