//! Verifies entitlement tokens in the tasks of the players' sockets, so that checking signatures does not delay the
//! director's core. The key set is read again whenever its file changes. An invalid file is logged once, and the last valid
//! key set stays in use.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kelpdoor_script::{Deployment, Tokens};
use kelpdoor_tokens::{KeySet, TokenRules, verify};
use tokio::time::sleep;

use crate::effect::TokenCheck;
use crate::rate_limiter::{RateDecision, RateLimiter};

/// Verifies tokens with the current key set, within rate limits.
pub struct TokenVerifier {
    settings: Tokens,
    rules: TokenRules,
    keys: RwLock<Arc<KeySet>>,
    /// Rate limit of the whole director, so that a flood of tokens over many sockets does not use up its cores.
    rate_limiter: Mutex<RateLimiter>,
    started: Instant,
    /// Service groups that need a token; tokens for other groups are not verified.
    groups: Vec<String>,
}

/// Reads a key set; returns its text and its keys.
fn read_keys(path: &Path) -> Result<(String, KeySet), String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let keys = KeySet::parse(&text).map_err(|e| e.to_string())?;
    Ok((text, keys))
}

impl TokenVerifier {
    /// Reads the key set and creates a verifier; `None` if no group needs tokens.
    ///
    /// # Errors
    /// If the key set cannot be read or is invalid.
    pub fn new(deployment: &Deployment) -> io::Result<Option<Arc<Self>>> {
        let groups: Vec<String> =
            deployment.groups.iter().filter(|g| g.token).map(|g| g.name.clone()).collect();
        let Some(tokens) = deployment.tokens.clone().filter(|_| !groups.is_empty()) else { return Ok(None) };
        let error = |e| io::Error::other(format!("key set {}: {e}", tokens.keys.display()));
        let keys = read_keys(&tokens.keys).map_err(error)?.1;
        let rules = TokenRules {
            audience: tokens.audience.clone(),
            clock_error: tokens.clock_error,
            max_lifetime: tokens.longest,
        };
        Ok(Some(Arc::new(TokenVerifier {
            rules,
            keys: RwLock::new(Arc::new(keys)),
            rate_limiter: Mutex::new(RateLimiter::new(tokens.a_second, 0.0)),
            started: Instant::now(),
            groups,
            settings: tokens,
        })))
    }

    /// Whether sessions of this service group need a token.
    pub fn needs_token(&self, group: &str) -> bool {
        self.groups.iter().any(|g| g == group)
    }

    /// Creates the rate limiter of one socket.
    pub fn socket_rate_limiter(&self) -> RateLimiter {
        RateLimiter::new(self.settings.socket_a_second, self.started.elapsed().as_secs_f64())
    }

    /// Verifies a token, within the rate limits of its socket and of the director.
    pub fn verify(&self, token: &str, socket: &mut RateLimiter) -> TokenCheck {
        let at = self.started.elapsed().as_secs_f64();
        let mut director = self.rate_limiter.lock().unwrap_or_else(PoisonError::into_inner);
        if socket.check(at) != RateDecision::Accepted || director.check(at) != RateDecision::Accepted {
            return TokenCheck::TooFast;
        }
        drop(director);
        let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner).clone();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        match verify(token, &keys, &self.rules, now) {
            Ok(entitlement) => TokenCheck::Valid(Box::new(entitlement)),
            Err(why) => TokenCheck::Refused(why.to_string()),
        }
    }

    /// Reads the key set's file again at the configured interval, forever.
    pub async fn follow_keys(self: Arc<Self>) {
        let mut last = Err(String::new());
        loop {
            let path = self.settings.keys.clone();
            let read = tokio::task::spawn_blocking(move || read_keys(&path)).await;
            let (text, keys) = match read.unwrap_or_else(|e| Err(e.to_string())) {
                Ok((text, keys)) => (Ok(text), Some(keys)),
                Err(why) => (Err(why), None),
            };
            if text != last {
                match (&text, keys) {
                    (_, Some(keys)) => {
                        let ids: Vec<&str> = keys.ids().collect();
                        tracing::info!(?ids, "verifying tokens with new keys");
                        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
                    }
                    (Err(why), None) => {
                        tracing::error!(%why, "cannot use the key set; keeping the last valid one")
                    }
                    (Ok(_), None) => {}
                }
                last = text;
            }
            sleep(Duration::from_secs_f64(self.settings.reread)).await;
        }
    }
}
