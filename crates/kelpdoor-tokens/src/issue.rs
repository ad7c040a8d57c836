//! Signing of tokens, for tests and trial deployments; in production the schools' issuers sign them.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::{Algorithm, EncodingKey, Header, encode};
use ring::rand::SystemRandom;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::json;

use crate::Claims;

/// Signs tokens with an Ed25519 key pair.
pub struct Issuer {
    kid: String,
    pkcs8: Vec<u8>,
    public: String,
}

impl Issuer {
    /// Generates a key pair from the system's random number generator.
    ///
    /// # Errors
    /// If the generator fails.
    pub fn new(kid: &str) -> Result<Self, String> {
        let pkcs8 = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new()).map_err(|e| e.to_string())?;
        Issuer::from_pkcs8(kid, pkcs8.as_ref())
    }

    /// Loads a key pair from its PKCS #8 form (RFC 8410).
    ///
    /// # Errors
    /// If it is not an Ed25519 key pair.
    pub fn from_pkcs8(kid: &str, pkcs8: &[u8]) -> Result<Self, String> {
        let pair = Ed25519KeyPair::from_pkcs8(pkcs8).map_err(|e| e.to_string())?;
        let public = URL_SAFE_NO_PAD.encode(pair.public_key().as_ref());
        Ok(Issuer { kid: kid.to_owned(), pkcs8: pkcs8.to_vec(), public })
    }

    /// The key pair in PKCS #8 form.
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
    /// If the library cannot encode the claims.
    pub fn sign(&self, claims: &Claims) -> Result<String, String> {
        let header = Header { kid: Some(self.kid.clone()), ..Header::new(Algorithm::EdDSA) };
        encode(&header, claims, &EncodingKey::from_ed_der(&self.pkcs8)).map_err(|e| e.to_string())
    }
}

/// The JWK set of the issuers' public keys.
pub fn key_set<'a>(issuers: impl IntoIterator<Item = &'a Issuer>) -> String {
    json!({ "keys": issuers.into_iter().map(Issuer::jwk).collect::<Vec<_>>() }).to_string()
}
