//! Pools the idle connections to one endpoint.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use doorproxy::ids::Timestamp;
use tokio::sync::Notify;

use crate::runtime::{Runtime, duration};
use crate::sync::lock;
use crate::upstream::connection::{Connector, UpstreamConnection};
use crate::upstream::reservation::Reservation;
use crate::upstream::response_check::ResponseTimes;

/// Interval between searches for expired connections, as a fraction of the idle timeout.
const SWEEP_INTERVAL_RATIO: f64 = 0.5;

struct IdleConnection {
    idle_since: Timestamp,
    connection: UpstreamConnection,
}

/// Holds the idle connections to one endpoint, and opens new ones. Dropping the pool closes the idle
/// connections.
pub(super) struct ConnectionPool<R: Runtime> {
    connector: Connector<R>,
    /// The idle connections, in the order in which they became idle.
    idle: Mutex<Vec<IdleConnection>>,
    has_sweeper: AtomicBool,
    idle_available: Notify,
}

impl<R: Runtime> ConnectionPool<R> {
    pub(super) fn new(connector: Connector<R>) -> Arc<ConnectionPool<R>> {
        Arc::new(ConnectionPool {
            connector,
            idle: Mutex::default(),
            has_sweeper: AtomicBool::new(false),
            idle_available: Notify::new(),
        })
    }

    pub(super) fn response_times(&self) -> &ResponseTimes {
        &self.connector.response_times
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        lock(&self.idle)
    }

    fn is_expired(&self, idle: &IdleConnection) -> bool {
        let is_ready = idle.connection.is_ready();
        !is_ready || self.connector.runtime.now() - idle.idle_since >= self.connector.idle_timeout
    }

    fn pop_idle(&self) -> Option<UpstreamConnection> {
        let mut idle = self.idle();
        idle.retain(|idle| !self.is_expired(idle));
        let latest = idle.iter().rposition(|idle| !idle.connection.reservation().is_reserved())?;
        Some(idle.remove(latest).connection)
    }

    async fn wait_for_idle(&self) -> UpstreamConnection {
        loop {
            self.idle_available.notified().await;
            if let Some(connection) = self.pop_idle() {
                return connection;
            }
        }
    }

    /// Returns an idle connection, or else the first one that becomes idle or is opened. `None` if none could
    /// be opened in time.
    pub(super) async fn acquire(self: &Arc<Self>) -> Option<UpstreamConnection> {
        if let Some(connection) = self.pop_idle() {
            return Some(connection);
        }
        let connector = self.connector.clone();
        let mut connecting = Box::pin(async move { connector.connect().await });
        tokio::select! {
            biased;
            connection = self.wait_for_idle() => {
                // The connection that is being opened is kept for a later request.
                let pool = self.clone();
                self.connector.runtime.spawn(async move {
                    if let Ok(connection) = connecting.await {
                        pool.add_idle(connection);
                    }
                });
                Some(connection)
            }
            connected = &mut connecting => connected.ok(),
        }
    }

    /// Returns the connection to the pool once the rest of the response on it has been read.
    pub(super) fn release(self: &Arc<Self>, mut connection: UpstreamConnection) {
        if connection.is_ready() {
            return self.add_idle(connection);
        }
        let pool = self.clone();
        self.connector.runtime.spawn(async move {
            if connection.wait_until_ready().await {
                pool.add_idle(connection);
            }
        });
    }

    /// Allows a reserved connection to be used again.
    pub(super) fn cancel_reservation(&self, reservation: Reservation) {
        reservation.cancel();
        self.idle_available.notify_one();
    }

    fn add_idle(self: &Arc<Self>, connection: UpstreamConnection) {
        let idle_since = self.connector.runtime.now();
        self.idle().push(IdleConnection { idle_since, connection });
        self.idle_available.notify_one();
        if !self.has_sweeper.swap(true, Ordering::Relaxed) {
            let sweeper = close_expired(self.connector.clone(), Arc::downgrade(self));
            self.connector.runtime.spawn(sweeper);
        }
    }
}

/// Closes expired connections until no idle one is left. Otherwise they would stay open on an endpoint that
/// gets no more requests.
async fn close_expired<R: Runtime>(connector: Connector<R>, pool: Weak<ConnectionPool<R>>) {
    loop {
        connector.runtime.sleep(duration(connector.idle_timeout.mul_f64(SWEEP_INTERVAL_RATIO))).await;
        let Some(pool) = pool.upgrade() else { return };
        let mut idle = pool.idle();
        idle.retain(|idle| !pool.is_expired(idle));
        if idle.is_empty() {
            pool.has_sweeper.store(false, Ordering::Relaxed);
            return;
        }
    }
}
