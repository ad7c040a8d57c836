//! Tokens and seats on sockets: directors in this process, a keeper beside them that is killed and started again, a key
//! that changes, a keeper that never answers.

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

struct Hall {
    dir: tempfile::TempDir,
    size: DaySettings,
    world: StandIns,
    token_issuer: std::sync::Arc<TokenIssuer>,
}

async fn within<T>(seconds: u64, what: impl Future<Output = T>) -> T {
    timeout(Duration::from_secs(seconds), what).await.expect("in time")
}

async fn hall() -> Hall {
    let size = DaySettings {
        directors: 2,
        nodes: 4,
        racks: 2,
        roster_lag: 0.0,
        schools: 1,
        ..DaySettings::default()
    };
    let world = StandIns::start(&size, &settings(&size, ""), Recorder::disabled()).await.expect("stand-ins");
    let dir = tempfile::tempdir().expect("a folder");
    let token_issuer = TokenIssuer::new(dir.path()).expect("a key");
    Hall { dir, size, world, token_issuer }
}

impl Hall {
    async fn keeper(&self, listen: SocketAddr, seats: u32) -> RunningKeeper {
        let options = || KeeperOptions {
            listen,
            ledger: Some(self.dir.path().join("ledger")),
            lease: LeaseTerms { duration: 14.0, clock_error: 0.5 },
            schools: vec![(School(schools::school_name(0)), seats)],
            agreed: None,
        };
        // Where it listened before, the port is free as soon as the old one has ended.
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
            self.world.roster_address,
            Path::new("/nonexistent/list"),
        );
        let deployment = Deployment::parse("test", &script).expect("good settings");
        let running =
            serve(ServeOptions { deployment, agreed: None, journal: None }).await.expect("a director");
        within(10, async {
            while running.counts().links_up < 4 {
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

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

async fn open(running: &Running) -> PlayerSocket {
    PlayerSocket::open(&Recorder::disabled(), 0, (0, running.address, 1)).await.expect("a socket")
}

async fn ask(socket: &mut PlayerSocket, key: &str, token: Option<String>) {
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

async fn hear(socket: &mut PlayerSocket, of: impl Fn(&ToPlayer) -> bool) -> ToPlayer {
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

async fn answer(socket: &mut PlayerSocket) -> ToPlayer {
    hear(socket, |m| m.is_final() || matches!(m, ToPlayer::Error { .. })).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_renewal_crosses_the_keepers_restart_and_a_directors() {
    let hall = hall().await;
    let mut keeper = hall.keeper(any(), 1).await;
    let at = keeper.address;
    let first = hall.director(0, at).await;
    let mut socket = open(&first).await;
    ask(&mut socket, "key-00001", hall.token("a", 2.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Playing { .. }));
    // The keeper is gone when the renewal comes, and back when the old expiry has passed.
    keeper.abort();
    let _ = keeper.ended().await;
    let token = hall.token("a", 20.0).expect("a token");
    socket.send(&FromPlayer::Renew { key: RequestKey("key-00001".into()), token }).await.expect("said");
    hear(&mut socket, |m| matches!(m, ToPlayer::Renewed { .. })).await;
    let keeper = hall.keeper(at, 1).await;
    let second = hall.director(1, at).await;
    let mut other = open(&second).await;
    // Whatever the keeper has heard of the renewal, no other token gets the seat.
    tokio::time::sleep(Duration::from_millis(2600)).await;
    ask(&mut other, "key-00002", hall.token("b", 20.0)).await;
    assert!(matches!(answer(&mut other).await, ToPlayer::Busy { .. }));
    // The director dies; the viewer shows a renewed token to the next one, and has its one seat there.
    first.abort();
    drop(socket);
    ask(&mut other, "key-00003", hall.token("a", 30.0)).await;
    assert!(matches!(answer(&mut other).await, ToPlayer::Playing { .. }));
    drop(keeper);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_token_at_another_director_while_the_first_answer_is_out_plays_once() {
    let hall = hall().await;
    let keeper = hall.keeper(any(), 1).await;
    let (first, second) = (hall.director(0, keeper.address).await, hall.director(1, keeper.address).await);
    let (mut a, mut b) = (open(&first).await, open(&second).await);
    ask(&mut a, "key-00001", hall.token("a", 30.0)).await;
    ask(&mut b, "key-00002", hall.token("a", 30.0)).await;
    let (one, two) = (answer(&mut a).await, answer(&mut b).await);
    // Whichever came later has the seat; the other never plays, or is ended.
    let lost = |m: &ToPlayer| matches!(m, ToPlayer::Failed { why: FailureReason::SeatMoved, .. });
    if !lost(&one) && !lost(&two) {
        let moved = |m: &ToPlayer| matches!(m, ToPlayer::Ended { why: EndReason::SeatMoved, .. });
        tokio::select! {
            m = hear(&mut a, moved) => assert!(moved(&m)),
            m = hear(&mut b, moved) => assert!(moved(&m)),
        }
    }
    // At the nodes, too, one is left.
    within(10, async {
        while hall.world.nodes.with_fleet(|f| f.streams.len()) > 1 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_changes_while_sessions_play_and_old_tokens_are_refused_with_the_reason() {
    let hall = hall().await;
    let keeper = hall.keeper(any(), 3).await;
    let director = hall.director(0, keeper.address).await;
    let mut socket = open(&director).await;
    let old = hall.token("old", 60.0);
    ask(&mut socket, "key-00001", hall.token("a", 60.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Playing { .. }));
    hall.token_issuer.next_key().expect("a key");
    hall.token_issuer.retire_old_keys().expect("written");
    // Taken up when the file is looked at next: a new token is refused until then.
    within(10, async {
        for k in 0.. {
            ask(&mut socket, &format!("key-1000{k}"), hall.token("b", 60.0)).await;
            match answer(&mut socket).await {
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
    // Room for one more look this second.
    tokio::time::sleep(Duration::from_millis(300)).await;
    ask(&mut socket, "key-00003", old).await;
    let ToPlayer::Error { code: ErrorCode::TokenRefused, message, .. } = answer(&mut socket).await else {
        panic!("an error")
    };
    assert_eq!(message, "the token's key \"key-1\" is not known: ask for a new one");
    // The one that plays has not heard of it.
    socket.send(&FromPlayer::Ping { n: 7 }).await.expect("said");
    assert!(matches!(within(5, socket.receive()).await, Some(ToPlayer::Pong { n: 7 })));
    assert_eq!(director.counts().playing, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_that_never_answers_costs_no_answer() {
    let hall = hall().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let director = hall.director(0, silent.local_addr().expect("an address")).await;
    let mut socket = open(&director).await;
    for k in 0..3 {
        let began = Instant::now();
        ask(&mut socket, &format!("key-0000{k}"), hall.token("a", 60.0)).await;
        assert!(matches!(answer(&mut socket).await, ToPlayer::Busy { come_back: Some(_), .. }));
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    }
    // Other groups hear nothing of it.
    let start = FromPlayer::Start {
        key: RequestKey("key-00009".into()),
        group: "story".into(),
        title: "title-01".into(),
        best_rung: 3,
        setup_timeout: 2.0,
        token: None,
    };
    socket.send(&start).await.expect("said");
    assert!(matches!(answer(&mut socket).await, ToPlayer::Playing { .. }));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_one_director_the_keeper_runs_inside_it_and_outlives_its_restart() {
    let hall = hall().await;
    let ledger = hall.dir.path().join("inside").display().to_string();
    let shared = settings(&hall.size, "")
        .replace(schools::KEYS_PLACEHOLDER, &hall.token_issuer.key_set_path().display().to_string())
        .replace(&format!("address = \"{}\"", schools::KEEPER_PLACEHOLDER), &format!("ledger = {ledger:?}"));
    let shared = format!("{shared}school({:?}, seats = 1)\n", schools::school_name(0));
    let script =
        director_script(&shared, &hall.size, 0, hall.world.roster_address, Path::new("/nonexistent/list"));
    let begin = async || {
        let deployment = Deployment::parse("test", &script).expect("good settings");
        let running =
            serve(ServeOptions { deployment, agreed: None, journal: None }).await.expect("a director");
        within(10, async {
            while running.counts().links_up < 4 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
        running
    };
    let mut running = begin().await;
    let mut socket = open(&running).await;
    ask(&mut socket, "key-00001", hall.token("a", 300.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Playing { .. }));
    ask(&mut socket, "key-00002", hall.token("b", 300.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Busy { .. }));
    // Ended well it gives the seat back; the ledger is the next one's.
    running.shut_down().await;
    within(10, running.ended()).await.expect("ended well");
    let running = begin().await;
    let mut socket = open(&running).await;
    ask(&mut socket, "key-00003", hall.token("b", 300.0)).await;
    let began = Instant::now();
    let said = answer(&mut socket).await;
    assert!(
        matches!(said, ToPlayer::Playing { .. }),
        "{said:?} after {:?}, {:?}",
        began.elapsed(),
        running.counts()
    );
    // Killed, its seat stands for the lease; only the viewer itself gets it before.
    running.abort();
    drop(running);
    let running = begin().await;
    let mut socket = open(&running).await;
    ask(&mut socket, "key-00004", hall.token("c", 300.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Busy { .. }));
    ask(&mut socket, "key-00005", hall.token("b", 300.0)).await;
    assert!(matches!(answer(&mut socket).await, ToPlayer::Playing { .. }));
}
