//! Requests that cross the end of a resting connection.

use std::path::Path;
use std::thread::sleep;

use crate::common::*;

/// Sessions of a case.
const SESSIONS: u64 = 10;
/// s; an answer up to half a second after the viewer's time only earns nothing; 50 ms are the slack of the sockets.
const LATE: f64 = 0.55;
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

/// A START crosses the end of its resting connection and is sent again on a new one. The answer to the first was under
/// way when the connection ended.
pub fn unanswered(record: &Path) -> ! {
    let w = world(record, 3, ms(8), ms(0));
    let (mut broken, mut ran) = (Vec::new(), 0);
    for n in 1..=SESSIONS {
        let relay = Relay::start(w.director.address, &w.record);
        let Some(old) = resting_connection(&w, n, "lecture", &relay) else { continue };
        let (sess, left) = (id(n * 10 + 1), 3000);
        if !trouble() {
            old.start(&sess, "lecture", left, w.nodes.len());
            if old.answer(&sess, ms(left + 550)).is_none() {
                broken.push(format!("session {sess}: no answer within {left} ms and {LATE} s"));
            }
            ran += 1;
        } else {
            let first_at = old.start(&sess, "lecture", left, w.nodes.len());
            // The network has ended the connection: the START still passes, the answer is lost, and the director hears
            // of the end a little later than the viewer.
            sleep(ms(2));
            relay.end_viewer_side();
            sleep(ms(28));
            relay.end_director_side();
            sleep(ms(RESEND_AFTER - 30));
            if old.find("STARTED", &sess).is_some() || old.find("FINISH", &sess).is_some() {
                w.record.line(&format!("session {sess}: answered before the end of its connection"));
                continue;
            }
            let new = Viewer::connect(w.director.address, &format!("{n}b"), &w.record);
            let again_at = new.start(&sess, "lecture", left - RESEND_AFTER, w.nodes.len());
            if again_at - first_at > 0.05 {
                // The pages have a request repeated within 50 ms; this one was late and is not judged.
                w.record.line(&format!("session {sess}: sent again too late"));
                new.close();
                continue;
            }
            ran += 1;
            let answer = new.answer(&sess, ms(left + 550));
            if answer.is_none() {
                broken.push(format!(
                    "session {sess}: its START was read on a new connection, which ended with no answer: {}",
                    new.ended_at().map_or("never".to_owned(), |at| format!("{at:.3}"))
                ));
            }
            sleep(ms(200));
            new.close();
        }
        old.close();
    }
    let ran = ran * 2 >= SESSIONS;
    w.verdict(&broken, ran)
}
