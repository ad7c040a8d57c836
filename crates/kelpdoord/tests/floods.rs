//! Peers that take more than their share: each test runs one director with 32 MB and a flooding peer on real connections, and
//! checks the director's memory and the answers of another viewer meanwhile.

mod platform;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use platform::{AUTO_ANSWERED, Harness, Viewer, finish_line};

/// The director's memory limit in its configuration.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// An answer up to half a second late still counts, and no test here lets an answer take any time of its own.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Interval of the other viewer's requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// What the other viewer got.
#[derive(Debug, Default)]
struct ProbeReport {
    served: usize,
    not_served: Vec<String>,
    worst_delay: Duration,
}

/// A viewer that requests and ends a session again and again, while another peer floods the director.
struct Probe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ProbeReport>,
}

impl Probe {
    fn start(port: u16) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = spawn(move || {
            let mut viewer = Viewer::new(port);
            let mut report = ProbeReport::default();
            for id in AUTO_ANSWERED.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let sent = Instant::now();
                viewer.start(id, "open");
                match viewer.next_message(id) {
                    Some(v) if v["verb"] == "STARTED" => report.served += 1,
                    other => report.not_served.push(format!("{other:?}")),
                }
                report.worst_delay = report.worst_delay.max(sent.elapsed());
                if !viewer.try_send(&finish_line(id)) {
                    break;
                }
                std::thread::sleep(PROBE_INTERVAL);
            }
            report
        });
        Probe { stop, thread }
    }

    fn finish(self) -> ProbeReport {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the probe ends")
    }
}

/// A director whose nodes are no longer taken for cold.
fn warm_director() -> Harness {
    let mut harness = Harness::new(1);
    Harness::elapse(1500);
    harness.barrier();
    harness
}

/// Floods the director and checks that it stays within its memory limit and answers another viewer in time.
fn check_flood(name: &str, mut harness: Harness, flood: impl FnOnce(&mut Harness)) {
    let probe = Probe::start(harness.port);
    Harness::elapse(200);
    flood(&mut harness);
    Harness::elapse(200);
    let report = probe.finish();
    let peak = harness.peak_memory_kb();
    println!(
        "{name}: served {}, worst delay {:.0} ms, peak memory {peak} kB",
        report.served,
        report.worst_delay.as_secs_f64() * 1e3
    );
    assert!(!harness.has_exited(), "{name}: the director ended\n{}", harness.log());
    assert!(report.not_served.is_empty(), "{name}: {:?}", report.not_served);
    assert!(report.worst_delay <= MAX_DELAY, "{name}: {:?}", report.worst_delay);
    assert!(peak <= MEMORY_LIMIT_KB, "{name}: {peak} kB");
}

fn connect(port: u16) -> TcpStream {
    TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("a connection")
}

/// Sends a message that never ends on one connection, as fast as the director takes it, until it ends the connection.
fn send_endless_message(port: u16, until: Instant) {
    const WRITERS: usize = 2;
    let mut stream = connect(port);
    let writers: Vec<_> = (0..WRITERS)
        .map(|_| {
            let mut stream = stream.try_clone().expect("the same");
            spawn(move || {
                let chunk = vec![b'x'; 256 << 10];
                while Instant::now() < until && stream.write_all(&chunk).is_ok() {}
            })
        })
        .collect();
    let mut buf = [0; 4096];
    while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
    writers.into_iter().for_each(|writer| writer.join().expect("the writer ends"));
}

// Guards against a connection whose input is discarded before its close, and that lets nobody else run meanwhile.
#[test]
fn clients_that_send_endless_messages_do_not_delay_others() {
    check_flood("endless messages", warm_director(), |harness| {
        let (port, until) = (harness.port, Instant::now() + Duration::from_secs(5));
        let client = move || {
            while Instant::now() < until {
                send_endless_message(port, until);
            }
        };
        let clients: Vec<_> = (0..4).map(|_| spawn(client)).collect();
        clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    });
}
