use super::*;

#[test]
fn any_flipped_or_missing_byte_is_found() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("value");
    let load = || load::<Vec<u32>>(&path, "kelpdoor-test 1");
    assert!(load().unwrap().is_none());
    let value = vec![7, 8, 9];
    save(&path, "kelpdoor-test 1", &value).unwrap();
    assert_eq!(load().unwrap(), Some(value));
    let good = std::fs::read(&path).unwrap();
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x10;
        std::fs::write(&path, &bad).unwrap();
        assert!(load().is_err(), "byte {at} flipped");
        std::fs::write(&path, &good[..at]).unwrap();
        assert!(load().is_err(), "cut at {at}");
    }
}
