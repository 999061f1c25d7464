//! The limits that balancers are configured with and that the checker enforces.

use crate::time::{MS, Micros, SECOND};

/// The tolerance for network delays, which is added to time limits.
pub const NETWORK_TOLERANCE: Micros = 50 * MS;
/// The longest time between a decision and its first byte. Only polls of a few tasks lie between them.
pub const MAX_DECISION_TO_WRITE: Micros = MS;
/// The time for which attempts may still go to an endpoint after a drain notice or a manual ejection.
pub const DRAIN_GRACE: Micros = SECOND;
/// The fraction of its full capacity that an endpoint has when it starts.
pub const SLOW_START_INITIAL_FRACTION: f64 = 0.2;
/// The time after which a started endpoint has its full capacity.
pub const WARM_UP_TIME: Micros = 6 * SECOND;
/// The maximum ratio of the work sent to a warming endpoint in an overload window to its capacity in that
/// window.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// The length of the overload window.
pub const OVERLOAD_WINDOW: Micros = 1500 * MS;
/// The maximum number of attempts of one request.
pub const MAX_ATTEMPTS: usize = 3;
