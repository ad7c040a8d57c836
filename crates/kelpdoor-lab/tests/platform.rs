//! Runs the daemon against a simulation of the users' platform, with all faults that the platform's documentation names.

use kelpdoor_lab::check::check;
use kelpdoor_lab::platform::{Day, run};
use kelpdoor_lab::record::{Recorder, read};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_platform_faults_break_no_rule() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("record.zst");
    let (recorder, file) = Recorder::to_file(&path).expect("record file");
    let program = env!("CARGO_BIN_EXE_kelpdoor-lab").into();
    let summary = run(Day::default(), program, dir.path(), recorder).await.expect("completed run");
    file.finish().expect("complete record");
    let verdict = check(&read(&path).expect("readable record"));
    let logs: String = (0..2)
        .map(|d| std::fs::read_to_string(dir.path().join(format!("platform-{d}.log"))).unwrap_or_default())
        .collect();
    assert!(
        verdict.violations.is_empty() && summary.violations.is_empty(),
        "{:#?}\n{:#?}\n{logs}",
        verdict.violations,
        summary.violations
    );
    // The faults took effect.
    assert!(summary.started > 300 && summary.served * 2 > summary.started, "{summary:?}");
    assert!(
        summary.corrupt_responses > 10
            && summary.misbehaving_viewers > 50
            && summary.ends * 10 > summary.served * 7,
        "{summary:?}"
    );
    // Two SETUPs for viewers that had already left could be chance. The target is none, and the test requires none.
    assert!(verdict.left_early > 20 && verdict.late_setups == 0, "{verdict:?}");
    assert!(verdict.further > 0 && verdict.setups > summary.served, "{verdict:?}");
}
