//! Each way in which a token can be wrong, and what its bearer is told.

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

fn said(token: &str, keys: &KeySet) -> String {
    match verify(token, keys, &rules(), NOW) {
        Ok(e) => format!("{} {} until {}", e.school.0, e.token.0, e.expires - NOW),
        Err(e) => e.to_string(),
    }
}

/// A token with any header and body, signed or not.
fn forged(head: serde_json::Value, body: &str, tail: &str) -> String {
    let part = |text: &str| URL_SAFE_NO_PAD.encode(text);
    format!("{}.{}.{tail}", part(&head.to_string()), part(body))
}

#[test]
fn a_good_token_names_its_pool_and_its_end() {
    let issuer = Issuer::new("k1").unwrap();
    let keys = KeySet::parse(&key_set([&issuer])).unwrap();
    assert_eq!(said(&issuer.sign(&claims()).unwrap(), &keys), "olaf t-1 until 600");
    let class = Claims { seat_class: Some("teacher".into()), ..claims() };
    assert_eq!(said(&issuer.sign(&class).unwrap(), &keys), "olaf:teacher t-1 until 600");
    let many = Claims { aud: Audience::Any(vec!["other".into(), "kelpdoor".into()]), ..claims() };
    assert_eq!(said(&issuer.sign(&many).unwrap(), &keys), "olaf t-1 until 600");
}

#[test]
fn every_refusal_has_its_reason() {
    let issuer = Issuer::new("k1").unwrap();
    let keys = KeySet::parse(&key_set([&issuer])).unwrap();
    let sign = |c: Claims| issuer.sign(&c).unwrap();
    let table = [
        (sign(Claims { exp: NOW, ..claims() }), "the token expired 0 s ago: ask for a new one"),
        (sign(Claims { nbf: Some(NOW + 60.0), ..claims() }), "the token is good in 60 s only: try then"),
        (
            sign(Claims { iat: NOW + 90.0, ..claims() }),
            "the token was issued 90 s from now: its issuer's clock is wrong",
        ),
        (
            sign(Claims { exp: NOW + 9000.0, ..claims() }),
            "the token is good for 9010 s, longer than is taken here: ask for a shorter one",
        ),
        (
            sign(Claims { aud: Audience::One("else".into()), ..claims() }),
            "the token is meant for another service: ask its issuer for one for this",
        ),
        (
            sign(Claims { school: "olaf:teacher".into(), ..claims() }),
            "the token's school is empty, too long, or holds a colon or control character",
        ),
        (
            forged(json!({ "alg": "none", "kid": "k1" }), "{}", ""),
            "the token is signed by \"none\", EdDSA is asked for: its issuer is set up wrongly",
        ),
        (
            forged(json!({ "alg": "HS256", "kid": "k1" }), "{}", "c2ln"),
            "the token is signed by \"HS256\", EdDSA is asked for: its issuer is set up wrongly",
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
        ("!.b.c".into(), "the token cannot be read (its header is no base64url): ask for a new one"),
        ("x".repeat(3000), "the token has 3000 bytes, 2048 at most"),
    ];
    for (token, reason) in table {
        assert_eq!(said(&token, &keys), reason);
    }
    // Of another issuer under the same name.
    let other = Issuer::new("k1").unwrap();
    let why = "the token's signature is not its key's: ask for a new one";
    assert_eq!(said(&other.sign(&claims()).unwrap(), &keys), why);
}

#[test]
fn old_and_new_keys_hold_side_by_side_until_the_old_is_taken_out() {
    let (old, new) = (Issuer::new("k1").unwrap(), Issuer::new("k2").unwrap());
    let both = KeySet::parse(&key_set([&old, &new])).unwrap();
    let alone = KeySet::parse(&key_set([&new])).unwrap();
    let (by_old, by_new) = (old.sign(&claims()).unwrap(), new.sign(&claims()).unwrap());
    assert_eq!(said(&by_old, &both), said(&by_new, &both));
    assert_eq!(said(&by_new, &alone), "olaf t-1 until 600");
    assert_eq!(said(&by_old, &alone), "the token's key \"k1\" is not known: ask for a new one");
}

#[test]
fn a_bad_key_set_is_refused_whole_with_the_key_named() {
    let issuer = Issuer::new("k1").unwrap();
    let fault = |text: &str| KeySet::parse(text).err().map(|e| e.to_string()).unwrap_or_default();
    let good = issuer.jwk();
    let with = |name: &str, value: &str| {
        let mut bad = good.clone();
        bad[name] = value.into();
        json!({ "keys": [good, bad] }).to_string()
    };
    assert_eq!(fault(&with("kty", "RSA")), "key 2: kty OKP and crv Ed25519 are asked for");
    assert_eq!(fault(&with("x", "AAAA")), "key 2: x is not 32 bytes of base64url");
    assert_eq!(fault(&with("use", "sig")), "key 2: its kid is taken");
    assert_eq!(fault(&with("d", "AAAA")), "key 2: it holds a private key, which belongs to the issuer alone");
    assert_eq!(fault("{\"keys\": []}"), "0 keys, 1 to 64 are taken");
    let whole = key_set([&issuer]);
    assert!((0..whole.len()).all(|cut| KeySet::parse(&whole[..cut]).is_err()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(256) })]

    /// A token with any one byte changed is no other token that is good.
    #[test]
    fn no_changed_byte_passes(at in 0usize..400, by in 1u8..=127) {
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
    fn anything_is_refused_plainly(text in "\\PC{0,300}") {
        let issuer = Issuer::new("k1").unwrap();
        let keys = KeySet::parse(&key_set([&issuer])).unwrap();
        prop_assert!(verify(&text, &keys, &rules(), NOW).is_err());
    }
}
