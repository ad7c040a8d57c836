use super::*;

#[test]
fn flipped_or_missing_byte_is_detected() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("value");
    let load = || load::<Vec<u32>>(&path, "kelpdoor-test 1");
    assert!(load().unwrap().is_none());
    let value = vec![7, 8, 9];
    save(&path, "kelpdoor-test 1", &value).unwrap();
    assert_eq!(load().unwrap(), Some(value));
    let intact = std::fs::read(&path).unwrap();
    for at in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[at] ^= 0x10;
        std::fs::write(&path, &damaged).unwrap();
        assert!(load().is_err(), "byte {at} flipped");
        std::fs::write(&path, &intact[..at]).unwrap();
        assert!(load().is_err(), "truncated at {at}");
    }
}
