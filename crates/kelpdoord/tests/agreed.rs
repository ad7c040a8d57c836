//! Settings of directors that agree on their rules, as the program reads them: what all have to agree on is no setting of one.

use std::path::{Path, PathBuf};
use std::process::Command;

const OWN: &str = r#"
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
    std::fs::write(&path, text).expect("a place for it");
    path
}

/// Whether it went well, and what it said.
fn run(arguments: &[&str], file: &Path) -> (bool, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_kelpdoord")).args(arguments).arg(file).output().expect("it starts");
    let said = if out.status.success() { out.stdout } else { out.stderr };
    (out.status.success(), String::from_utf8_lossy(&said).replace(&file.display().to_string(), "FILE"))
}

#[test]
fn three_directors_that_all_say_they_are_the_first_do_not_start() {
    let dir = std::env::temp_dir().join(format!("kelpdoord-agreed-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let good = write(&dir, "good.star", OWN);
    assert_eq!(
        run(&["check", "--config"], &good),
        (true, "FILE: good, the rest is agreed by fleet test\n".into())
    );
    let bad = write(&dir, "bad.star", &OWN.replace("director(zone", "director(me = 0, of = 1, zone"));
    for what in ["check", "serve"] {
        let (good, said) = run(&[what, "--config"], &bad);
        assert!(!good, "{what} takes it");
        assert_eq!(
            said,
            "kelpdoord: FILE:2:1: director: me is agreed, it is no setting of one director\n\
             FILE:2:1: director: of is agreed, it is no setting of one director\n"
        );
    }
    let mixed = write(&dir, "mixed.star", &format!("{OWN}further(free = 9, per_taken = 1, span = 1)\n"));
    let (_, said) = run(&["check", "--config"], &mixed);
    assert_eq!(said, "kelpdoord: FILE:5:1: further is agreed, it is no setting of one director\n");
    let still = write(&dir, "still.star", &OWN.replace("name = \"a\"", "name = \"a\", clock_rate = 0"));
    let (_, said) = run(&["check", "--config"], &still);
    assert_eq!(said, "kelpdoord: FILE:4:1: agreement: clock_rate from 0.95 to 1.05\n");
    let seats = write(
        &dir,
        "seats.star",
        &DOCUMENT.replace("\"b\", \"a\"", "\"b\"").replacen('\n', "\nkeeper()\n", 1),
    );
    let (_, said) = run(&["check", "--document"], &seats);
    assert_eq!(said, "kelpdoord: FILE:2:1: keeper: address: directors that share rules share one keeper\n");
    let document = write(&dir, "document.star", DOCUMENT);
    assert_eq!(
        run(&["check", "--document"], &document),
        (false, "kelpdoord: FILE:6:1: directors: a name stands twice\n".into())
    );
    let document = write(&dir, "document.star", &DOCUMENT.replace("\"b\", \"a\"", "\"b\""));
    assert_eq!(run(&["check", "--document"], &document), (true, "FILE: good\n".into()));
    // No voter is there: said, each by its place.
    let config = format!("--config={}", good.display());
    let (good, said) = run(&["propose", "--after=0", &config], &document);
    assert!(
        !good && said.contains("not agreed, as far as is known") && said.contains("voter 2 at 127.0.0.1:3"),
        "{said}"
    );
    std::fs::remove_dir_all(&dir).expect("it is there");
}
