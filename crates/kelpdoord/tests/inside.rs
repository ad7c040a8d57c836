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

#[test]
fn voters_in_three_directors_agree_and_two_go_on_without_the_third() {
    let base = std::env::temp_dir().join(format!("kelpdoord-inside-{}", std::process::id()));
    // An address that was free may be taken a moment later; then with others. The first proposal waits for the others' lines.
    let (mut fleet, dir) = (0..10)
        .find_map(|attempt| {
            let dir = base.join(attempt.to_string());
            let mut fleet = start(&dir);
            let agreed = (0..20).any(|_| propose(&dir, "rules.star", 0).starts_with("agreed 1/"));
            let all_run = fleet.processes.iter_mut().all(|p| matches!(p.try_wait(), Ok(None)));
            (agreed && all_run).then_some((fleet, dir))
        })
        .expect("a fleet");
    // Each director knows the rules now, and listens.
    for p in &mut fleet.processes {
        let mut line = String::new();
        BufReader::new(p.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        assert!(line.starts_with("kelpdoord listening on 127.0.0.1:"), "{line}");
    }
    fleet.processes[0].kill().expect("it runs");
    let next = std::fs::read_to_string(dir.join("rules.star")).expect("there") + "# second\n";
    std::fs::write(dir.join("next.star"), next).expect("written");
    let said = propose(&dir, "next.star", 1);
    assert!(said.starts_with("agreed 2/"), "{said}");
    // The other two come to act on it, by the two voters that are left.
    let mut shown = serde_json::Value::Null;
    let acting = (0..600).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(50));
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
