//! Finds out whether a client that has sent more than is read ahead has closed its connection, before its next request
//! begins. The close lies behind the unread input, but the client's system resets the connection once the response to the
//! request before reaches it.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use doorproxy::ids::{Ticks, Timestamp};

use crate::http::connection::ClientConnection;
use crate::runtime::{Runtime, Stream};

/// Time in which a reset of the client arrives after a response was sent to it.
const RESET_TIME: Duration = Duration::from_millis(20);
/// If the request before took less than this, a close that it did not show is recent enough for the next one to begin.
const MAX_UNCHECKED_TIME: Ticks = Ticks(500);

/// Tracks whether unread input may hide a close.
#[derive(Default)]
pub(super) struct HiddenCloseCheck {
    has_unread_input: bool,
    /// Time at which the latest request of the connection began.
    last_began_at: Timestamp,
    wait: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl HiddenCloseCheck {
    /// Records that input was left unread.
    pub(super) fn on_unread_input(&mut self) {
        self.has_unread_input = true;
    }

    /// Returns whether the client has closed the connection, after the time in which this shows. Otherwise the next
    /// request begins now.
    pub(super) fn poll_is_closed<R: Runtime>(
        &mut self,
        cx: &mut Context,
        client: &ClientConnection<R>,
        stream: &R::Stream,
    ) -> Poll<bool> {
        let now = client.now();
        let is_due = self.has_unread_input && now - self.last_began_at > MAX_UNCHECKED_TIME;
        if is_due || self.wait.is_some() {
            let wait = self.wait.get_or_insert_with(|| Box::pin(client.sleep(RESET_TIME)));
            ready!(wait.as_mut().poll(cx));
            self.wait = None;
        }
        let is_closed = std::mem::take(&mut self.has_unread_input) && stream.is_read_closed();
        self.last_began_at = client.now();
        Poll::Ready(is_closed)
    }
}
