//! An invalid platform configuration: the program prints one line that names the key, and exits with status 2.

use std::process::Command;

#[test]
fn invalid_setting_exits_with_one_line_and_status_2() {
    let file = std::env::temp_dir().join(format!("kelpdoord-start-{}.json", std::process::id()));
    let settings =
        r#"{"profiles":[{"name":"c","promiseMs":-1}],"specifics":{"ratesKb":[1.0],"levelWorth":[1.0]}}"#;
    let known = r#"{"seq":0,"results":[]}"#;
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","changelog":"127.0.0.1:1","known":{known},
            "limits":{{"sockets":256,"memory_mb":32}},"settings":{settings}}}"#
    );
    std::fs::write(&file, text).expect("the file is written");
    let out = Command::new(env!("CARGO_BIN_EXE_kelpdoord"))
        .arg("platform")
        .env("PROXY_CONFIG", &file)
        .env_remove("PROXY_LISTEN")
        .env_remove("PROXY_NAME")
        .output()
        .expect("the program starts");
    std::fs::remove_file(&file).expect("the file is removed");
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{stderr}");
    assert_eq!(stderr, "kelpdoord: settings: profiles[0].promiseMs: -1 is no number from 0 on\n");
}
