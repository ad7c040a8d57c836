//! Entitlement tokens: JWTs (RFC 7519) signed with EdDSA over Ed25519 (RFC 8037) and verified against a JWK set
//! (RFC 7517) that may be replaced at any time. The crate does no I/O; the caller passes the time in, in seconds
//! since 1970.
//!
//! The crate checks times itself, since the JWT library ignores time claims of a wrong type. Here they have to be
//! present and be numbers.

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

/// Maximum size of a token in bytes; one with long names has about 500.
pub const MAX_TOKEN_BYTES: usize = 2048;
/// Maximum size of a name in a token, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The services that a token is meant for, one or several (RFC 7519, 4.1.3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Audience {
    One(String),
    Any(Vec<String>),
}

impl Audience {
    fn contains_name(&self, name: &str) -> bool {
        match self {
            Audience::One(audience) => audience == name,
            Audience::Any(audiences) => audiences.iter().any(|audience| audience == name),
        }
    }
}

/// The claims of a token. Times are NumericDate values (RFC 7519, 2).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    pub aud: Audience,
    pub school: String,
    /// The only service group that the token is valid for; any group if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// The class of seat if a school has several pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seat_class: Option<String>,
    /// Identifies a seat together with the school. A renewal has the same value and a later expiry.
    pub jti: String,
    pub iat: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    pub exp: f64,
}

/// What a verified token allows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entitlement {
    /// The pool of seats, as [`seat_pool`] names it.
    pub school: School,
    pub token: TokenId,
    pub group: Option<String>,
    /// Seconds since 1970.
    pub expires: f64,
}

/// The name of a pool of seats: the school, followed by a colon and the class of seat if there is one.
pub fn seat_pool(school: &str, class: Option<&str>) -> School {
    School(class.map_or_else(|| school.to_owned(), |class| format!("{school}:{class}")))
}

/// Why a token is refused. Players receive the message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TokenError {
    #[error("the token has {0} bytes, at most {MAX_TOKEN_BYTES} are allowed")]
    TooLong(usize),
    #[error("the token cannot be read ({0}): ask for a new one")]
    Garbled(&'static str),
    #[error("the token is signed by {0:?}, EdDSA is required: its issuer is misconfigured")]
    Algorithm(String),
    #[error("the token's key {0:?} is not known: ask for a new one")]
    UnknownKey(String),
    #[error("the token's signature does not match its key: ask for a new one")]
    Signature,
    #[error("the token is meant for another service: ask its issuer for one for this service")]
    Audience,
    #[error("the token is not valid for another {0:.0} s: try again then")]
    NotYet(f64),
    #[error("the token was issued {0:.0} s in the future: its issuer's clock is wrong")]
    IssuedAhead(f64),
    #[error("the token expired {0:.0} s ago: ask for a new one")]
    Expired(f64),
    #[error("the token is valid for {0:.0} s, longer than is accepted here: ask for a shorter one")]
    TooLasting(f64),
    #[error("the token's {0} is empty, too long, or contains a colon or control character")]
    Name(&'static str),
}

/// Requirements on tokens.
#[derive(Clone, Debug)]
pub struct TokenRules {
    pub audience: String,
    /// Largest accepted difference from the issuers' clocks, in seconds.
    pub clock_error: f64,
    /// Longest accepted time from issue to expiry, in seconds.
    pub max_lifetime: f64,
}

/// The JOSE header of a token.
#[derive(Deserialize)]
struct JoseHeader {
    alg: String,
    #[serde(default)]
    kid: Option<String>,
    #[serde(default)]
    crit: Option<serde_json::Value>,
}

fn parse_header(token: &str) -> Result<JoseHeader, TokenError> {
    let mut parts = token.split('.');
    let (Some(first), Some(_), Some(_), None) = (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(TokenError::Garbled("not three parts"));
    };
    let bytes =
        URL_SAFE_NO_PAD.decode(first).map_err(|_| TokenError::Garbled("its header is not base64url"))?;
    serde_json::from_slice(&bytes).map_err(|_| TokenError::Garbled("its header is not a JOSE header"))
}

fn check_name(field: &'static str, text: &str) -> Result<(), TokenError> {
    let valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && !text.contains(|c: char| c == ':' || c.is_control());
    if valid { Ok(()) } else { Err(TokenError::Name(field)) }
}

/// Verifies a token at the time `now`: its form, its signature, then its names, audience and times.
///
/// # Errors
/// The first violation found.
pub fn verify(token: &str, keys: &KeySet, rules: &TokenRules, now: f64) -> Result<Entitlement, TokenError> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::TooLong(token.len()));
    }
    let header = parse_header(token)?;
    if header.alg != "EdDSA" {
        return Err(TokenError::Algorithm(header.alg.chars().take(16).collect()));
    }
    if header.crit.is_some() {
        return Err(TokenError::Garbled("its header asks for extensions"));
    }
    let kid = header.kid.unwrap_or_default();
    let Some(key) = keys.get(&kid) else {
        return Err(TokenError::UnknownKey(kid.chars().take(64).collect()));
    };
    let mut validation = Validation::new(Algorithm::EdDSA);
    validation.required_spec_claims.clear();
    (validation.validate_exp, validation.validate_nbf, validation.validate_aud) = (false, false, false);
    let claims = decode::<Claims>(token, key, &validation).map_err(|e| match e.kind() {
        ErrorKind::InvalidSignature => TokenError::Signature,
        ErrorKind::Json(_) => TokenError::Garbled("a claim is missing or of a wrong type"),
        _ => TokenError::Garbled("its parts are not base64url"),
    })?;
    check_claims(claims.claims, rules, now)
}

fn check_claims(c: Claims, rules: &TokenRules, now: f64) -> Result<Entitlement, TokenError> {
    check_name("school", &c.school)?;
    check_name("jti", &c.jti)?;
    c.seat_class.as_deref().map_or(Ok(()), |class| check_name("seat_class", class))?;
    c.group.as_deref().map_or(Ok(()), |group| check_name("group", group))?;
    if !c.aud.contains_name(&rules.audience) {
        return Err(TokenError::Audience);
    }
    if c.iat > now + rules.clock_error {
        return Err(TokenError::IssuedAhead(c.iat - now));
    }
    if let Some(nbf) = c.nbf.filter(|nbf| *nbf > now + rules.clock_error) {
        return Err(TokenError::NotYet(nbf - now));
    }
    // No tolerance here: the seat is held until the expiry, and the keeper allows for clock errors.
    if c.exp <= now {
        return Err(TokenError::Expired(now - c.exp));
    }
    // Counted from the issue time, so that a token issued long in advance cannot exceed it; this also bounds `exp`.
    if c.exp - c.iat > rules.max_lifetime {
        return Err(TokenError::TooLasting(c.exp - c.iat));
    }
    let school = seat_pool(&c.school, c.seat_class.as_deref());
    Ok(Entitlement { school, token: TokenId(c.jti), group: c.group, expires: c.exp })
}
