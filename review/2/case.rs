//! Discovery is slow: each call is answered after 1.8 s, then served as usual. A media node that drains while the call would long
//! have been answered gets nothing new.

#[path = "../standin/lib.rs"]
mod standin;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use standin::*;

const NODES: usize = 15;
/// A site of this size takes 3.7 new sessions a second, by 2 to 3 directors; this one director takes them all.
const SETUPS_EVERY: Duration = Duration::from_millis(270);
/// A session's length, in set-ups that come after its own: some 40 s.
const SESSION_SETUPS: usize = 150;
/// How long the change log takes for the head of its answer; calls that would take over 2 s are turned away.
const SLOW_MS: u64 = 1800;
/// Media nodes that drain, one every five seconds, and how long they drain.
const DRAINS: usize = 4;
/// s; what the change log would have told counts as told this long after it began to fail, at the latest; the drain's grace;
/// the slack on sockets.
const TOLD_AFTER: f64 = 4.0;
const GRACE: f64 = 1.0;
const SLACK: f64 = 0.05;

fn main() {
    std::process::exit(play());
}

/// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn play() -> i32 {
    let args: Vec<String> = std::env::args().collect();
    let (root, folder, tmp) = (PathBuf::from(&args[1]), PathBuf::from(&args[2]), PathBuf::from(&args[3]));
    start_record(&folder.join("record.txt"));
    let phase = |k: usize| k as f64 * REPORT_EVERY / NODES as f64;
    let nodes: Vec<Arc<Node>> = (0..NODES).map(|k| Node::start(&format!("s-{k:08x}"), k, phase(k))).collect();
    let hosts: Vec<String> = nodes.iter().map(|n| n.entry("up", 0)).collect();
    let log = ChangeLog::start(&hosts);
    if trouble() {
        note(&format!("TROUBLE the change log answers after {SLOW_MS} ms"));
        log.answer_after(ms(SLOW_MS));
    }
    let mut director = Director::start(&root, &tmp, &log, &settings(NODES, ""));
    if !director.wait_ready() {
        say("the director did not get ready");
        return 2;
    }
    // A director that just started takes its nodes for cold. By then the first call was answered long ago.
    sleep(ms(8000));
    let (stop, answers, address) = (Arc::new(AtomicBool::new(false)), Answers::default(), director.address);
    let (usual_stop, usual_answers) = (stop.clone(), answers.clone());
    let usual = spawn(move || {
        let Ok(viewers) = Viewers::connect(address, &usual_answers, false) else { return 0 };
        let mut n = 0;
        while !usual_stop.load(Ordering::SeqCst) {
            let sess = format!("9b1f03aa{n:08x}");
            note(&format!("viewer sends START {sess}"));
            viewers.send(&start_line(&sess, "lecture", 3000, n % NODES, 3, &format!("title{:04}", n % 61)));
            if let Some(old) = n.checked_sub(SESSION_SETUPS) {
                viewers.send(&format!("{{\"verb\":\"FINISH\",\"tag\":\"9b1f03aa{old:08x}\",\"opts\":{{}},\"rc\":16}}\n"));
            }
            n += 1;
            sleep(SETUPS_EVERY);
        }
        n
    });
    sleep(ms(3000));
    let mut drains = Vec::new();
    for k in 0..DRAINS {
        let node = nodes[k * 4 % NODES].clone();
        let event = log.publish(&[node.entry("draining", 0)]);
        drains.push((node, event, now()));
        sleep(ms(5000));
    }
    sleep(ms(10_000));
    stop.store(true, Ordering::SeqCst);
    let sent = usual.join().unwrap_or(0);
    let served = lock(&answers).values().flatten().filter(|a| a.verb == "STARTED").count();
    let mut broken = 0;
    for (node, event, at) in &drains {
        let by = at + TOLD_AFTER + GRACE + SLACK;
        let late: Vec<f64> = lock(&node.state).setups.iter().map(|s| s.0).filter(|t| *t > by).collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            broken += 1;
            say(&format!(
                "BROKEN node {}: event {event} said at {at:.2} that it drains; {} SETUPs from {first:.2} to {last:.2}",
                node.id,
                late.len()
            ));
        }
    }
    say(&format!(
        "{sent} set-ups, {served} served; the change log was asked {} times; {} drains, {broken} not kept",
        log.streams(),
        drains.len()
    ));
    if served * 2 < sent || director.exited().is_some() {
        say("the director ended or served too little for a verdict");
        return 2;
    }
    i32::from(broken > 0)
}
