//! The public keys that verify tokens, as a JWK set.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::DecodingKey;
use serde::Deserialize;

/// Maximum number of keys in a set: the old, current and next ones of a few issuers.
pub const MAX_KEYS: usize = 64;
/// Maximum size of a key set's text in bytes.
const MAX_SET_BYTES: usize = 1 << 16;

/// Why a key set is rejected.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    #[error("{0} bytes, at most {MAX_SET_BYTES} are allowed")]
    TooLong(usize),
    #[error("not a key set: {0}")]
    Form(#[from] serde_json::Error),
    #[error("{0} keys, 1 to {MAX_KEYS} are allowed")]
    Count(usize),
    #[error("key {0}: {1}")]
    Key(usize, &'static str),
}

#[derive(Deserialize)]
struct Jwks {
    keys: Vec<Jwk>,
}

#[derive(Deserialize)]
struct Jwk {
    kty: String,
    #[serde(default)]
    crv: String,
    #[serde(default)]
    kid: String,
    #[serde(default)]
    x: String,
    /// The private key, which must not be in this file.
    #[serde(default)]
    d: Option<String>,
}

/// Verification keys by key ID.
#[derive(Clone, Default)]
pub struct KeySet(BTreeMap<String, DecodingKey>);

impl KeySet {
    /// Parses a JWK set (RFC 7517, 5) of Ed25519 keys (RFC 8037, 2). One bad key makes the whole set invalid.
    ///
    /// # Errors
    /// A bad size or form of the set, or the first bad key, counted from 1.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_SET_BYTES {
            return Err(KeyError::TooLong(text.len()));
        }
        let set: Jwks = serde_json::from_str(text)?;
        if !(1..=MAX_KEYS).contains(&set.keys.len()) {
            return Err(KeyError::Count(set.keys.len()));
        }
        let mut keys = BTreeMap::new();
        for (index, jwk) in set.keys.into_iter().enumerate() {
            let error = |what| KeyError::Key(index + 1, what);
            if jwk.d.is_some() {
                return Err(error("it contains a private key, which only its issuer may have"));
            }
            if jwk.kty != "OKP" || jwk.crv != "Ed25519" {
                return Err(error("kty must be OKP and crv Ed25519"));
            }
            if jwk.kid.is_empty() || jwk.kid.len() > 64 {
                return Err(error("kid must have 1 to 64 bytes"));
            }
            if URL_SAFE_NO_PAD.decode(&jwk.x).map_or(0, |x| x.len()) != 32 {
                return Err(error("x is not 32 bytes of base64url"));
            }
            let key = DecodingKey::from_ed_components(&jwk.x)
                .map_err(|_| error("x is not an Ed25519 public key"))?;
            if keys.insert(jwk.kid, key).is_some() {
                return Err(error("another key has the same kid"));
            }
        }
        Ok(KeySet(keys))
    }

    pub fn get(&self, kid: &str) -> Option<&DecodingKey> {
        self.0.get(kid)
    }

    /// The key IDs, sorted.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}
