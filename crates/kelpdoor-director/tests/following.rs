//! The follower of the agreed rules over sockets: three voters in this process, and a director that restarts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kelpdoor_agreement::{ClientRequest, Value, VoterId, VoterResponse};
use kelpdoor_clock::BootClock;
use kelpdoor_director::{RulesFollower, RulesInForce};
use kelpdoor_keeper::{RunningVoter, VoterOptions, start_voter};
use kelpdoor_script::LocalSettings;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const DOCUMENT: &str = r#"
ladder(rates = [120, 221], utility = [0.2, 0.42])
group("story", utility = 1, start_target = 1)
fleet(zones = ["east"], kinds = {"box": 26}, cells = 4, racks = 2, link_unit = 2600, seen_after = 0.6, told_every = 2,
      cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
directors(names = ["a", "b"], max_setups = 3, contradiction = 0.5)
voters(at = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"])
"#;
/// Time limit, far longer than any step of the test takes.
const TIME_LIMIT: Duration = Duration::from_secs(60);

async fn start_three_voters(dir: &Path) -> (Vec<SocketAddr>, Vec<RunningVoter>) {
    for attempt in 0..10 {
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let voters: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(held);
        let mut running = Vec::new();
        for me in 0..3u8 {
            let options = VoterOptions {
                me: VoterId(me),
                voters: (0..).zip(voters.clone()).collect(),
                reach: (0..).zip(voters.clone()).collect(),
                listen: voters[usize::from(me)],
                fleet: "test".into(),
                store: dir.join(format!("{attempt}-{me}")),
                found: true,
                clock_rate: 1.0,
            };
            running.extend(start_voter(options).await.ok());
        }
        if running.len() == 3 {
            return (voters, running);
        }
    }
    panic!("three voters did not start");
}

async fn agree(at: SocketAddr, after: u64, text: &str) {
    for _ in 0..20 {
        let mut stream = BufReader::new(TcpStream::connect(at).await.unwrap());
        let value = Value { id: after + 7, text: text.into() };
        for request in [
            ClientRequest::Hello { fleet: "test".to_owned() },
            ClientRequest::Propose { after, value, sure: true },
        ] {
            let line = format!("{}\n", serde_json::to_string(&request).unwrap());
            stream.get_mut().write_all(line.as_bytes()).await.unwrap();
        }
        let mut lines = stream.lines();
        let _welcome = lines.next_line().await.unwrap();
        let line = lines.next_line().await.unwrap().expect("a response");
        if matches!(serde_json::from_str(&line).unwrap(), VoterResponse::Agreed { .. }) {
            return;
        }
    }
    panic!("never agreed");
}

fn local_settings(dir: &Path, name: &str, voters: &[SocketAddr]) -> LocalSettings {
    let path = dir.join(format!("{name}.star"));
    let list: Vec<String> = voters.iter().map(|v| format!("{:?}", v.to_string())).collect();
    let text = format!(
        "director(zone = \"east\", listen = \"127.0.0.1:0\")\nroster(address = \"127.0.0.1:1\")\n\
         agreement(voters = [{0}], reach = [{0}], fleet = \"test\", name = {name:?}, copy = {1:?})\n",
        list.join(", "),
        dir.join(format!("{name}.rules")).display().to_string(),
    );
    std::fs::write(&path, text).unwrap();
    LocalSettings::read(&path).unwrap().expect("with an agreement")
}

/// Waits until the rules that may be acted on meet a condition.
async fn wait_until(
    follower: &mut RulesFollower, condition: impl Fn(&RulesInForce, f64) -> bool,
) -> RulesInForce {
    let clock = BootClock::new(1.0);
    timeout(TIME_LIMIT, async {
        loop {
            let rules = follower.rules();
            if condition(&rules, clock.now()) {
                return rules;
            }
            follower.changed().await;
        }
    })
    .await
    .expect("within the time limit")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_director_with_cached_rules_acts_only_after_one_lease_has_passed() {
    let dir = tempfile::tempdir().unwrap();
    let (voters, _running) = start_three_voters(dir.path()).await;
    agree(voters[0], 0, DOCUMENT).await;
    let (mut first, deployment) =
        RulesFollower::start(local_settings(dir.path(), "a", &voters)).await.unwrap();
    assert_eq!((deployment.director.me, deployment.director.of), (0, 2));
    wait_until(&mut first, |r, now| now < r.lease(now)).await;
    drop(first);
    // There is no newer version: the cached one is the newest, and neither it nor one voter's response gives a lease yet.
    let (mut again, _) = RulesFollower::start(local_settings(dir.path(), "a", &voters)).await.unwrap();
    let cached = again.rules();
    assert!(cached.label.starts_with("1/") && cached.lease(f64::MAX) == f64::NEG_INFINITY, "{cached:?}");
    let r = wait_until(&mut again, |r, now| now < r.lease(now)).await;
    assert!(r.label.starts_with("1/") && r.listed, "{r:?}");
    // A director that is not listed starts no sessions, even under a lease.
    agree(voters[1], 1, &DOCUMENT.replace("[\"a\", \"b\"]", "[\"b\"]")).await;
    let r = wait_until(&mut again, |r, _| r.label.starts_with("2/")).await;
    assert!(!r.listed && r.lease(r.from.min(r.until)) == f64::NEG_INFINITY, "{r:?}");
    wait_until(&mut again, |r, now| r.until > now + 0.1 && r.lease(now) == f64::NEG_INFINITY).await;
    // A damaged cached version is ignored, because the voters have the same one.
    std::fs::write(dir.path().join("b.rules"), "kelpdoor-agreed 1 00000000\n{}").unwrap();
    let (mut other, _) = RulesFollower::start(local_settings(dir.path(), "b", &voters)).await.unwrap();
    wait_until(&mut other, |r, now| r.label.starts_with("2/") && now < r.lease(now)).await;
}
