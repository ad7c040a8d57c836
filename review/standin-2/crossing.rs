//! Requests that cross the end of a resting connection.

use std::path::Path;
use std::thread::sleep;

use crate::common::*;

/// Sessions of a case.
const SESSIONS: u64 = 10;
/// Time from the START to its repetition: "within 50 ms".
const RESEND_AFTER: u64 = 40;

/// A connection through the network on which a session was served and ended, so that it rests.
fn resting_connection(w: &World, n: u64, class: &str, relay: &Relay) -> Option<Viewer> {
    let viewer = Viewer::connect(relay.address, &format!("{n}a"), &w.record);
    let first = id(n * 10);
    viewer.start(&first, class, 3000, w.nodes.len());
    if viewer.answer(&first, ms(3000))?.verb != "STARTED" {
        return None;
    }
    sleep(ms(300));
    viewer.finish(&first, 16);
    sleep(ms(1200));
    Some(viewer)
}

/// A START of a class that is paid for at set-up crosses the end of its resting connection, with its SETUP out.
pub fn paid_twice(folder: &Path) -> ! {
    // Setting a session up takes a media node 40 to 120 ms of work in the site file.
    let w = world(folder, 3, ms(80), ms(0));
    let (mut broken, mut ran) = (Vec::new(), 0);
    for n in 1..=SESSIONS {
        let relay = Relay::start(w.director.address, &w.record);
        let Some(old) = resting_connection(&w, n, "live", &relay) else { continue };
        let (sess, left) = (id(n * 10 + 1), 3000);
        old.start(&sess, "live", left, w.nodes.len());
        if trouble() {
            sleep(ms(10));
            relay.end_viewer_side();
            relay.end_director_side();
            sleep(ms(RESEND_AFTER - 10));
            let new = Viewer::connect(w.director.address, &format!("{n}b"), &w.record);
            new.start(&sess, "live", left - RESEND_AFTER, w.nodes.len());
            new.answer(&sess, ms(left + 550));
            sleep(ms(100));
            new.close();
        } else {
            old.answer(&sess, ms(left + 550));
        }
        old.close();
        ran += 1;
    }
    for (sess, setups) in w.setups() {
        // 453 says that it never ran; the media nodes of this case give no such answer.
        if setups.len() > 1 {
            let text: Vec<String> =
                setups.iter().map(|s| format!("node {} at {:.3} s", s.node, s.at)).collect();
            broken.push(format!(
                "session {sess} of a paid class: SETUPs that may have run: {}",
                text.join(", ")
            ));
        }
    }
    let ran = ran * 2 >= SESSIONS;
    w.verdict(&broken, ran)
}
