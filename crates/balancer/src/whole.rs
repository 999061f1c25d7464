//! The parts of a balancer put together, and how the sockets are shared out. It must never know what the parts do.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::http::StatusCode;
use doorproxy::facade::Facade;
use doorproxy::ids::{At, Span};
use doorproxy_recovery::uses::Source;
use tokio::sync::watch;

use crate::bans::Shelf;
use crate::control::{self, OfFleet, Operators, Readiness};
use crate::fellows::Fellows;
use crate::figures::Figures;
use crate::front::{self, Front};
use crate::given::Given;
use crate::keeping::Keeping;
use crate::list::{self, List};
use crate::succession::Signs;
use crate::upstreams::{Outlet, Times, Upstreams};
use crate::world::World;
use crate::{probes, ring};

/// Descriptors that the operators' address may use, where there is one: its listener, what its runtime itself opens,
/// its callers, and the file of those out by hand. No client and no upstream gets them.
pub const FOR_OPERATORS: usize = control::MOST_CALLERS + 6;

/// Of the shortest target: so long an answer that does not tell its length is held, for it may break. A longer one is judged
/// by its first bytes.
pub const HOLD: f64 = 0.25;

/// The decisions of one balancer, the connections on which they are carried out, and what the staff see and say.
#[derive(Clone)]
pub struct Parts<W: World> {
    pub facade: Facade,
    pub upstreams: Arc<Upstreams<W>>,
    pub list: Arc<Mutex<List>>,
    pub figures: Arc<Figures>,
    pub readiness: Arc<Readiness>,
    /// Only where a fleet file says that a state is kept.
    pub keeping: Option<Arc<Keeping>>,
    /// Only where it says that the others are known.
    pub fellows: Option<Arc<Fellows>>,
    /// Only beside them.
    pub of_fleet: Option<Arc<OfFleet>>,
    /// How many sockets clients and upstreams may share.
    pub sockets: usize,
}

pub fn parts<W: World>(world: &W, given: &Arc<Given>) -> Parts<W> {
    let hold = given.terms.least_target().times(HOLD);
    let times = Times { connect: given.connect_timeout, keepalive: given.keepalive, hold };
    let sockets = given.sockets - given.control.map_or(0, |_| FOR_OPERATORS);
    let mut names: Vec<(&String, &u16)> = given.categories.iter().collect();
    names.sort_by_key(|(_, place)| **place);
    let figures = Arc::new(Figures::new(names.into_iter().map(|(name, _)| name)));
    // The rest is for the list, the log and what the runtime itself opens.
    let passes = |status| status == StatusCode::OK;
    let upstreams = Upstreams::new(world.clone(), times, sockets * 5 / 16, figures.clone(), passes);
    let upstreams = Arc::new(upstreams);
    let outlet = Box::new(Outlet(upstreams.clone()));
    let facade = Facade::new(world.now(), given.seed, given.terms.clone(), outlet);
    let list = Arc::new(Mutex::new(List::new(given.clone())));
    Parts {
        facade,
        upstreams,
        list,
        figures,
        readiness: Arc::default(),
        keeping: None,
        fellows: None,
        of_fleet: None,
        sockets,
    }
}

impl<W: World> Parts<W> {
    /// From now on cold servers are left to another process of this balancer, or no longer.
    pub fn leave_cold(&self, now: At, since: Option<At>) {
        let mut list = self.list.lock().expect("no panic while the list is held");
        let rows = list.leave_cold(since);
        list::hand_on(now, &self.facade, &self.upstreams, &rows);
    }

    /// What the operators' address serves. Those out by hand are known before the list is.
    pub fn operators(&self, world: &W, shelf: Arc<dyn Shelf>) -> Operators<W> {
        let bans = control::read_bans(world, &*shelf);
        self.list.lock().expect("nobody else has the list yet").take_over(bans);
        let operators = Operators {
            world: world.clone(),
            facade: self.facade.clone(),
            upstreams: self.upstreams.clone(),
            list: self.list.clone(),
            figures: self.figures.clone(),
            readiness: self.readiness.clone(),
            keeping: self.keeping.clone(),
            fellows: self.fellows.clone(),
            shelf,
            of_fleet: self.of_fleet.clone(),
        };
        operators.begin();
        operators
    }
}

/// What a process is given where the platform holds the clients' socket.
pub struct Inherited<W: World> {
    pub listener: W::Listener,
    pub signs: Arc<dyn Signs>,
}

/// Serves until it is asked to end, then finishes what was taken. The list is followed to wherever the source says.
pub async fn serve<W: World>(
    world: W,
    parts: Parts<W>,
    given: Arc<Given>,
    source: watch::Receiver<SocketAddr>,
    inherited: Option<Inherited<W>>,
    grace: Span,
    ask: impl Future<Output = ()>,
) -> Result<(), String> {
    let Parts { facade, upstreams, list, readiness, keeping, .. } = parts.clone();
    let has_elder = inherited.as_ref().is_some_and(|inherited| inherited.signs.others().has_elder);
    {
        let mut list = list.lock().expect("no panic while the list is held");
        if has_elder {
            list.leave_cold(Some(world.now()));
        }
        let first = keeping.as_ref().map(|keeping| keeping.first_list(&given.known));
        let known = first.as_ref().map_or(&given.known, |(list, ..)| list);
        list::take(&world, &mut list, &facade, &upstreams, known);
        let is_kept = first.as_ref().is_some_and(|(_, source, _)| *source == Source::Folder);
        // A watch on the last list might tell nothing for long; on one that names nobody, for ever: what was kept of it is
        // its version alone. And a version that was kept may be one of another life of the service.
        if has_elder || known.servers.is_empty() || is_kept {
            list.forget_version();
        }
        if let (Some(keeping), Some((known, source, age))) = (&keeping, &first) {
            keeping.begins(&world, &facade, known, *source, *age);
        }
    }
    if let Some(keeping) = &keeping {
        world.spawn(keeping.clone().keep_on(world.clone(), facade.clone(), list.clone()));
    }
    world.spawn(ring::ring(world.clone(), facade.clone()));
    let place = given.terms.load_in_probes;
    world.spawn(probes::follow(world.clone(), facade.clone(), upstreams.clone(), place));
    world.spawn(list::follow(world.clone(), list, facade, upstreams, readiness, keeping, source));
    // The platform kills the process so long after SIGTERM as an op may take, where that is less.
    let grace = grace.min(given.terms.longest_ttl());
    front::serve(Front::new(world, given, parts, grace), inherited, has_elder, ask).await
}
