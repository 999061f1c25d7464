//! The executor of a run. Every process, whether balancer or test endpoint, is a set of its tasks.
//!
//! Virtual time advances to the next event only when no task is ready. The task to poll next is drawn from
//! the ready tasks with the random numbers of the seed.

mod sockets;

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use crate::kernel::{Event, EventKey, Kernel, ProcessId};
use crate::network::Network;
use crate::time::{MS, Micros};

/// The number of polls at one virtual time after which a run counts as livelocked.
const MAX_POLLS_WITHOUT_PROGRESS: u64 = 400_000;
/// A process that is starved of CPU time stalls at one in this many polls.
const STALL_ONE_IN: u64 = 40;
/// The exclusive upper bound of a stall.
const MAX_STALL: Micros = 12 * MS;

type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

struct Task {
    process: ProcessId,
    /// The future of the task, or `None` while it is polled.
    future: Option<TaskFuture>,
    waker: Arc<TaskWaker>,
}

/// Puts one task into the ready queue, unless it is there already.
struct TaskWaker {
    task: u64,
    is_queued: AtomicBool,
    ready_queue: Arc<Mutex<Vec<u64>>>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_queued.swap(true, Ordering::Relaxed) {
            self.ready_queue.lock().expect("no panic while the queue is locked").push(self.task);
        }
    }
}

/// A task that is being polled.
struct RunningTask {
    future: TaskFuture,
    waker: Arc<TaskWaker>,
}

/// The mutable state of a run.
pub struct SimulationState {
    /// The clock, the random numbers, the events and the trace.
    pub kernel: Kernel,
    /// The connections and the segments in transit.
    pub network: Network,
    tasks: BTreeMap<u64, Task>,
    ended_processes: Vec<ProcessId>,
    last_task_id: u64,
    last_process_id: u32,
    polls_without_progress: u64,
    /// The processes that are starved of CPU time, and the number of faults that cause this.
    starved_processes: BTreeMap<ProcessId, u32>,
    stalled_until: BTreeMap<ProcessId, Micros>,
}

impl SimulationState {
    /// Draws an integer from 0 up to, but not including, the limit.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.kernel.random_below(limit)
    }

    /// Starts or ends one fault that starves a process of CPU time.
    pub fn set_cpu_starved(&mut self, process: ProcessId, is_starved: bool) {
        let count = self.starved_processes.entry(process).or_default();
        *count = if is_starved { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.starved_processes.remove(&process);
        }
    }

    /// Takes a task's future to poll it. Returns `None` if the task has ended or its process is stalled.
    fn take_task(&mut self, id: u64) -> Option<RunningTask> {
        let process = self.tasks.get(&id)?.process;
        if let Some(&until) = self.stalled_until.get(&process)
            && until > self.kernel.now
        {
            self.kernel.schedule(until, Event::Resume(id));
            return None;
        }
        let is_starved = self.starved_processes.contains_key(&process);
        if is_starved && self.random_below(STALL_ONE_IN) == 0 {
            let until = self.kernel.now + self.random_below(MAX_STALL);
            self.stalled_until.insert(process, until);
        }
        let task = self.tasks.get_mut(&id)?;
        let future = task.future.take()?;
        Some(RunningTask { future, waker: task.waker.clone() })
    }
}

/// A handle to a run; clones refer to the same run.
#[derive(Clone)]
pub struct Simulation {
    state: Arc<Mutex<SimulationState>>,
    ready_queue: Arc<Mutex<Vec<u64>>>,
    /// The instant that corresponds to virtual time 0.
    started_at: Instant,
}

/// The reason why a run stopped.
#[derive(Debug, PartialEq)]
pub enum StopReason {
    /// The end time was reached, or the caller's condition was met.
    Reached,
    /// Tasks kept waking each other while virtual time did not advance.
    Livelock,
}

impl Simulation {
    /// Creates a run without processes. The text of its trace is kept only if `keeps_trace_text` is set.
    pub fn new(seed: u64, keeps_trace_text: bool) -> Simulation {
        let state = SimulationState {
            kernel: Kernel::new(seed, keeps_trace_text),
            network: Network::default(),
            tasks: BTreeMap::new(),
            ended_processes: Vec::new(),
            last_task_id: 0,
            last_process_id: 0,
            polls_without_progress: 0,
            starved_processes: BTreeMap::new(),
            stalled_until: BTreeMap::new(),
        };
        Simulation {
            state: Arc::new(Mutex::new(state)),
            ready_queue: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Locks the state. The lock is not re-entrant: no stream may be dropped and no sleep created while it is
    /// held.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn state(&self) -> MutexGuard<'_, SimulationState> {
        self.state.lock().expect("no panic while the state is locked")
    }

    fn ready_queue(&self) -> MutexGuard<'_, Vec<u64>> {
        self.ready_queue.lock().expect("no panic while the queue is locked")
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Micros {
        self.state().kernel.now
    }

    /// Returns the virtual time as an [`Instant`].
    pub fn instant(&self) -> Instant {
        self.started_at + Duration::from_micros(self.now())
    }

    /// Returns a new process ID.
    pub fn new_process(&self) -> ProcessId {
        let mut state = self.state();
        state.last_process_id += 1;
        ProcessId(state.last_process_id)
    }

    /// Starts a task of a process. If the process has ended, the task is dropped at once.
    pub fn spawn(&self, process: ProcessId, future: impl Future<Output = ()> + Send + 'static) {
        let mut state = self.state();
        if state.ended_processes.contains(&process) {
            drop(state);
            return drop(future);
        }
        state.last_task_id += 1;
        let task = state.last_task_id;
        let is_queued = AtomicBool::new(false);
        let waker = Arc::new(TaskWaker { task, is_queued, ready_queue: self.ready_queue.clone() });
        waker.wake_by_ref();
        state.tasks.insert(task, Task { process, future: Some(Box::pin(future)), waker });
    }

    /// Ends a process at its current await points: its tasks are dropped in the order of their numbers. Its
    /// connections must be reset before this call, or dropping the tasks would close them gracefully.
    pub fn end_process(&self, process: ProcessId) {
        let mut state = self.state();
        state.ended_processes.push(process);
        let tasks = std::mem::take(&mut state.tasks);
        let (ended, left): (BTreeMap<u64, Task>, _) =
            tasks.into_iter().partition(|(_, task)| task.process == process);
        state.tasks = left;
        drop(state);
        drop(ended);
    }

    /// Drops every task and event, because they hold handles that would keep the run alive.
    pub fn shut_down(&self) {
        loop {
            let mut state = self.state();
            let tasks = std::mem::take(&mut state.tasks);
            let events = std::mem::take(&mut state.kernel.events);
            drop(state);
            if tasks.is_empty() && events.is_empty() {
                return;
            }
            drop(tasks);
            drop(events);
        }
    }

    /// Returns the number of tasks of a process that have not ended.
    pub fn task_count(&self, process: ProcessId) -> usize {
        self.state().tasks.values().filter(|task| task.process == process).count()
    }

    /// Returns a future that completes after a duration, counted from this call.
    pub fn sleep(&self, duration: Micros) -> Sleep {
        let wake_at = self.now().saturating_add(duration);
        Sleep { simulation: self.clone(), wake_at, timer: None }
    }

    /// Runs until the end time, or until `is_over`, which is called after every poll, returns true.
    pub fn run_until(&self, end: Micros, is_over: impl Fn() -> bool) -> StopReason {
        loop {
            while let Some(task) = self.take_random_ready() {
                self.poll_task(task);
                if is_over() {
                    return StopReason::Reached;
                }
                let mut state = self.state();
                state.polls_without_progress += 1;
                if state.polls_without_progress > MAX_POLLS_WITHOUT_PROGRESS {
                    return StopReason::Livelock;
                }
            }
            if !self.advance(end) {
                return StopReason::Reached;
            }
        }
    }

    /// Advances to the time of the next event and handles every event of that time. Returns false if there is
    /// none until the end time.
    fn advance(&self, end: Micros) -> bool {
        let mut guard = self.state();
        let state = &mut *guard;
        let next = state.kernel.events.first_key_value().map(|(key, _)| key.at);
        let Some(due) = next.filter(|&due| due <= end) else {
            state.kernel.now = end.max(state.kernel.now);
            return false;
        };
        state.kernel.now = due;
        state.polls_without_progress = 0;
        while let Some(entry) = state.kernel.events.first_entry().filter(|entry| entry.key().at <= due) {
            match entry.remove() {
                Event::Wake(waker) => waker.wake(),
                Event::Resume(task) => self.ready_queue().push(task),
                Event::Arrival(socket) => state.network.deliver(&mut state.kernel, socket),
            }
        }
        true
    }

    fn take_random_ready(&self) -> Option<u64> {
        let mut state = self.state();
        let mut ready = self.ready_queue();
        if ready.is_empty() {
            return None;
        }
        let index = state.random_below(ready.len() as u64) as usize;
        Some(ready.swap_remove(index))
    }

    fn poll_task(&self, id: u64) {
        let Some(RunningTask { mut future, waker }) = self.state().take_task(id) else { return };
        waker.is_queued.store(false, Ordering::Relaxed);
        let waker = Waker::from(waker);
        let is_done = future.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut state = self.state();
        if is_done {
            state.tasks.remove(&id);
        } else if let Some(task) = state.tasks.get_mut(&id) {
            task.future = Some(future);
            return;
        }
        // Dropping the future may lock the state, so the lock is released first.
        drop(state);
        drop(future);
    }
}

/// A future that completes at a virtual time.
pub struct Sleep {
    simulation: Simulation,
    wake_at: Micros,
    /// The key of the timer event, from the first poll on. Later polls keep the event's place in the queue.
    timer: Option<EventKey>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        let mut state = self.simulation.state();
        if state.kernel.now >= self.wake_at {
            return Poll::Ready(());
        }
        let event = Event::Wake(cx.waker().clone());
        let key = match self.timer {
            Some(key) => {
                state.kernel.events.insert(key, event);
                key
            }
            None => state.kernel.schedule(self.wake_at, event),
        };
        drop(state);
        self.timer = Some(key);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.timer {
            self.simulation.state().kernel.events.remove(&key);
        }
    }
}
