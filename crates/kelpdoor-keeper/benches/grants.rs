//! Throughput of the keeper's log, of `redb` and of the keeper on a socket, in grants per second with 1, 16 and 256
//! grants per write to disk (on the socket: claims in flight); and the time to recover the ledger from its log, with
//! its history and compacted. Run with `cargo bench -p kelpdoor-keeper`.

use std::path::Path;
use std::time::Instant;

use kelpdoor_keeper::{KeeperClientMessage, KeeperOptions, Log, start};
use kelpdoor_seats::{Change, DirectorId, Epoch, KeeperRequest, LeaseTerms, Ledger, School, TokenId};
use redb::{Database, TableDefinition};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

const LEASE: LeaseTerms = LeaseTerms { duration: 3600.0, clock_error: 1.0 };
const SEATS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("seats");

fn held(n: u64) -> Change {
    Change::Held {
        school: School(format!("school-{:03}", n % 200)),
        token: TokenId(format!("token-{n:08}")),
        director: DirectorId((n % 3) as u32),
        epoch: Epoch(1 + n % 3),
        expires: 1_800_000_000.5,
        n,
        at: 1_799_999_000.25,
    }
}

/// Grants per second of the keeper's log, with `batch` grants per synced write.
fn by_log(path: &Path, batch: u64, writes: u64) -> f64 {
    let mut log = Log::open(path).expect("a log").log;
    let began = Instant::now();
    for k in 0..writes {
        let changes: Vec<Change> = (0..batch).map(|n| held(k * batch + n)).collect();
        log.append(&changes).expect("written");
    }
    (writes * batch) as f64 / began.elapsed().as_secs_f64()
}

/// Grants per second of `redb`, with `batch` grants per transaction.
fn by_redb(path: &Path, batch: u64, writes: u64) -> f64 {
    let db = Database::create(path).expect("a database");
    let began = Instant::now();
    for k in 0..writes {
        let write = db.begin_write().expect("a transaction");
        {
            let mut table = write.open_table(SEATS).expect("a table");
            for n in 0..batch {
                let change = held(k * batch + n);
                let Change::Held { school, token, .. } = &change else { continue };
                let key = format!("{}/{}", school.0, token.0);
                table.insert(&*key, &*serde_json::to_vec(&change).expect("plain")).expect("inserted");
            }
        }
        write.commit().expect("committed");
    }
    (writes * batch) as f64 / began.elapsed().as_secs_f64()
}

/// Grants per second of a keeper on a socket, with at most `out` claims in flight.
async fn on_sockets(path: &Path, out: u64, grants: u64) -> f64 {
    let options = KeeperOptions {
        listen: "127.0.0.1:0".parse().expect("an address"),
        ledger: Some(path.to_owned()),
        lease: LEASE,
        schools: vec![(School("olaf".into()), 1_000_000)],
        agreed: None,
    };
    let keeper = start(options).await.expect("a keeper");
    let (read, mut write) = TcpStream::connect(keeper.address).await.expect("connected").into_split();
    let mut lines = BufReader::new(read).lines();
    let line = |request| {
        let mut text = serde_json::to_vec(&KeeperClientMessage::Request(request)).expect("plain");
        text.push(b'\n');
        text
    };
    let director = DirectorId(0);
    write.write_all(&line(KeeperRequest::Hello { director, nonce: 1 })).await.expect("written");
    lines.next_line().await.expect("readable").expect("welcome");
    let claim = |n: u64| {
        let (school, token) = (School("olaf".into()), TokenId(format!("token-{n:08}")));
        line(KeeperRequest::Claim { director, epoch: Epoch(1), school, token, expires: 4e9, n })
    };
    let began = Instant::now();
    let mut sent = out.min(grants);
    write.write_all(&(0..sent).flat_map(claim).collect::<Vec<u8>>()).await.expect("written");
    for got in 1..=grants {
        lines.next_line().await.expect("readable").expect("an answer");
        if sent < grants && sent - got < out {
            write.write_all(&claim(sent)).await.expect("written");
            sent += 1;
        }
    }
    grants as f64 / began.elapsed().as_secs_f64()
}

/// Writes a log of `seats` seats and reads it back. Returns the bytes of the log and the seconds to recover from it,
/// first with its history, then compacted.
fn recovery(dir: &Path, seats: u64) -> (u64, f64, u64, f64) {
    let path = dir.join(format!("recover-{seats}"));
    let mut log = Log::open(&path).expect("a log").log;
    let mut changes = vec![];
    for d in 0..3 {
        changes.push(Change::Epoch {
            director: DirectorId(d),
            nonce: 1,
            epoch: Epoch(1 + u64::from(d)),
            at: 1.0,
        });
    }
    changes.extend((0..seats).map(held));
    // Each seat is claimed, released and claimed again, in writes of 20 changes.
    let freed = changes.iter().filter_map(|c| match c {
        Change::Held { school, token, .. } => {
            Some(Change::Freed { school: school.clone(), token: token.clone() })
        }
        _ => None,
    });
    let all: Vec<Change> = changes.iter().cloned().chain(freed).chain(changes.iter().cloned()).collect();
    for part in all.chunks(20) {
        log.append(part).expect("written");
    }
    let read = |path: &Path| {
        let began = Instant::now();
        let opened = Log::open(path).expect("good");
        let mut ledger = Ledger::new(LEASE);
        opened.changes.iter().for_each(|c| ledger.apply(c));
        (began.elapsed().as_secs_f64(), ledger, opened.log)
    };
    let (full_seconds, ledger, mut log) = read(&path);
    let bytes = log.bytes();
    log.rewrite(&ledger.snapshot()).expect("rewritten");
    let (compacted_seconds, _, log) = read(&path);
    (bytes, full_seconds, log.bytes(), compacted_seconds)
}

fn main() {
    let dir = tempfile::tempdir().expect("a folder");
    println!("grants per second, each synced to disk before its answer");
    println!("{:>22} {:>10} {:>10} {:>10}", "grants per write", "1", "16", "256");
    let runs = [(1, 400), (16, 200), (256, 60)];
    let log: Vec<f64> =
        runs.iter().map(|(b, w)| by_log(&dir.path().join(format!("log-{b}")), *b, *w)).collect();
    let redb: Vec<f64> =
        runs.iter().map(|(b, w)| by_redb(&dir.path().join(format!("redb-{b}")), *b, *w)).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let sockets: Vec<f64> = [(1, 400), (16, 3200), (256, 15_000)]
        .iter()
        .map(|(out, n)| runtime.block_on(on_sockets(&dir.path().join(format!("keeper-{out}")), *out, *n)))
        .collect();
    for (name, row) in [("log", &log), ("redb", &redb), ("keeper, in flight", &sockets)] {
        println!("{name:>22} {:>10.0} {:>10.0} {:>10.0}", row[0], row[1], row[2]);
    }
    println!("recovery by seats held: log with three changes per seat, then compacted");
    for seats in [1_000, 10_000, 100_000] {
        let (bytes, full_seconds, compacted_bytes, compacted_seconds) = recovery(dir.path(), seats);
        let (full_mb, compacted_mb) = (bytes as f64 / 1e6, compacted_bytes as f64 / 1e6);
        let (full_ms, compacted_ms) = (full_seconds * 1e3, compacted_seconds * 1e3);
        println!(
            "{seats:>10} {full_mb:>8.1} MB {full_ms:>8.1} ms {compacted_mb:>8.1} MB {compacted_ms:>8.1} ms"
        );
    }
}
