//! Tokens as they come in on sockets: verified beside the desk, so that signatures cost it nothing, by a key set that
//! is read again whenever its file changes. A bad file is said once and the last good set stands.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kelpdoor_script::{Deployment, Tokens};
use kelpdoor_tokens::{KeySet, TokenRules, verify};
use tokio::time::sleep;

use crate::effect::TokenCheck;
use crate::rate_limiter::{RateDecision, RateLimiter};

pub struct Verifier {
    book: Tokens,
    rules: TokenRules,
    keys: RwLock<Arc<KeySet>>,
    /// Of the whole director: a flood of tokens over many sockets must not take its cores.
    gate: Mutex<RateLimiter>,
    from: Instant,
    /// Groups that need a token; others' are not looked at.
    groups: Vec<String>,
}

fn read(path: &Path) -> Result<(String, KeySet), String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let keys = KeySet::parse(&text).map_err(|e| e.to_string())?;
    Ok((text, keys))
}

impl Verifier {
    /// With the key set read; `None` where no group needs tokens.
    ///
    /// # Errors
    /// Where the key set is none.
    pub fn new(book: &Deployment) -> io::Result<Option<Arc<Self>>> {
        let groups: Vec<String> = book.groups.iter().filter(|g| g.token).map(|g| g.name.clone()).collect();
        let Some(tokens) = book.tokens.clone().filter(|_| !groups.is_empty()) else { return Ok(None) };
        let fault = |e| io::Error::other(format!("key set {}: {e}", tokens.keys.display()));
        let keys = read(&tokens.keys).map_err(fault)?.1;
        let rules = TokenRules {
            audience: tokens.audience.clone(),
            clock_error: tokens.clock_error,
            max_lifetime: tokens.longest,
        };
        Ok(Some(Arc::new(Verifier {
            rules,
            keys: RwLock::new(Arc::new(keys)),
            gate: Mutex::new(RateLimiter::new(tokens.a_second, 0.0)),
            from: Instant::now(),
            groups,
            book: tokens,
        })))
    }

    pub fn wanted(&self, group: &str) -> bool {
        self.groups.iter().any(|g| g == group)
    }

    /// The limit of one socket.
    pub fn socket_gate(&self) -> RateLimiter {
        RateLimiter::new(self.book.socket_a_second, self.from.elapsed().as_secs_f64())
    }

    /// Verifies a token, within the limits of its socket and of the director.
    pub fn look(&self, token: &str, socket: &mut RateLimiter) -> TokenCheck {
        let at = self.from.elapsed().as_secs_f64();
        let mut all = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        if socket.check(at) != RateDecision::Accepted || all.check(at) != RateDecision::Accepted {
            return TokenCheck::TooFast;
        }
        drop(all);
        let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner).clone();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        match verify(token, &keys, &self.rules, now) {
            Ok(e) => TokenCheck::Valid(Box::new(e)),
            Err(why) => TokenCheck::Refused(why.to_string()),
        }
    }

    /// Looks at the key set's file for as long as the director runs.
    pub async fn follow_keys(self: Arc<Self>) {
        let mut last = Err(String::new());
        loop {
            let path = self.book.keys.clone();
            let found = tokio::task::spawn_blocking(move || read(&path)).await;
            let (text, keys) = match found.unwrap_or_else(|e| Err(e.to_string())) {
                Ok((text, keys)) => (Ok(text), Some(keys)),
                Err(why) => (Err(why), None),
            };
            if text != last {
                match (&text, keys) {
                    (_, Some(keys)) => {
                        let ids: Vec<&str> = keys.ids().collect();
                        tracing::info!(?ids, "tokens are verified by these keys");
                        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
                    }
                    (Err(why), None) => {
                        tracing::error!(%why, "the key set is not taken; the last good one stands")
                    }
                    (Ok(_), None) => {}
                }
                last = text;
            }
            sleep(Duration::from_secs_f64(self.book.reread)).await;
        }
    }
}
