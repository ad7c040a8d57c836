//! Ends of sessions.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::common::*;

/// s; "released towards its client within 1 s of the release by the media node .., or, if no release could be sent,
/// within 8 s of its end", plus 50 ms.
const LATEST_RELEASE: f64 = 8.05;
const WATCHED: Duration = Duration::from_secs(20);

/// The connection on which a session was set up ends while it rests. The session comes to its end while other viewers
/// have connections open, on which set-ups are refused because the media nodes are full.
pub fn unsent_end(record: &Path) -> ! {
    let w = world(record, 3, ms(60), ms(0));
    let relay = Relay::start(w.director.address, &w.record);
    let first = Viewer::connect(relay.address, "a", &w.record);
    let sess = id(1);
    first.start(&sess, "lecture", 3000, w.nodes.len());
    if first.answer(&sess, ms(3000)).is_none_or(|a| a.verb != "STARTED") {
        cannot_run("the first session was not served");
    }
    w.nodes.iter().for_each(|n| *lock(&n.answer) = Answer::Full);
    sleep(ms(2000));
    if trouble() {
        relay.end_viewer_side();
        relay.end_director_side();
    }
    // Another viewer every 2 s, who asks once and closes its connection after 4 s without a session on it.
    let mut others: Vec<(Instant, Viewer)> = Vec::new();
    let (mut all, mut ended_at, mut n) = (vec![first.clone()], None, 1);
    let began = Instant::now();
    while began.elapsed() < WATCHED {
        if others.last().is_none_or(|(since, _)| since.elapsed() >= ms(2000)) {
            n += 1;
            let viewer = Viewer::connect(w.director.address, &format!("b{n}"), &w.record);
            viewer.start(&id(n), "lecture", 3000, w.nodes.len());
            all.push(viewer.clone());
            others.push((Instant::now(), viewer));
        }
        others.retain(|(since, viewer)| {
            let stays = since.elapsed() < ms(4000);
            if !stays {
                viewer.close();
            }
            stays
        });
        if ended_at.is_none() && began.elapsed() >= ms(3000) {
            let node = w.nodes.iter().find(|n| n.end_session(&sess));
            if node.is_none() {
                cannot_run("the session does not stand at any media node");
            }
            ended_at = Some(w.record.now());
        }
        sleep(ms(20));
    }
    let ended_at = ended_at.unwrap_or_default();
    let released = all.iter().flat_map(Viewer::received).find(|r| r.verb == "FINISH" && r.tag == sess);
    let broken: Vec<String> = match released {
        Some(r) if r.at <= ended_at + LATEST_RELEASE => Vec::new(),
        Some(r) => {
            vec![format!("session {sess} was released to its client {:.3} s after its end", r.at - ended_at)]
        }
        None => vec![format!(
            "session {sess} was not released to its client within {:.1} s of its end",
            w.record.now() - ended_at
        )],
    };
    let served = all.iter().flat_map(Viewer::received).filter(|r| r.verb == "STARTED").count();
    w.record.line(&format!("{served} sessions served, {} viewers' connections", all.len()));
    // A session that is served would be another way to the same viewers.
    w.verdict(&broken, all.len() > 5 && served == 1)
}
