//! The parts of a balancer put together, and how the sockets are shared out. It must never know what the parts do.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::http::StatusCode;
use doorproxy::facade::{Facade, News};
use doorproxy::ids::Span;
use tokio::sync::watch;

use crate::front::{self, Front};
use crate::given::Given;
use crate::list::{self, List};
use crate::upstreams::{Outlet, Times, Upstreams};
use crate::world::World;
use crate::{probes, ring};

/// The decisions of one balancer, and the connections on which they are carried out.
pub fn parts<W: World>(world: &W, given: &Given) -> (Facade, Arc<Upstreams<W>>) {
    let times = Times { connect: given.connect_timeout, keepalive: given.keepalive };
    // The rest is for the list, the log and what the runtime itself opens.
    let upstreams = Arc::new(Upstreams::new(world.clone(), times, given.sockets * 5 / 16, |status| {
        status == StatusCode::OK
    }));
    let outlet = Box::new(Outlet(upstreams.clone()));
    (Facade::new(world.now(), given.seed, given.terms.clone(), outlet), upstreams)
}

/// Serves until it is asked to end, then finishes what was taken. The list is followed to wherever the source says.
pub async fn serve<W: World>(
    world: W,
    (facade, upstreams): (Facade, Arc<Upstreams<W>>),
    given: Arc<Given>,
    source: watch::Receiver<SocketAddr>,
    grace: Span,
    ask: impl Future<Output = ()>,
) -> Result<(), String> {
    let mut list = List::new(given.clone());
    let (rows, addresses) = list.rows(&given.known);
    list.tell(&world, &given.known, &rows);
    upstreams.follow(&rows, &addresses, true);
    facade.tick(world.now(), News::Whole(&rows));
    world.spawn(ring::ring(world.clone(), facade.clone()));
    let place = given.terms.load_in_probes;
    world.spawn(probes::follow(world.clone(), facade.clone(), upstreams.clone(), place));
    world.spawn(list::follow(world.clone(), list, facade.clone(), upstreams.clone(), source));
    // The platform kills the process so long after SIGTERM as an op may take, where that is less.
    let grace = grace.min(given.terms.longest_ttl());
    front::serve(Front::new(world, given, facade, upstreams, grace), ask).await
}
