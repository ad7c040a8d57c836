//! The public keys that tokens are verified by, as a JWK set.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::DecodingKey;
use serde::Deserialize;

/// Keys of a set at most: old, current and next of a few issuers.
pub const MAX_KEYS: usize = 64;
/// Bytes of a key set at most.
const MAX_TEXT: usize = 1 << 16;

#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    #[error("{0} bytes, {MAX_TEXT} at most")]
    TooLong(usize),
    #[error("not a key set: {0}")]
    Form(#[from] serde_json::Error),
    #[error("{0} keys, 1 to {MAX_KEYS} are taken")]
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
    /// A private key has no place in this file.
    #[serde(default)]
    d: Option<String>,
}

/// Keys by their id.
#[derive(Clone, Default)]
pub struct KeySet(BTreeMap<String, DecodingKey>);

impl KeySet {
    /// Reads a JWK set (RFC 7517, 5) of Ed25519 keys (RFC 8037, 2), whole or not at all.
    ///
    /// # Errors
    /// The first key that is not as it should be, counted from 1.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_TEXT {
            return Err(KeyError::TooLong(text.len()));
        }
        let set: Jwks = serde_json::from_str(text)?;
        if !(1..=MAX_KEYS).contains(&set.keys.len()) {
            return Err(KeyError::Count(set.keys.len()));
        }
        let mut all = BTreeMap::new();
        for (k, jwk) in set.keys.into_iter().enumerate() {
            let fault = |what| KeyError::Key(k + 1, what);
            if jwk.d.is_some() {
                return Err(fault("it holds a private key, which belongs to the issuer alone"));
            }
            if jwk.kty != "OKP" || jwk.crv != "Ed25519" {
                return Err(fault("kty OKP and crv Ed25519 are asked for"));
            }
            if jwk.kid.is_empty() || jwk.kid.len() > 64 {
                return Err(fault("kid of 1 to 64 bytes is asked for"));
            }
            if URL_SAFE_NO_PAD.decode(&jwk.x).map_or(0, |x| x.len()) != 32 {
                return Err(fault("x is not 32 bytes of base64url"));
            }
            let key = DecodingKey::from_ed_components(&jwk.x).map_err(|_| fault("x cannot be read"))?;
            if all.insert(jwk.kid, key).is_some() {
                return Err(fault("its kid is taken"));
            }
        }
        Ok(KeySet(all))
    }

    pub fn get(&self, kid: &str) -> Option<&DecodingKey> {
        self.0.get(kid)
    }

    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}
