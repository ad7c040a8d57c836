//! Entitlement tokens: JWT (RFC 7519) signed with EdDSA over Ed25519 (RFC 8037), verified against a key set (JWKS,
//! RFC 7517) that may be replaced at any time. No I/O, times passed in, seconds since 1970.
//!
//! Times are checked here and not by the JWT library: it passes over claims of a wrong type, and ours have to be
//! there and be numbers.

mod issue;
mod keys;

pub use issue::{Issuer, key_set};
pub use keys::{KeyError, KeySet, MAX_KEYS};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::errors::ErrorKind;
use jsonwebtoken::{Algorithm, Validation, decode};
use kelpdoor_seats::{School, TokenId};
use serde::{Deserialize, Serialize};

/// Bytes of a token at most; one with long names has some 500.
pub const MAX_TOKEN_BYTES: usize = 2048;
/// Bytes of a name within it at most.
const MAX_NAME: usize = 128;

/// Who a token is meant for, one or several (RFC 7519, 4.1.3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Audience {
    One(String),
    Any(Vec<String>),
}

impl Audience {
    fn holds(&self, name: &str) -> bool {
        match self {
            Audience::One(a) => a == name,
            Audience::Any(all) => all.iter().any(|a| a == name),
        }
    }
}

/// The claims of a token. Times as NumericDate (RFC 7519, 2).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    pub aud: Audience,
    pub school: String,
    /// The one group that it is good for; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// The kind of seat, where a school has several pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seat_class: Option<String>,
    /// With the school it names a seat. A renewal carries the same one and a later expiry.
    pub jti: String,
    pub iat: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    pub exp: f64,
}

/// What a token that was verified allows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entitlement {
    /// The pool of seats: the school, with the class of seat behind a colon where one is named.
    pub school: School,
    pub token: TokenId,
    pub group: Option<String>,
    pub expires: f64,
}

/// The name of the pool of a school's seats.
pub fn seat_pool(school: &str, class: Option<&str>) -> School {
    School(class.map_or_else(|| school.to_owned(), |class| format!("{school}:{class}")))
}

/// Why a token is refused, as the player hears it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TokenError {
    #[error("the token has {0} bytes, {MAX_TOKEN_BYTES} at most")]
    TooLong(usize),
    #[error("the token cannot be read ({0}): ask for a new one")]
    Garbled(&'static str),
    #[error("the token is signed by {0:?}, EdDSA is asked for: its issuer is set up wrongly")]
    Algorithm(String),
    #[error("the token's key {0:?} is not known: ask for a new one")]
    UnknownKey(String),
    #[error("the token's signature is not its key's: ask for a new one")]
    Signature,
    #[error("the token is meant for another service: ask its issuer for one for this")]
    Audience,
    #[error("the token is good in {0:.0} s only: try then")]
    NotYet(f64),
    #[error("the token was issued {0:.0} s from now: its issuer's clock is wrong")]
    IssuedAhead(f64),
    #[error("the token expired {0:.0} s ago: ask for a new one")]
    Expired(f64),
    #[error("the token is good for {0:.0} s, longer than is taken here: ask for a shorter one")]
    TooLasting(f64),
    #[error("the token's {0} is empty, too long, or holds a colon or control character")]
    Name(&'static str),
}

/// What tokens have to keep to.
#[derive(Clone, Debug)]
pub struct TokenRules {
    pub audience: String,
    /// s; clocks of issuers may differ from ours by so much.
    pub clock_error: f64,
    /// s; from issue to expiry at most.
    pub max_lifetime: f64,
}

#[derive(Deserialize)]
struct Head {
    alg: String,
    #[serde(default)]
    kid: Option<String>,
    #[serde(default)]
    crit: Option<serde_json::Value>,
}

fn head(token: &str) -> Result<Head, TokenError> {
    let mut parts = token.split('.');
    let (Some(first), Some(_), Some(_), None) = (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(TokenError::Garbled("not three parts"));
    };
    let bytes =
        URL_SAFE_NO_PAD.decode(first).map_err(|_| TokenError::Garbled("its header is no base64url"))?;
    serde_json::from_slice(&bytes).map_err(|_| TokenError::Garbled("its header is no JOSE header"))
}

fn name(field: &'static str, text: &str) -> Result<(), TokenError> {
    let good =
        !text.is_empty() && text.len() <= MAX_NAME && !text.contains(|c: char| c == ':' || c.is_control());
    if good { Ok(()) } else { Err(TokenError::Name(field)) }
}

/// Verifies a token: its form and names, its signature, then its times and audience.
///
/// # Errors
/// The first thing found wrong.
pub fn verify(token: &str, keys: &KeySet, rules: &TokenRules, now: f64) -> Result<Entitlement, TokenError> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::TooLong(token.len()));
    }
    let head = head(token)?;
    if head.alg != "EdDSA" {
        return Err(TokenError::Algorithm(head.alg.chars().take(16).collect()));
    }
    if head.crit.is_some() {
        return Err(TokenError::Garbled("its header asks for extensions"));
    }
    let kid = head.kid.unwrap_or_default();
    let Some(key) = keys.get(&kid) else {
        return Err(TokenError::UnknownKey(kid.chars().take(64).collect()));
    };
    let mut form = Validation::new(Algorithm::EdDSA);
    form.required_spec_claims.clear();
    (form.validate_exp, form.validate_nbf, form.validate_aud) = (false, false, false);
    let claims = decode::<Claims>(token, key, &form).map_err(|e| match e.kind() {
        ErrorKind::InvalidSignature => TokenError::Signature,
        ErrorKind::Json(_) => TokenError::Garbled("a claim is missing or of a wrong type"),
        _ => TokenError::Garbled("its parts are no base64url"),
    })?;
    check(claims.claims, rules, now)
}

fn check(c: Claims, rules: &TokenRules, now: f64) -> Result<Entitlement, TokenError> {
    name("school", &c.school)?;
    name("jti", &c.jti)?;
    c.seat_class.as_deref().map_or(Ok(()), |class| name("seat_class", class))?;
    c.group.as_deref().map_or(Ok(()), |group| name("group", group))?;
    if !c.aud.holds(&rules.audience) {
        return Err(TokenError::Audience);
    }
    if c.iat > now + rules.clock_error {
        return Err(TokenError::IssuedAhead(c.iat - now));
    }
    if let Some(nbf) = c.nbf.filter(|nbf| *nbf > now + rules.clock_error) {
        return Err(TokenError::NotYet(nbf - now));
    }
    // No grace here: the seat is counted to the expiry, and the keeper allows for clocks.
    if c.exp <= now {
        return Err(TokenError::Expired(now - c.exp));
    }
    // From its issue, so that one long signed ahead is no way round it; it also bounds what `exp` may be.
    if c.exp - c.iat > rules.max_lifetime {
        return Err(TokenError::TooLasting(c.exp - c.iat));
    }
    let school = seat_pool(&c.school, c.seat_class.as_deref());
    Ok(Entitlement { school, token: TokenId(c.jti), group: c.group, expires: c.exp })
}
