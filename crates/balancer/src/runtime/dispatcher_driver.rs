//! Runs the task that ticks the dispatcher at the times it asks for.

use doorproxy::dispatcher::{DiscoveryEvent, Dispatcher};

use crate::runtime::Runtime;

/// Ticks the dispatcher whenever it asks for it. Never returns.
pub async fn drive<R: Runtime>(runtime: R, dispatcher: Dispatcher) {
    loop {
        let Some(next_tick) = dispatcher.tick(runtime.now(), DiscoveryEvent::None) else {
            dispatcher.earlier_tick_wanted().await;
            continue;
        };
        tokio::select! {
            biased;
            () = dispatcher.earlier_tick_wanted() => {}
            () = runtime.sleep_until(next_tick) => {}
        }
    }
}
