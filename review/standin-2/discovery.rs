//! Discovery that is slow.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::common::*;

/// Time that a slow change log takes to answer a request; where a list is asked for, BENCH-kelpdoor.md lets a call take 2 s.
const SLOW: Duration = Duration::from_millis(1800);
/// s; when an event counts as told at the latest after it is in the log, by the most generous reading of the pages (4 s
/// after the change log falls silent), plus `drainGraceMs` of the settings, plus 50 ms.
const LATEST_SETUP: f64 = 4.0 + 1.0 + 0.05;
/// s; how long set-ups are watched after the event.
const WATCHED: f64 = 40.0;

/// A media node drains while discovery takes 1.8 s to answer a request.
pub fn slow_discovery(record: &Path) -> ! {
    let slow = if trouble() { SLOW } else { Duration::ZERO };
    let w = world(record, 3, ms(60), slow);
    let viewer = Viewer::connect(w.director.address, "a", &w.record);
    let began = Instant::now();
    let (mut n, mut drained_at) = (0, None);
    while drained_at.is_none_or(|at| w.record.now() < at + WATCHED) {
        if drained_at.is_none() && began.elapsed() >= ms(5000) {
            drained_at = Some(w.change_log.add(&[host(&w.nodes[0], "draining")]));
        }
        n += 1;
        viewer.start(&id(n), "lecture", 3000, w.nodes.len());
        sleep(ms(200));
        // Sessions of 3 s, so that the media nodes are never full.
        w.nodes.iter().for_each(|node| node.end_older_than(ms(3000)));
    }
    let drained_at = drained_at.unwrap_or_default();
    let late: Vec<Setup> =
        w.nodes[0].setups().into_iter().filter(|s| s.at > drained_at + LATEST_SETUP).collect();
    let before = w.nodes[0].setups().iter().filter(|s| s.at <= drained_at).count();
    let broken: Vec<String> = late
        .iter()
        .map(|s| {
            format!(
                "SETUP {} reached node 0 {:.3} s after the change log had its drain",
                s.id,
                s.at - drained_at
            )
        })
        .collect();
    w.record.line(&format!(
        "SETUPs to node 0: {before} before its drain, {} later than told and grace",
        late.len()
    ));
    let others =
        w.nodes[1..].iter().flat_map(Node::setups).filter(|s| s.at > drained_at + LATEST_SETUP).count();
    w.verdict(&broken, before > 0 && others > 0)
}
