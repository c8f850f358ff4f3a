//! Ends connections of callers that do not read a streamed response.
//!
//! A body is asked for more only when what it gave before has been written, so a response that its
//! caller does not read cannot end itself. It would keep the connection to its target open, and the
//! target busy, for as long as the caller stays.

use std::future::pending;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time for a response to end by itself.
const END_MARGIN: Duration = Duration::from_millis(100);

/// Until when the response that is being streamed on a connection may last; `None` without one.
#[derive(Clone, Debug)]
pub(crate) struct StreamDeadline(watch::Sender<Option<Instant>>);

/// Marks a response as being streamed until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard(StreamDeadline);

impl StreamDeadline {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(None))
    }

    /// Begins a response that may last until `deadline`.
    pub(crate) fn begin(&self, deadline: Instant) -> StreamGuard {
        self.0.send_replace(Some(deadline));
        StreamGuard(self.clone())
    }

    /// Waits until a response has lasted longer than it may.
    pub(crate) async fn passed(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let deadline = *changes.borrow_and_update();
            let passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline + END_MARGIN).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = passed => return,
                // The sender lives as long as this future, so there is no error.
                _ = changes.changed() => {}
            }
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.0.send_replace(None);
    }
}
