//! Implements the [`Runtime`] of balancers and sidecars on the simulation, for one process each.
//!
//! Test endpoints and clients use it as well. A balancer's runtime also has [`ConnectionHooks`], which
//! observe its connections and let a mutant change their behaviour.

use std::fmt::Arguments;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doorproxy::ids::Timestamp;
use doorproxy_balancer::runtime::Runtime;

use crate::addresses::host_of;
use crate::kernel::{HostId, ProcessId};
use crate::simulation::Simulation;
use crate::stream::{SimulatedListener, SimulatedStream};
use crate::time::{Micros, START_UNIX_MS};

/// Hooks between a balancer and the network.
pub trait ConnectionHooks: Send + Sync {
    /// Called before the balancer connects to an endpoint.
    fn on_connect(&self, destination: SocketAddr);

    /// Called before bytes are sent. If it returns a number, the network does not send the bytes, and that
    /// many count as written.
    fn intercept_send(&self, stream: &SimulatedStream, bytes: &[u8]) -> Option<usize>;

    /// Called after the network has accepted these bytes.
    fn on_sent(&self, stream: &SimulatedStream, bytes: &[u8]);

    /// Called when a read of the balancer finds no bytes and waits.
    fn on_read_pending(&self, stream: &SimulatedStream);

    /// Called after the balancer has closed its side.
    fn on_closed(&self, stream: &SimulatedStream);

    /// Called after an attempt has finished, with the name of its result.
    fn on_attempt_finished(&self, result: &'static str);
}

/// A handle to a process of the simulation; clones refer to the same process.
#[derive(Clone)]
pub struct SimulatedRuntime {
    /// The simulation that the process belongs to.
    pub simulation: Simulation,
    /// The number of the process.
    pub process: ProcessId,
    /// The host that it runs on.
    pub host: HostId,
    /// Its name in the trace.
    pub name: Arc<str>,
    /// The hooks, which only the runtime of a balancer has.
    pub hooks: Option<Arc<dyn ConnectionHooks>>,
}

impl SimulatedRuntime {
    /// Creates a process.
    pub fn new(simulation: &Simulation, host: HostId, name: &str) -> SimulatedRuntime {
        SimulatedRuntime {
            simulation: simulation.clone(),
            process: simulation.new_process(),
            host,
            name: name.into(),
            hooks: None,
        }
    }

    /// Waits for a duration, counted from the first poll.
    pub async fn sleep_micros(&self, duration: Micros) {
        self.simulation.sleep(duration).await;
    }

    /// Connects without calling the hooks.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused.
    pub async fn dial(&self, destination: SocketAddr) -> io::Result<SimulatedStream> {
        let destination_host = host_of(destination);
        let socket = self.simulation.state().connect(self.process, self.host, destination, destination_host);
        // Dropping the stream closes the connection, even before it is established.
        let stream = SimulatedStream { runtime: self.clone(), socket };
        poll_fn(|cx| self.simulation.state().network.poll_connected(cx, socket)).await?;
        Ok(stream)
    }
}

impl Runtime for SimulatedRuntime {
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;

    fn now(&self) -> Timestamp {
        Timestamp((START_UNIX_MS * 10 + self.simulation.now() / 100) as i64)
    }

    fn instant(&self) -> Instant {
        self.simulation.instant()
    }

    fn caught_up_to(&self) -> Timestamp {
        // Virtual time does not advance until all tasks have handled what has arrived.
        self.now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + Sync + 'static {
        self.simulation.sleep(duration.as_micros() as Micros)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.simulation.spawn(self.process, task);
    }

    async fn connect(&self, destination: SocketAddr) -> io::Result<SimulatedStream> {
        if let Some(hooks) = &self.hooks {
            hooks.on_connect(destination);
        }
        self.dial(destination).await
    }

    fn listen(&self, address: SocketAddr, _send_buffer: u32, backlog: u32) -> io::Result<SimulatedListener> {
        let mut state = self.simulation.state();
        state.network.listen(self.process, self.host, address, backlog as usize)?;
        Ok(SimulatedListener { runtime: self.clone(), address })
    }

    fn log(&self, line: Arguments) {
        let name = &self.name;
        self.simulation.state().kernel.record_log(format_args!("{name} logged: {line}"));
    }

    fn attempt_finished(&self, result: &'static str) {
        if let Some(hooks) = &self.hooks {
            hooks.on_attempt_finished(result);
        }
    }
}
