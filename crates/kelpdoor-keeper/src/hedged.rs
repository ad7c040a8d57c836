//! Opening a connection to a peer that may be slow, or silent for good.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout};

/// Opens a connection with `open`, which has no time limit of its own. If that takes longer than `delay`, further ones are
/// tried beside it, one at a time and each for `limit`. Returns the first that opens, and drops the others.
///
/// Thus a peer that takes any time is heard from the first attempt, and a first attempt that stays silent for good does not
/// hold off one that opens within `limit`.
///
/// # Errors
/// What the first attempt failed with. Failures of further ones are passed over.
pub async fn open_hedged<T, E, F: Future<Output = Result<T, E>>>(
    delay: Duration, limit: Duration, open: impl Fn() -> F,
) -> Result<T, E> {
    let mut first = std::pin::pin!(open());
    if let Ok(opened) = timeout(delay, &mut first).await {
        return opened;
    }
    let further = async {
        loop {
            let next_at = Instant::now() + limit;
            if let Ok(Ok(opened)) = timeout(limit, open()).await {
                return opened;
            }
            sleep_until(next_at).await;
        }
    };
    tokio::select! {
        opened = first => opened,
        opened = further => Ok(opened),
    }
}
