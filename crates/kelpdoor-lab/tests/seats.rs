//! Tests of tokens and seats over sockets, with directors and keeper in this process: the keeper restarts, the signing key
//! changes, and the keeper never answers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kelpdoor_api::{EndReason, ErrorCode, FailureReason, FromPlayer, RequestKey, ToPlayer};
use kelpdoor_director::{Running, ServeOptions, serve};
use kelpdoor_keeper::{KeeperOptions, RunningKeeper, start};
use kelpdoor_lab::fleet::{StandIns, director_script, settings};
use kelpdoor_lab::player::PlayerSocket;
use kelpdoor_lab::record::Recorder;
use kelpdoor_lab::schools::{self, TokenIssuer};
use kelpdoor_lab::trouble::DaySettings;
use kelpdoor_script::Deployment;
use kelpdoor_seats::{LeaseTerms, School};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

struct Lab {
    dir: tempfile::TempDir,
    size: DaySettings,
    stand_ins: StandIns,
    token_issuer: std::sync::Arc<TokenIssuer>,
}

async fn within<T>(seconds: u64, what: impl Future<Output = T>) -> T {
    timeout(Duration::from_secs(seconds), what).await.expect("in time")
}

async fn start_lab() -> Lab {
    let size = DaySettings {
        directors: 2,
        nodes: 4,
        racks: 2,
        roster_lag: 0.0,
        schools: 1,
        ..DaySettings::default()
    };
    let stand_ins =
        StandIns::start(&size, &settings(&size, ""), Recorder::disabled()).await.expect("stand-ins");
    let dir = tempfile::tempdir().expect("a folder");
    let token_issuer = TokenIssuer::new(dir.path()).expect("a key");
    Lab { dir, size, stand_ins, token_issuer }
}

impl Lab {
    async fn keeper(&self, listen: SocketAddr, seats: u32) -> RunningKeeper {
        let options = || KeeperOptions {
            listen,
            ledger: Some(self.dir.path().join("ledger")),
            lease: LeaseTerms { duration: 14.0, clock_error: 0.5 },
            schools: vec![(School(schools::school_name(0)), seats)],
            agreed: None,
        };
        // After a restart the port is free only once the old keeper has ended.
        within(10, async {
            loop {
                match start(options()).await {
                    Ok(keeper) => return keeper,
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
        })
        .await
    }

    async fn director(&self, me: u32, keeper: SocketAddr) -> Running {
        let shared = settings(&self.size, "")
            .replace(schools::KEYS_PLACEHOLDER, &self.token_issuer.key_set_path().display().to_string())
            .replace(schools::KEEPER_PLACEHOLDER, &keeper.to_string());
        let script = director_script(
            &shared,
            &self.size,
            me,
            self.stand_ins.roster_address,
            Path::new("/nonexistent/list"),
        );
        let deployment = Deployment::parse("test", &script).expect("good settings");
        let running =
            serve(ServeOptions { deployment, agreed: None, journal: None }).await.expect("a director");
        within(10, async {
            while running.counts().connected_links < 4 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
        running
    }

    fn token(&self, id: &str, lasts: f64) -> Option<String> {
        Some(self.token_issuer.token(&schools::school_name(0), id, lasts).expect("a token"))
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

async fn open(running: &Running) -> PlayerSocket {
    PlayerSocket::open(&Recorder::disabled(), 0, (0, running.address, 1)).await.expect("a socket")
}

async fn request(socket: &mut PlayerSocket, key: &str, token: Option<String>) {
    let start = FromPlayer::Start {
        key: RequestKey(key.into()),
        group: "ticket".into(),
        title: "title-01".into(),
        best_rung: 3,
        setup_timeout: 2.0,
        token,
    };
    socket.send(&start).await.expect("said");
}

async fn receive_matching(socket: &mut PlayerSocket, of: impl Fn(&ToPlayer) -> bool) -> ToPlayer {
    within(15, async {
        loop {
            let m = socket.receive().await.expect("an open socket");
            if of(&m) {
                return m;
            }
        }
    })
    .await
}

async fn final_answer(socket: &mut PlayerSocket) -> ToPlayer {
    receive_matching(socket, |m| m.is_final() || matches!(m, ToPlayer::Error { .. })).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn renewed_seat_survives_restart_of_keeper_and_death_of_director() {
    let lab = start_lab().await;
    let mut keeper = lab.keeper(any_port(), 1).await;
    let at = keeper.address;
    let first = lab.director(0, at).await;
    let mut socket = open(&first).await;
    request(&mut socket, "key-00001", lab.token("a", 2.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Playing { .. }));
    // The keeper is down when the renewal comes, and up again after the old expiry.
    keeper.abort();
    let _ = keeper.ended().await;
    let token = lab.token("a", 20.0).expect("a token");
    socket.send(&FromPlayer::Renew { key: RequestKey("key-00001".into()), token }).await.expect("said");
    receive_matching(&mut socket, |m| matches!(m, ToPlayer::Renewed { .. })).await;
    let keeper = lab.keeper(at, 1).await;
    let second = lab.director(1, at).await;
    let mut other = open(&second).await;
    // No other token gets the seat, whether or not the keeper knows of the renewal yet.
    tokio::time::sleep(Duration::from_millis(2600)).await;
    request(&mut other, "key-00002", lab.token("b", 20.0)).await;
    assert!(matches!(final_answer(&mut other).await, ToPlayer::Busy { .. }));
    // The director dies. The viewer shows a renewed token to the other one and keeps its seat there.
    first.abort();
    drop(socket);
    request(&mut other, "key-00003", lab.token("a", 30.0)).await;
    assert!(matches!(final_answer(&mut other).await, ToPlayer::Playing { .. }));
    drop(keeper);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_token_at_two_directors_at_once_plays_once() {
    let lab = start_lab().await;
    let keeper = lab.keeper(any_port(), 1).await;
    let (first, second) = (lab.director(0, keeper.address).await, lab.director(1, keeper.address).await);
    let (mut a, mut b) = (open(&first).await, open(&second).await);
    request(&mut a, "key-00001", lab.token("a", 30.0)).await;
    request(&mut b, "key-00002", lab.token("a", 30.0)).await;
    let (one, two) = (final_answer(&mut a).await, final_answer(&mut b).await);
    // The later request gets the seat. The other one fails or its session is ended.
    let lost = |m: &ToPlayer| matches!(m, ToPlayer::Failed { why: FailureReason::SeatMoved, .. });
    if !lost(&one) && !lost(&two) {
        let moved = |m: &ToPlayer| matches!(m, ToPlayer::Ended { why: EndReason::SeatMoved, .. });
        tokio::select! {
            m = receive_matching(&mut a, moved) => assert!(moved(&m)),
            m = receive_matching(&mut b, moved) => assert!(moved(&m)),
        }
    }
    // The nodes hold one stream, too.
    within(10, async {
        while lab.stand_ins.nodes.with_fleet(|f| f.streams.len()) > 1 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn token_of_removed_key_is_refused_with_reason_while_sessions_play() {
    let lab = start_lab().await;
    let keeper = lab.keeper(any_port(), 3).await;
    let director = lab.director(0, keeper.address).await;
    let mut socket = open(&director).await;
    let old = lab.token("old", 60.0);
    request(&mut socket, "key-00001", lab.token("a", 60.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Playing { .. }));
    lab.token_issuer.next_key().expect("a key");
    lab.token_issuer.retire_old_keys().expect("written");
    // The director reads the key set again after a while; new tokens are refused until then.
    within(10, async {
        for k in 0.. {
            request(&mut socket, &format!("key-1000{k}"), lab.token("b", 60.0)).await;
            match final_answer(&mut socket).await {
                ToPlayer::Playing { .. } => return,
                ToPlayer::Error { code, .. } => {
                    assert!(matches!(code, ErrorCode::TokenRefused | ErrorCode::TooFast), "{code:?}");
                }
                other => panic!("{other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    })
    .await;
    // Wait until the limit of token checks a second allows another one.
    tokio::time::sleep(Duration::from_millis(300)).await;
    request(&mut socket, "key-00003", old).await;
    let ToPlayer::Error { code: ErrorCode::TokenRefused, message, .. } = final_answer(&mut socket).await
    else {
        panic!("an error")
    };
    assert_eq!(message, "the token's key \"key-1\" is not known: ask for a new one");
    // The sessions that play are not affected.
    socket.send(&FromPlayer::Ping { n: 7 }).await.expect("said");
    assert!(matches!(within(5, socket.receive()).await, Some(ToPlayer::Pong { n: 7 })));
    assert_eq!(director.counts().playing, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_that_never_answers_leaves_busy_reply_in_time() {
    let lab = start_lab().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let director = lab.director(0, silent.local_addr().expect("an address")).await;
    let mut socket = open(&director).await;
    for k in 0..3 {
        let began = Instant::now();
        request(&mut socket, &format!("key-0000{k}"), lab.token("a", 60.0)).await;
        assert!(matches!(final_answer(&mut socket).await, ToPlayer::Busy { come_back: Some(_), .. }));
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    }
    // Other groups are not affected.
    let start = FromPlayer::Start {
        key: RequestKey("key-00009".into()),
        group: "story".into(),
        title: "title-01".into(),
        best_rung: 3,
        setup_timeout: 2.0,
        token: None,
    };
    socket.send(&start).await.expect("said");
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Playing { .. }));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeper_inside_director_keeps_seats_over_restart() {
    let lab = start_lab().await;
    let ledger = lab.dir.path().join("inside").display().to_string();
    let shared = settings(&lab.size, "")
        .replace(schools::KEYS_PLACEHOLDER, &lab.token_issuer.key_set_path().display().to_string())
        .replace(&format!("address = \"{}\"", schools::KEEPER_PLACEHOLDER), &format!("ledger = {ledger:?}"));
    let shared = format!("{shared}school({:?}, seats = 1)\n", schools::school_name(0));
    let script =
        director_script(&shared, &lab.size, 0, lab.stand_ins.roster_address, Path::new("/nonexistent/list"));
    let start_director = async || {
        let deployment = Deployment::parse("test", &script).expect("good settings");
        let running =
            serve(ServeOptions { deployment, agreed: None, journal: None }).await.expect("a director");
        within(10, async {
            while running.counts().connected_links < 4 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
        running
    };
    let mut running = start_director().await;
    let mut socket = open(&running).await;
    request(&mut socket, "key-00001", lab.token("a", 300.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Playing { .. }));
    request(&mut socket, "key-00002", lab.token("b", 300.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Busy { .. }));
    // A director that shuts down gives the seat back; the next one uses the same ledger.
    running.shut_down().await;
    within(10, running.ended()).await.expect("ended well");
    let running = start_director().await;
    let mut socket = open(&running).await;
    request(&mut socket, "key-00003", lab.token("b", 300.0)).await;
    let began = Instant::now();
    let answer = final_answer(&mut socket).await;
    assert!(
        matches!(answer, ToPlayer::Playing { .. }),
        "{answer:?} after {:?}, {:?}",
        began.elapsed(),
        running.counts()
    );
    // After a kill the seat stays held for the lease; only the same viewer gets it before that.
    running.abort();
    drop(running);
    let running = start_director().await;
    let mut socket = open(&running).await;
    request(&mut socket, "key-00004", lab.token("c", 300.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Busy { .. }));
    request(&mut socket, "key-00005", lab.token("b", 300.0)).await;
    assert!(matches!(final_answer(&mut socket).await, ToPlayer::Playing { .. }));
}
