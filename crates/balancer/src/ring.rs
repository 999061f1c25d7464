//! The task that calls the decisions when they asked to be called. It owns no other timer: those of connections
//! belong to the code that holds the connections.

use doorproxy::facade::{Facade, News};

use crate::world::World;

pub async fn ring<W: World>(world: W, facade: Facade) {
    loop {
        let Some(next) = facade.tick(world.now(), News::Nothing) else {
            facade.sooner().await;
            continue;
        };
        tokio::select! {
            biased;
            () = facade.sooner() => {}
            () = world.sleep_until(next) => {}
        }
    }
}
