//! The program on a stand-in of the users' platform, with everything that its pages name going wrong.

use kelpdoor_lab::check::check;
use kelpdoor_lab::platform::{Day, play};
use kelpdoor_lab::record::{Recorder, read};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rough_day_on_the_platform_keeps_every_rule() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("record.zst");
    let (recorder, file) = Recorder::to_file(&path).expect("a record");
    let program = env!("CARGO_BIN_EXE_kelpdoor-lab").into();
    let told = play(Day::default(), program, dir.path(), recorder).await.expect("a day");
    file.finish().expect("written");
    let verdict = check(&read(&path).expect("readable"));
    let logs: String = (0..2)
        .map(|d| std::fs::read_to_string(dir.path().join(format!("platform-{d}.log"))).unwrap_or_default())
        .collect();
    assert!(
        verdict.violations.is_empty() && told.wrong.is_empty(),
        "{:#?}\n{:#?}\n{logs}",
        verdict.violations,
        told.wrong
    );
    // The day was what it should be.
    assert!(told.started > 300 && told.served * 2 > told.started, "{told:?}");
    assert!(told.spoilt > 10 && told.rude > 50 && told.ends * 10 > told.served * 7, "{told:?}");
    // Two SETUPs for viewers who had gone would be chance; none is the aim, and what is tested.
    assert!(verdict.left_early > 20 && verdict.late_setups == 0, "{verdict:?}");
    assert!(verdict.further > 0 && verdict.setups > told.served, "{verdict:?}");
}
