//! Each reason to refuse a token or a key set, and its message.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use kelpdoor_tokens::{Audience, Claims, Issuer, KeySet, TokenRules, key_set, verify};
use proptest::prelude::*;
use serde_json::json;

const NOW: f64 = 1_800_000_000.0;

fn rules() -> TokenRules {
    TokenRules { audience: "kelpdoor".into(), clock_error: 2.0, max_lifetime: 7200.0 }
}

fn claims() -> Claims {
    Claims {
        aud: Audience::One("kelpdoor".into()),
        school: "olaf".into(),
        group: None,
        seat_class: None,
        jti: "t-1".into(),
        iat: NOW - 10.0,
        nbf: None,
        exp: NOW + 600.0,
    }
}

fn verify_result(token: &str, keys: &KeySet) -> String {
    match verify(token, keys, &rules(), NOW) {
        Ok(e) => format!("{} {} until {}", e.school.0, e.token.0, e.expires - NOW),
        Err(e) => e.to_string(),
    }
}

/// A token with any header, body and signature.
fn forged(header: serde_json::Value, body: &str, signature: &str) -> String {
    let part = |text: &str| URL_SAFE_NO_PAD.encode(text);
    format!("{}.{}.{signature}", part(&header.to_string()), part(body))
}

#[test]
fn valid_token_gives_pool_and_expiry() {
    let issuer = Issuer::new("k1").unwrap();
    let keys = KeySet::parse(&key_set([&issuer])).unwrap();
    assert_eq!(verify_result(&issuer.sign(&claims()).unwrap(), &keys), "olaf t-1 until 600");
    let class = Claims { seat_class: Some("teacher".into()), ..claims() };
    assert_eq!(verify_result(&issuer.sign(&class).unwrap(), &keys), "olaf:teacher t-1 until 600");
    let many = Claims { aud: Audience::Any(vec!["other".into(), "kelpdoor".into()]), ..claims() };
    assert_eq!(verify_result(&issuer.sign(&many).unwrap(), &keys), "olaf t-1 until 600");
}

#[test]
fn invalid_token_is_refused_with_reason() {
    let issuer = Issuer::new("k1").unwrap();
    let keys = KeySet::parse(&key_set([&issuer])).unwrap();
    let sign = |c: Claims| issuer.sign(&c).unwrap();
    let table = [
        (sign(Claims { exp: NOW, ..claims() }), "the token expired 0 s ago: ask for a new one"),
        (
            sign(Claims { nbf: Some(NOW + 60.0), ..claims() }),
            "the token is not valid for another 60 s: try again then",
        ),
        (
            sign(Claims { iat: NOW + 90.0, ..claims() }),
            "the token was issued 90 s in the future: its issuer's clock is wrong",
        ),
        (
            sign(Claims { exp: NOW + 9000.0, ..claims() }),
            "the token is valid for 9010 s, longer than is accepted here: ask for a shorter one",
        ),
        (
            sign(Claims { aud: Audience::One("else".into()), ..claims() }),
            "the token is meant for another service: ask its issuer for one for this service",
        ),
        (
            sign(Claims { school: "olaf:teacher".into(), ..claims() }),
            "the token's school is empty, too long, or contains a colon or control character",
        ),
        (
            forged(json!({ "alg": "none", "kid": "k1" }), "{}", ""),
            "the token is signed by \"none\", EdDSA is required: its issuer is misconfigured",
        ),
        (
            forged(json!({ "alg": "HS256", "kid": "k1" }), "{}", "c2ln"),
            "the token is signed by \"HS256\", EdDSA is required: its issuer is misconfigured",
        ),
        (
            forged(json!({ "alg": "EdDSA", "kid": "k9" }), "{}", "c2ln"),
            "the token's key \"k9\" is not known: ask for a new one",
        ),
        (
            forged(json!({ "alg": "EdDSA", "kid": "k1", "crit": ["b64"] }), "{}", "c2ln"),
            "the token cannot be read (its header asks for extensions): ask for a new one",
        ),
        ("a.b".into(), "the token cannot be read (not three parts): ask for a new one"),
        ("!.b.c".into(), "the token cannot be read (its header is not base64url): ask for a new one"),
        ("x".repeat(3000), "the token has 3000 bytes, at most 2048 are allowed"),
    ];
    for (token, reason) in table {
        assert_eq!(verify_result(&token, &keys), reason);
    }
    // Signed by another issuer's key under the same key ID.
    let other = Issuer::new("k1").unwrap();
    let why = "the token's signature does not match its key: ask for a new one";
    assert_eq!(verify_result(&other.sign(&claims()).unwrap(), &keys), why);
}

#[test]
fn rotated_keys_are_both_valid_until_old_one_is_removed() {
    let (old, new) = (Issuer::new("k1").unwrap(), Issuer::new("k2").unwrap());
    let both = KeySet::parse(&key_set([&old, &new])).unwrap();
    let alone = KeySet::parse(&key_set([&new])).unwrap();
    let (by_old, by_new) = (old.sign(&claims()).unwrap(), new.sign(&claims()).unwrap());
    assert_eq!(verify_result(&by_old, &both), verify_result(&by_new, &both));
    assert_eq!(verify_result(&by_new, &alone), "olaf t-1 until 600");
    assert_eq!(verify_result(&by_old, &alone), "the token's key \"k1\" is not known: ask for a new one");
}

#[test]
fn bad_key_set_is_refused_as_a_whole_with_key_named() {
    let issuer = Issuer::new("k1").unwrap();
    let error = |text: &str| KeySet::parse(text).err().map(|e| e.to_string()).unwrap_or_default();
    let good = issuer.jwk();
    let with = |name: &str, value: &str| {
        let mut bad = good.clone();
        bad[name] = value.into();
        json!({ "keys": [good, bad] }).to_string()
    };
    assert_eq!(error(&with("kty", "RSA")), "key 2: kty must be OKP and crv Ed25519");
    assert_eq!(error(&with("x", "AAAA")), "key 2: x is not 32 bytes of base64url");
    assert_eq!(error(&with("use", "sig")), "key 2: another key has the same kid");
    assert_eq!(error(&with("d", "AAAA")), "key 2: it contains a private key, which only its issuer may have");
    assert_eq!(error("{\"keys\": []}"), "0 keys, 1 to 64 are allowed");
    let whole = key_set([&issuer]);
    assert!((0..whole.len()).all(|cut| KeySet::parse(&whole[..cut]).is_err()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(256) })]

    /// Changing any one byte of a valid token makes it invalid.
    #[test]
    fn changed_byte_is_refused(at in 0usize..400, by in 1u8..=127) {
        let issuer = Issuer::new("k1").unwrap();
        let keys = KeySet::parse(&key_set([&issuer])).unwrap();
        let good = issuer.sign(&claims()).unwrap();
        let mut bytes = good.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] = (bytes[at] ^ by) & 0x7f;
        let bad = String::from_utf8(bytes).unwrap();
        prop_assume!(bad != good);
        prop_assert!(verify(&bad, &keys, &rules(), NOW).is_err(), "{}", bad);
    }

    #[test]
    fn arbitrary_text_is_refused(text in "\\PC{0,300}") {
        let issuer = Issuer::new("k1").unwrap();
        let keys = KeySet::parse(&key_set([&issuer])).unwrap();
        prop_assert!(verify(&text, &keys, &rules(), NOW).is_err());
    }
}
