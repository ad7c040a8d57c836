//! Voters in the directors' own processes: three of them found a fleet, agree and act, and two go on without the third.

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

/// Three processes, each with its voter; whichever of them finds its address taken ends.
fn start(dir: &Path) -> Fleet {
    std::fs::create_dir_all(dir).expect("a folder");
    let held: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("an address")).collect();
    let at: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().expect("its address")).collect();
    drop(held);
    let list = at.iter().map(|a| format!("{:?}", a.to_string())).collect::<Vec<_>>().join(", ");
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
        fleet.processes.push(serve.spawn().expect("it starts"));
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

/// A fleet that has agreed on its first rules. An address that was free may be taken a moment later; then with others. The first
/// proposal waits for the others' lines.
fn agreed_fleet(base: &Path) -> (Fleet, PathBuf) {
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

/// Asks until it is so, for half a minute.
fn until(mut wanted: impl FnMut() -> bool) -> bool {
    (0..600).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(50));
        wanted()
    })
}

fn further_rules(dir: &Path, name: &str, more: &str) {
    let text = std::fs::read_to_string(dir.join("rules.star")).expect("there") + more;
    std::fs::write(dir.join(name), text).expect("written");
}

#[test]
fn voters_in_three_directors_agree_and_two_go_on_without_the_third() {
    let base = std::env::temp_dir().join(format!("kelpdoord-inside-{}", std::process::id()));
    let (mut fleet, dir) = agreed_fleet(&base);
    // Each director knows the rules now, and listens.
    for p in &mut fleet.processes {
        let mut line = String::new();
        BufReader::new(p.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        assert!(line.starts_with("kelpdoord listening on 127.0.0.1:"), "{line}");
    }
    fleet.processes[0].kill().expect("it runs");
    further_rules(&dir, "next.star", "# second\n");
    let said = propose(&dir, "next.star", 1);
    assert!(said.starts_with("agreed 2/"), "{said}");
    // The other two come to act on it, by the two voters that are left.
    let mut shown = serde_json::Value::Null;
    let acting = until(|| {
        let out =
            daemon().args(["agreed", "--json", "--config"]).arg(settings(&dir, 2)).output().expect("it runs");
        shown = serde_json::from_slice(&out.stdout).expect("json");
        let acts = |name: &str| {
            let of = shown["directors"].as_array().expect("a list").iter().find(|d| d["name"] == name);
            of.and_then(|d| d["acts"].as_str()).is_some_and(|a| a.starts_with("2/") && !a.contains("beside"))
        };
        acts("d1") && acts("d2")
    });
    assert!(acting && shown["newest"] == 2 && shown["voters"][0]["fault"].is_string(), "{shown}");
    drop(fleet);
    let _ = std::fs::remove_dir_all(&base);
}

#[test]
fn a_keeper_goes_by_the_agreed_schools_and_gives_no_seat_out_without_a_majority_of_voters() {
    let base = std::env::temp_dir().join(format!("kelpdoord-schools-{}", std::process::id()));
    let (mut fleet, dir) = agreed_fleet(&base);
    let of_director = std::fs::read_to_string(settings(&dir, 0)).expect("there");
    let agreement = of_director.lines().find(|l| l.starts_with("agreement(")).expect("a line");
    // Under a name of its own, as every director.
    let agreement = agreement.replace("name = \"d0\"", "name = \"seats\"");
    let ledger = dir.join("ledger").display().to_string();
    let text = format!("keeper(listen = \"127.0.0.1:0\", ledger = {ledger:?})\n{agreement}\n");
    std::fs::write(dir.join("keeper.star"), &text).expect("written");
    let mut keep = daemon();
    keep.args(["keeper", "--stay-with-stdin", "--config"]).arg(dir.join("keeper.star"));
    keep.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut keeper = keep.spawn().expect("it starts");
    let mut line = String::new();
    BufReader::new(keeper.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let address = line.trim().rsplit(' ').next().expect("its address").to_owned();
    fleet.processes.push(keeper);
    let bought = || {
        let out = daemon().args(["seats", "--json", "--keeper", &address]).output().expect("it runs");
        let told: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        let olaf = told["standing"]["schools"]
            .as_array()
            .and_then(|all| all.iter().find(|s| s["school"] == "olaf").cloned());
        olaf.and_then(|s| s["bought"].as_u64())
    };
    for (after, seats) in [(1, 3), (2, 5)] {
        further_rules(&dir, "next.star", &format!("school(\"olaf\", seats = {seats})\n"));
        let said = propose(&dir, "next.star", after);
        assert!(said.starts_with("agreed "), "{said}");
        assert!(until(|| bought() == Some(seats)), "{seats} seats, not {:?}", bought());
    }
    // Two voters of three gone: somebody may have agreed on fewer.
    for p in &mut fleet.processes[..2] {
        p.kill().expect("it runs");
    }
    assert!(until(|| bought() == Some(0)), "none is given out, not {:?}", bought());
    // Its own list is none beside the agreed one.
    std::fs::write(dir.join("keeper.star"), format!("{text}school(\"olaf\", seats = 9)\n")).expect("written");
    let out = daemon().args(["keeper", "--config"]).arg(dir.join("keeper.star")).output().expect("it runs");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && said.contains("school is agreed, it is no setting of the keeper"),
        "{said}"
    );
    drop(fleet);
    let _ = std::fs::remove_dir_all(&base);
}
