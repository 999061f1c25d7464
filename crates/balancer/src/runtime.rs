//! Defines what the balancer needs from its environment: time, tasks, connections and a log. The same code
//! runs on the system's sockets and clock ([`system`]) and in the deterministic simulation.

pub mod dispatcher_driver;
mod hyper;
mod inherit;
pub mod log;
pub mod stall_detector;
pub mod system;

use std::fmt::Arguments;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use ::hyper::rt::{Read, Write};
use doorproxy::ids::{Ticks, Timestamp};

pub use self::hyper::HyperRuntime;
pub use inherit::{InheritError, inherit_listener};

/// Maximum time that a call past its deadline waits for its input to be read: a saturated event loop may never
/// have read all of it.
const MAX_READ_TIME: Ticks = Ticks(3_000);
/// Interval at which such a call checks whether all input has been read.
const READ_INTERVAL: Ticks = Ticks(10);

/// States what is traced in the log, for finding faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceTopic {
    /// The attempts, with their connections to endpoints.
    Attempts,
    /// The connections of clients.
    Connections,
    /// The final responses to requests.
    Requests,
}

/// Provides the clock, tasks, sockets and the log.
pub trait Runtime: Clone + Send + Sync + Unpin + 'static {
    /// Represents a connection.
    type Stream: Stream;
    /// Represents a listener.
    type Listener: Listener<Stream = Self::Stream>;

    /// Returns the Unix time, which never goes backwards and is comparable with the start times in the
    /// endpoint list.
    fn now(&self) -> Timestamp;

    /// Returns the time of the same clock in the type that libraries use.
    fn instant(&self) -> Instant;

    /// Returns a time such that all input that had arrived by then has been read: since that time, the event
    /// loop has finished its work and polled again.
    fn caught_up_to(&self) -> Timestamp;

    /// Waits for this time.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + Send + Sync + 'static;

    /// Starts a task that runs concurrently with its caller.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static);

    /// Opens a connection to an address.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Opens a listener. `send_buffer` is the size of the send buffer of accepted connections in bytes, and
    /// `backlog` the number of connections that may wait to be accepted.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    fn listen(&self, at: SocketAddr, send_buffer: u32, backlog: u32) -> io::Result<Self::Listener>;

    /// Reports the result of an attempt. Does nothing unless the runtime counts results, as the simulation
    /// does.
    fn attempt_finished(&self, _result: &'static str) {}

    /// Writes a log line without blocking.
    fn log(&self, line: Arguments);

    /// Writes a log line about a change of the process's state without blocking. It does not count against the limit
    /// on the rate of other lines.
    fn log_state(&self, line: Arguments) {
        self.log(line);
    }

    /// Returns whether a topic is traced in the log.
    fn traces(&self, _topic: TraceTopic) -> bool {
        false
    }

    /// Writes a trace line without blocking. Does nothing unless the runtime traces.
    fn log_trace(&self, _line: Arguments) {}

    /// Returns the time until `at`, or zero if `at` has passed.
    fn time_until(&self, at: Timestamp) -> Duration {
        duration(at - self.now())
    }

    /// Waits until `at`.
    fn sleep_until(&self, at: Timestamp) -> impl Future<Output = ()> + Send + Sync + 'static {
        self.sleep(self.time_until(at))
    }

    /// Returns the output of `call`, or drops `call` and returns `None` if it takes longer than `limit`.
    fn timeout<F: Future + Send>(
        &self,
        limit: Duration,
        call: F,
    ) -> impl Future<Output = Option<F::Output>> + Send
    where
        F::Output: Send,
    {
        let sleep = self.sleep(limit);
        async move {
            tokio::select! {
                biased;
                output = call => Some(output),
                () = sleep => None,
            }
        }
    }

    /// Returns the output of `call`, or drops `call` and returns `None` if it has none by `deadline`. After the
    /// process was stopped, input that came in time may be read only after the deadline. It still counts, unless
    /// reading all input takes too long.
    fn timeout_at<F: Future + Send>(
        &self,
        deadline: Timestamp,
        call: F,
    ) -> impl Future<Output = Option<F::Output>> + Send
    where
        F::Output: Send,
    {
        async move {
            let mut call = pin!(call);
            let mut output = self.timeout(self.time_until(deadline), call.as_mut()).await;
            let read_until = self.now() + MAX_READ_TIME;
            while output.is_none() && self.caught_up_to() < deadline && self.now() < read_until {
                output = self.timeout(duration(READ_INTERVAL), call.as_mut()).await;
            }
            output
        }
    }
}

/// Reads and writes one connection. The HTTP libraries use it through hyper's traits; tasks that share a
/// connection use the methods that take `&self`.
pub trait Stream: Read + Write + Unpin + Send + Sync + 'static {
    /// Reads into `into`, and returns 0 once the other side has shut down its writing.
    fn poll_recv(&self, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>>;

    /// Writes the buffers in order, and returns how many bytes were written.
    fn poll_send(&self, cx: &mut Context, bytes: &[IoSlice]) -> Poll<io::Result<usize>>;

    /// Shuts down the writing side once everything that was written is sent.
    fn shutdown_write(&self);

    /// Returns whether there is nothing to read: no bytes, no end of stream and no error. Makes a system
    /// call.
    fn is_idle(&self) -> bool;

    /// Returns whether the other side has shut down its writing or the connection is broken, even if bytes
    /// are still unread.
    fn is_read_closed(&self) -> bool;

    /// Returns whether the connection is known to have ended, with nothing before the end that was read. May make a
    /// system call.
    fn has_ended(&self) -> bool {
        !self.is_idle() && self.is_read_closed()
    }
}

/// Accepts connections on an address.
pub trait Listener: Send + Sync + 'static {
    /// Represents an accepted connection.
    type Stream: Stream;

    /// Waits for the next connection and returns it.
    ///
    /// This method is cancel safe.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Returns a connection from the backlog, if there is one. Makes a system call.
    fn try_accept(&self) -> Option<Self::Stream>;

    /// Returns the address it listens on.
    ///
    /// # Errors
    ///
    /// Fails if the system does not report the address.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// Converts ticks to a standard duration; negative values become zero.
pub fn duration(ticks: Ticks) -> Duration {
    ticks.into()
}

/// Writes a formatted line to the log of a [`Runtime`].
#[macro_export]
macro_rules! log_line {
    ($runtime:expr, $($line:tt)*) => {
        $crate::runtime::Runtime::log(&$runtime, format_args!($($line)*))
    };
}

/// Writes a formatted line about a change of the process's state to the log of a [`Runtime`].
#[macro_export]
macro_rules! state_line {
    ($runtime:expr, $($line:tt)*) => {
        $crate::runtime::Runtime::log_state(&$runtime, format_args!($($line)*))
    };
}
