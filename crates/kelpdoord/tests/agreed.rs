//! Checks of the settings of directors that agree on their rules: a setting that all directors share is rejected in the local
//! settings of one of them. Otherwise three directors could each be configured as the first of one (`me = 0, of = 1`).

use std::path::{Path, PathBuf};
use std::process::Command;

const LOCAL_SETTINGS: &str = r#"
director(zone = "east", listen = "127.0.0.1:0")
roster(address = "127.0.0.1:1")
agreement(voters = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"], fleet = "test", name = "a")
"#;
const DOCUMENT: &str = r#"
ladder(rates = [120, 221], utility = [0.2, 0.42])
group("story", utility = 1, start_target = 1)
fleet(zones = ["east"], kinds = {"box": 26}, cells = 4, racks = 2, link_unit = 2600, seen_after = 0.6, told_every = 2,
      cold_from = 0.4, warm_within = 8, tip_multiple = 4, fall_window = 2, drain_grace = 1)
directors(names = ["a", "b", "a"], max_setups = 3)
voters(at = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"])
"#;

fn write(dir: &Path, name: &str, text: &str) -> PathBuf {
    let path = dir.join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Runs the daemon on a file. Returns whether it succeeded, and its standard output or else its standard error, with the
/// file's path replaced by `FILE`.
fn run(arguments: &[&str], file: &Path) -> (bool, String) {
    let result = Command::new(env!("CARGO_BIN_EXE_kelpdoord"))
        .args(arguments)
        .arg(file)
        .output()
        .expect("the daemon starts");
    let output = if result.status.success() { result.stdout } else { result.stderr };
    (result.status.success(), String::from_utf8_lossy(&output).replace(&file.display().to_string(), "FILE"))
}

#[test]
fn agreed_settings_in_local_settings_are_rejected() {
    let dir = std::env::temp_dir().join(format!("kelpdoord-agreed-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory is created");
    let good = write(&dir, "good.star", LOCAL_SETTINGS);
    assert_eq!(
        run(&["check", "--config"], &good),
        (true, "FILE: good, the rest is agreed by fleet test\n".into())
    );
    let bad =
        write(&dir, "bad.star", &LOCAL_SETTINGS.replace("director(zone", "director(me = 0, of = 1, zone"));
    for command in ["check", "serve"] {
        let (succeeded, output) = run(&[command, "--config"], &bad);
        assert!(!succeeded, "{command} accepts agreed settings");
        assert_eq!(
            output,
            "kelpdoord: FILE:2:1: director: me is agreed, it is no setting of one director\n\
             FILE:2:1: director: of is agreed, it is no setting of one director\n"
        );
    }
    let mixed =
        write(&dir, "mixed.star", &format!("{LOCAL_SETTINGS}further(free = 9, per_taken = 1, span = 1)\n"));
    let (_, output) = run(&["check", "--config"], &mixed);
    assert_eq!(output, "kelpdoord: FILE:5:1: further is agreed, it is no setting of one director\n");
    let stopped_clock =
        write(&dir, "still.star", &LOCAL_SETTINGS.replace("name = \"a\"", "name = \"a\", clock_rate = 0"));
    let (_, output) = run(&["check", "--config"], &stopped_clock);
    assert_eq!(output, "kelpdoord: FILE:4:1: agreement: clock_rate from 0.95 to 1.05\n");
    let seats = write(
        &dir,
        "seats.star",
        &DOCUMENT.replace("\"b\", \"a\"", "\"b\"").replacen('\n', "\nkeeper()\n", 1),
    );
    let (_, output) = run(&["check", "--document"], &seats);
    assert_eq!(output, "kelpdoord: FILE:2:1: keeper: address: directors that share rules share one keeper\n");
    let document = write(&dir, "document.star", DOCUMENT);
    assert_eq!(
        run(&["check", "--document"], &document),
        (false, "kelpdoord: FILE:6:1: directors: a name stands twice\n".into())
    );
    let document = write(&dir, "document.star", &DOCUMENT.replace("\"b\", \"a\"", "\"b\""));
    assert_eq!(run(&["check", "--document"], &document), (true, "FILE: good\n".into()));
    // No voter is reachable: the error names each of them by its address.
    let config = format!("--config={}", good.display());
    let (succeeded, output) = run(&["propose", "--after=0", &config], &document);
    assert!(
        !succeeded
            && output.contains("the proposal is not known to be agreed")
            && output.contains("voter 2 at 127.0.0.1:3"),
        "{output}"
    );
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
}
