//! Voters that run in the directors' processes: three of them found a fleet and agree on rules that the directors act on, and
//! two continue without the third.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const RULES: &str = r#"
ladder(rates = [120, 221], utility = [0.2, 0.42])
group("story", utility = 1, start_target = 1)
fleet(zones = ["east"], kinds = {"box": 26}, cells = 4, racks = 2, link_unit = 2600, seen_after = 0.6, told_every = 2,
      cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
directors(names = ["d0", "d1", "d2"], max_setups = 3)
"#;

struct Fleet {
    dir: PathBuf,
    processes: Vec<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for p in &mut self.processes {
            let _ = p.kill();
            let _ = p.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_kelpdoord"))
}

fn settings(dir: &Path, k: usize) -> PathBuf {
    dir.join(format!("d{k}.star"))
}

/// Starts three directors, each with a voter in its process. A process whose voter finds its address in use exits.
fn start(dir: &Path) -> Fleet {
    std::fs::create_dir_all(dir).expect("the directory is created");
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("an address")).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().expect("its address")).collect();
    drop(listeners);
    let list = addresses.iter().map(|a| format!("{:?}", a.to_string())).collect::<Vec<_>>().join(", ");
    std::fs::write(dir.join("rules.star"), format!("{RULES}voters(at = [{list}])\n")).expect("written");
    let mut fleet = Fleet { dir: dir.to_owned(), processes: Vec::new() };
    for k in 0..3 {
        let text = format!(
            "director(zone = \"east\", listen = \"127.0.0.1:0\")\nroster(address = \"127.0.0.1:1\")\n\
             agreement(voters = [{list}], fleet = \"small\", name = \"d{k}\")\n\
             voter(me = {k}, voters = [{list}], fleet = \"small\", store = {:?})\n",
            dir.join(format!("store-{k}")).display().to_string()
        );
        std::fs::write(settings(dir, k), text).expect("written");
        let mut serve = daemon();
        serve.args(["serve", "--found", "--stay-with-stdin", "--config"]).arg(settings(dir, k));
        serve.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        fleet.processes.push(serve.spawn().expect("the daemon starts"));
    }
    fleet
}

fn propose(dir: &Path, rules: &str, after: u64) -> String {
    let out = daemon()
        .args(["propose", &dir.join(rules).display().to_string(), "--after", &after.to_string(), "--config"])
        .arg(settings(dir, 1))
        .output()
        .expect("it runs");
    String::from_utf8_lossy(if out.status.success() { &out.stdout } else { &out.stderr }).into_owned()
}

/// Starts a fleet that has agreed on its first rules. Another process may take one of the free addresses in the meantime; if
/// so, this retries with other addresses. The first proposal is repeated until the voters are connected to each other.
fn start_agreed_fleet(base: &Path) -> (Fleet, PathBuf) {
    (0..10)
        .find_map(|attempt| {
            let dir = base.join(attempt.to_string());
            let mut fleet = start(&dir);
            let agreed = (0..20).any(|_| propose(&dir, "rules.star", 0).starts_with("agreed 1/"));
            let all_run = fleet.processes.iter_mut().all(|p| matches!(p.try_wait(), Ok(None)));
            (agreed && all_run).then_some((fleet, dir))
        })
        .expect("a fleet")
}

/// Polls a condition every 50 ms for 30 s; returns whether it became true.
fn poll_until(mut condition: impl FnMut() -> bool) -> bool {
    (0..600).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        condition()
    })
}

/// Writes the first rules with more lines appended to another file.
fn write_extended_rules(dir: &Path, name: &str, more: &str) {
    let text = std::fs::read_to_string(dir.join("rules.star")).expect("the rules exist") + more;
    std::fs::write(dir.join(name), text).expect("written");
}

#[test]
fn voters_in_three_directors_agree_and_two_continue_without_the_third() {
    let base = std::env::temp_dir().join(format!("kelpdoord-inside-{}", std::process::id()));
    let (mut fleet, dir) = start_agreed_fleet(&base);
    // Each director has received the rules and listens.
    for p in &mut fleet.processes {
        let mut line = String::new();
        BufReader::new(p.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        assert!(line.starts_with("kelpdoord listening on 127.0.0.1:"), "{line}");
    }
    fleet.processes[0].kill().expect("it runs");
    write_extended_rules(&dir, "next.star", "# second\n");
    let output = propose(&dir, "next.star", 1);
    assert!(output.starts_with("agreed 2/"), "{output}");
    // The other two directors start to act on it, with the two remaining voters.
    let mut status = serde_json::Value::Null;
    let acting = poll_until(|| {
        let out =
            daemon().args(["agreed", "--json", "--config"]).arg(settings(&dir, 2)).output().expect("it runs");
        status = serde_json::from_slice(&out.stdout).expect("json");
        let acts = |name: &str| {
            let director = status["directors"].as_array().expect("a list").iter().find(|d| d["name"] == name);
            director
                .and_then(|d| d["acts"].as_str())
                .is_some_and(|a| a.starts_with("2/") && !a.contains("beside"))
        };
        acts("d1") && acts("d2")
    });
    assert!(acting && status["newest"] == 2 && status["voters"][0]["fault"].is_string(), "{status}");
    drop(fleet);
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
fn keeper_follows_the_agreed_schools_and_grants_no_seat_without_a_majority_of_voters() {
    let base = std::env::temp_dir().join(format!("kelpdoord-schools-{}", std::process::id()));
    let (mut fleet, dir) = start_agreed_fleet(&base);
    let director_settings = std::fs::read_to_string(settings(&dir, 0)).expect("the settings exist");
    let agreement = director_settings.lines().find(|l| l.starts_with("agreement(")).expect("a line");
    // The keeper has its own name, as every director.
    let agreement = agreement.replace("name = \"d0\"", "name = \"seats\"");
    let ledger = dir.join("ledger").display().to_string();
    let text = format!("keeper(listen = \"127.0.0.1:0\", ledger = {ledger:?})\n{agreement}\n");
    std::fs::write(dir.join("keeper.star"), &text).expect("written");
    let mut command = daemon();
    command.args(["keeper", "--stay-with-stdin", "--config"]).arg(dir.join("keeper.star"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut keeper = command.spawn().expect("the daemon starts");
    let mut line = String::new();
    BufReader::new(keeper.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let address = line.trim().rsplit(' ').next().expect("its address").to_owned();
    fleet.processes.push(keeper);
    let bought = || {
        let out = daemon().args(["seats", "--json", "--keeper", &address]).output().expect("it runs");
        let response: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        let olaf = response["standing"]["schools"]
            .as_array()
            .and_then(|all| all.iter().find(|s| s["school"] == "olaf").cloned());
        olaf.and_then(|s| s["bought"].as_u64())
    };
    for (after, seats) in [(1, 3), (2, 5)] {
        write_extended_rules(&dir, "next.star", &format!("school(\"olaf\", seats = {seats})\n"));
        let output = propose(&dir, "next.star", after);
        assert!(output.starts_with("agreed "), "{output}");
        assert!(poll_until(|| bought() == Some(seats)), "{seats} seats, not {:?}", bought());
    }
    // Without a majority of voters, a version with fewer seats may have been agreed unnoticed.
    for p in &mut fleet.processes[..2] {
        p.kill().expect("it runs");
    }
    assert!(poll_until(|| bought() == Some(0)), "the keeper still has {:?} seats", bought());
    // Settings with both a list of schools and an agreement are rejected.
    std::fs::write(dir.join("keeper.star"), format!("{text}school(\"olaf\", seats = 9)\n")).expect("written");
    let out = daemon().args(["keeper", "--config"]).arg(dir.join("keeper.star")).output().expect("it runs");
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && stderr.contains("school is agreed, it is no setting of the keeper"),
        "{stderr}"
    );
    drop(fleet);
    let _ = std::fs::remove_dir_all(&base);
}
