use super::*;

#[test]
fn stepped_wall_clock_slews_time_and_never_sets_it_back() {
    let mut clock = SlewedTime::new(0.0, 1000.0);
    assert_eq!(clock.now(1.0, 1001.0), (1001.0, None));
    // Wall time is stepped back by 10 s: time advances a little slower.
    let (now, stepped) = clock.now(2.0, 992.0);
    assert!((now - 1001.995).abs() < 1e-9 && stepped == Some(-10.0), "{now} {stepped:?}");
    let (now, stepped) = clock.now(3.0, 993.0);
    assert!((now - 1002.99).abs() < 1e-9 && stepped.is_none(), "{now} {stepped:?}");
    // Time does not advance while monotonic time does not.
    assert_eq!(clock.now(3.0, 900.0).0, now);
}

#[test]
fn offset_file_steps_wall_clock() {
    let file = std::env::temp_dir().join(format!("kelpdoor-clock-{}", std::process::id()));
    let mut clock = SlewedClock::with_offset_file(file.clone());
    assert_eq!(clock.now().1, None);
    std::fs::write(&file, "-3600\n").unwrap();
    let stepped =
        (0..1_000_000_000u64).find_map(|_| clock.now().1).expect("a step once the file is read again");
    assert!((stepped + 3600.0).abs() < 1.0, "{stepped}");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn suspended_process_is_not_reported_as_step() {
    let mut clock = SlewedTime::new(0.0, 1000.0);
    assert_eq!(clock.now(10.0, 1010.0), (1010.0, None));
}
