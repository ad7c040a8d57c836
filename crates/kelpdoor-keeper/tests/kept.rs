//! The ledger's log truncated and corrupted at every byte; the keeper aborted between writing and responding, sent invalid
//! lines, and with a reduced number of seats.

use std::path::Path;
use std::time::Duration;

use kelpdoor_clock::BootClock;
use kelpdoor_keeper::{
    AgreedSchools, KeeperClientMessage, KeeperOptions, KeeperServerMessage, Log, RunningKeeper,
    SchoolSeatCounts, SchoolSeats, start,
};
use kelpdoor_seats::{
    Change, DirectorId, Epoch, KeeperRequest, KeeperResponse, LeaseTerms, Ledger, School, TokenId,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::timeout;

const LEASE: LeaseTerms = LeaseTerms { duration: 60.0, clock_error: 1.0 };

fn school() -> School {
    School("olaf".into())
}

fn some_changes() -> Vec<Vec<Change>> {
    let mut ledger = Ledger::new(LEASE);
    ledger.set_seats(&school(), 2);
    let mut all = vec![ledger.take_changes()];
    let director = DirectorId(0);
    ledger.handle_request(1.0, &KeeperRequest::Hello { director, nonce: 5 });
    all.push(ledger.take_changes());
    for n in 1..4 {
        let (school, token) = (school(), TokenId(format!("t{n}")));
        ledger.handle_request(
            1.0,
            &KeeperRequest::Claim { director, epoch: Epoch(1), school, token, expires: 9.0, n },
        );
        all.push(ledger.take_changes());
    }
    all.retain(|c| !c.is_empty());
    all
}

#[test]
fn truncated_log_keeps_complete_records_and_corrupted_byte_is_reported() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("ledger");
    let parts = some_changes();
    let mut ends = vec![];
    let mut log = Log::open(&path).expect("a new log").log;
    for part in &parts {
        log.append(part).expect("written");
        ends.push(log.bytes() as usize);
    }
    drop(log);
    let good = std::fs::read(&path).expect("readable");
    for cut in 0..good.len() {
        std::fs::write(&path, &good[..cut]).expect("written");
        let whole = ends.iter().filter(|e| **e <= cut).count();
        let opened = Log::open(&path).unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        assert_eq!(opened.changes, parts[..whole].concat(), "cut at {cut}");
        // The log can be appended to.
        let mut log = opened.log;
        log.append(&parts[0]).expect("written");
        let again = Log::open(&path).expect("good").changes;
        assert_eq!(again.len(), parts[..whole].concat().len() + parts[0].len(), "cut at {cut}");
    }
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x10;
        std::fs::write(&path, &bad).expect("written");
        let error =
            Log::open(&path).err().unwrap_or_else(|| panic!("corruption of byte {at} is not detected"));
        assert!(error.to_string().contains("ledger"), "{error}");
        assert_eq!(std::fs::read(&path).expect("readable"), bad, "a corrupted file is not changed");
    }
}

#[test]
fn rewritten_log_has_the_same_content_and_is_smaller() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("ledger");
    let mut ledger = Ledger::new(LEASE);
    let mut log = Log::open(&path).expect("a new log").log;
    ledger.set_seats(&school(), 50);
    let director = DirectorId(0);
    ledger.handle_request(1.0, &KeeperRequest::Hello { director, nonce: 5 });
    for n in 0..400 {
        let (school, token, epoch) = (school(), TokenId(format!("t{}", n % 40)), Epoch(1));
        ledger.handle_request(
            1.0,
            &KeeperRequest::Claim { director, epoch, school, token, expires: 9.0 + n as f64, n },
        );
        log.append(&ledger.take_changes()).expect("written");
    }
    let before = log.bytes();
    log.rewrite(&ledger.snapshot()).expect("rewritten");
    log.append(&[]).expect("appended");
    assert!(log.bytes() * 4 < before, "{} of {before}", log.bytes());
    let mut again = Ledger::new(LEASE);
    Log::open(&path).expect("good").changes.iter().for_each(|c| again.apply(c));
    assert_eq!(again.snapshot(), ledger.snapshot());
}

struct Director {
    lines: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
}

async fn within_limit<T>(future: impl Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), future).await.expect("in time")
}

impl Director {
    async fn connect(keeper: &RunningKeeper) -> Director {
        let (read, write) = TcpStream::connect(keeper.address).await.expect("connected").into_split();
        Director { lines: BufReader::new(read).lines(), write }
    }

    async fn send(&mut self, message: &KeeperClientMessage) {
        let mut text = serde_json::to_vec(message).expect("plain data");
        text.push(b'\n');
        self.write.write_all(&text).await.expect("written");
    }

    async fn receive(&mut self) -> KeeperServerMessage {
        let line = within_limit(self.lines.next_line()).await.expect("readable").expect("a line");
        serde_json::from_str(&line).expect("an answer")
    }

    async fn request(&mut self, request: KeeperRequest) -> KeeperResponse {
        self.send(&KeeperClientMessage::Request(request)).await;
        match self.receive().await {
            KeeperServerMessage::Response(response) => response,
            other => panic!("{other:?}"),
        }
    }

    async fn status(&mut self) -> SchoolSeatCounts {
        self.send(&KeeperClientMessage::Status).await;
        match self.receive().await {
            KeeperServerMessage::Status { mut schools, .. } => schools.remove(0),
            other => panic!("{other:?}"),
        }
    }
}

async fn start_keeper(ledger: &Path, seats: u32) -> RunningKeeper {
    start_keeper_with(ledger, vec![(school(), seats)], None).await
}

async fn start_keeper_with(
    ledger: &Path, schools: Vec<(School, u32)>, agreed: Option<AgreedSchools>,
) -> RunningKeeper {
    let options = KeeperOptions {
        listen: "127.0.0.1:0".parse().expect("an address"),
        ledger: Some(ledger.to_owned()),
        lease: LEASE,
        schools,
        agreed,
    };
    start(options).await.expect("a keeper")
}

fn claim(token: &str, n: u64) -> KeeperRequest {
    let expires = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let expires = expires.as_secs_f64() + 100.0;
    let token = TokenId(token.into());
    KeeperRequest::Claim { director: DirectorId(4), epoch: Epoch(1), school: school(), token, expires, n }
}

#[tokio::test]
async fn abort_between_write_and_response_counts_the_seat_once() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("ledger");
    let mut first = start_keeper(&path, 1).await;
    let mut d = Director::connect(&first).await;
    let hello = KeeperRequest::Hello { director: DirectorId(4), nonce: 9 };
    assert_eq!(d.request(hello.clone()).await, KeeperResponse::Welcome { nonce: 9, epoch: Epoch(1) });
    let before = std::fs::metadata(&path).expect("a ledger").len();
    d.send(&KeeperClientMessage::Request(claim("a", 1))).await;
    // The keeper is aborted as soon as the claim is on disk, whether or not it has sent the response.
    within_limit(async {
        while std::fs::metadata(&path).expect("a ledger").len() == before {
            tokio::task::yield_now().await;
        }
    })
    .await;
    first.abort();
    assert!(first.ended().await.is_err());
    let second = start_keeper(&path, 1).await;
    let mut d = Director::connect(&second).await;
    // The same nonce keeps the director's epoch, the same claim keeps its seat, and another claim gets none.
    assert_eq!(d.request(hello).await, KeeperResponse::Welcome { nonce: 9, epoch: Epoch(1) });
    assert!(matches!(d.request(claim("a", 1)).await, KeeperResponse::Granted { .. }));
    assert!(matches!(d.request(claim("b", 2)).await, KeeperResponse::Full { .. }));
    let s = d.status().await;
    assert_eq!((s.bought, s.held, s.free), (1, 1, 0));
}

#[tokio::test]
async fn invalid_line_closes_only_its_connection_and_seats_can_be_reduced() {
    let dir = tempfile::tempdir().expect("a folder");
    let keeper = start_keeper(&dir.path().join("ledger"), 2).await;
    let mut good = Director::connect(&keeper).await;
    good.request(KeeperRequest::Hello { director: DirectorId(4), nonce: 9 }).await;
    for bad in ["what?\n".to_owned(), "x".repeat(5000)] {
        let mut other = Director::connect(&keeper).await;
        other.write.write_all(bad.as_bytes()).await.expect("written");
        assert!(matches!(other.receive().await, KeeperServerMessage::Error(_)));
        assert!(within_limit(other.lines.next_line()).await.is_ok_and(|l| l.is_none()));
    }
    for (n, token) in ["a", "b"].into_iter().enumerate() {
        assert!(matches!(good.request(claim(token, n as u64 + 1)).await, KeeperResponse::Granted { .. }));
    }
    keeper.set_schools(vec![(school(), 1), (School("ida".into()), 3)]).await;
    let s = good.status().await;
    assert_eq!(s.school, "ida");
    assert!(matches!(good.request(claim("c", 3)).await, KeeperResponse::Full { .. }));
    assert!(matches!(good.request(claim("a", 4)).await, KeeperResponse::Granted { .. }));
}

#[tokio::test]
async fn agreed_seats_are_granted_only_under_a_lease_checked_with_each_claim() {
    let dir = tempfile::tempdir().expect("a folder");
    let clock = BootClock::new(1.0);
    let (tell, seats) = watch::channel(SchoolSeats::unknown());
    let agreed = Some(AgreedSchools { seats, clock });
    let keeper = start_keeper_with(&dir.path().join("ledger"), Vec::new(), agreed).await;
    let mut d = Director::connect(&keeper).await;
    d.request(KeeperRequest::Hello { director: DirectorId(4), nonce: 9 }).await;
    let now = clock.now();
    // No version known; lease not started; valid lease; expired lease, as after a pause; valid lease of a newer version.
    let leases = [
        None,
        Some((now + 900.0, now + 999.0, 5)),
        Some((now, now + 999.0, 2)),
        Some((now, now, 2)),
        Some((now, now + 999.0, 3)),
    ];
    let mut results = String::new();
    for (k, lease) in leases.into_iter().enumerate() {
        if let Some((from, until, seats)) = lease {
            tell.send_replace(SchoolSeats {
                schools: vec![(school(), seats)],
                label: k.to_string(),
                from,
                until,
            });
        }
        for token in ["a", "b"] {
            let granted = matches!(
                d.request(claim(&format!("{token}{k}"), results.len() as u64 + 1)).await,
                KeeperResponse::Granted { .. }
            );
            results += if granted { "granted " } else { "full " };
        }
    }
    // A held seat stays held.
    assert!(matches!(d.request(claim("a2", 999)).await, KeeperResponse::Granted { .. }));
    expect_test::expect!["full full full full granted granted full full granted full "].assert_eq(&results);
}
