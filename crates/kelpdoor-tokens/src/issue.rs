//! Signing, for tests and for trying a deployment out; a school's issuer does it elsewhere.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::{Algorithm, EncodingKey, Header, encode};
use ring::rand::SystemRandom;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::json;

use crate::Claims;

/// A key pair with its id.
pub struct Issuer {
    kid: String,
    pkcs8: Vec<u8>,
    public: String,
}

impl Issuer {
    /// A new key pair from the system's randomness.
    ///
    /// # Errors
    /// Where the system gives none.
    pub fn new(kid: &str) -> Result<Self, String> {
        let pkcs8 = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new()).map_err(|e| e.to_string())?;
        Issuer::from_pkcs8(kid, pkcs8.as_ref())
    }

    /// One kept as PKCS #8 (RFC 8410).
    ///
    /// # Errors
    /// Where that is no Ed25519 key.
    pub fn from_pkcs8(kid: &str, pkcs8: &[u8]) -> Result<Self, String> {
        let pair = Ed25519KeyPair::from_pkcs8(pkcs8).map_err(|e| e.to_string())?;
        let public = URL_SAFE_NO_PAD.encode(pair.public_key().as_ref());
        Ok(Issuer { kid: kid.to_owned(), pkcs8: pkcs8.to_vec(), public })
    }

    pub fn pkcs8(&self) -> &[u8] {
        &self.pkcs8
    }

    /// The public key as a JWK.
    pub fn jwk(&self) -> serde_json::Value {
        json!({ "kty": "OKP", "crv": "Ed25519", "use": "sig", "alg": "EdDSA", "kid": self.kid, "x": self.public })
    }

    /// Signs a token.
    ///
    /// # Errors
    /// What the library says.
    pub fn sign(&self, claims: &Claims) -> Result<String, String> {
        let head = Header { kid: Some(self.kid.clone()), ..Header::new(Algorithm::EdDSA) };
        encode(&head, claims, &EncodingKey::from_ed_der(&self.pkcs8)).map_err(|e| e.to_string())
    }
}

/// A JWK set of these keys.
pub fn key_set<'a>(issuers: impl IntoIterator<Item = &'a Issuer>) -> String {
    json!({ "keys": issuers.into_iter().map(Issuer::jwk).collect::<Vec<_>>() }).to_string()
}
