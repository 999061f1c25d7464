//! What a balancer is told once, at its start.

use crate::ids::{At, CategoryId, Span, ZoneId};
use crate::rng::mix;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Redeliverable,
    Deduplicated { group: DedupGroup, window: Span },
    AtMostOnce,
}

impl Repeats {
    /// What a failure may lose, the least first.
    pub fn risk(self) -> u8 {
        match self {
            Repeats::Redeliverable => 0,
            Repeats::Deduplicated { .. } => 1,
            Repeats::AtMostOnce => 2,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Category {
    pub benefit: f64,
    pub target_latency: Span,
    /// The target latency grows by this multiple of the op's own work.
    pub target_stretch: f64,
    pub ttl: Span,
    /// The part of the benefit that an answer after the target still has.
    pub late_benefit: f64,
    pub repeats: Repeats,
}

#[derive(Clone, Debug)]
pub struct ColdStart {
    /// Of what one bears beyond what it finishes, the part that the balancers may use among which it is shared.
    pub part: f64,
    pub least_share: f64,
    pub warm_within: Span,
    pub fall_multiple: f64,
    pub fall_window: Span,
}

#[derive(Clone, Debug)]
pub struct StartTerms {
    pub categories: Vec<Category>,
    /// Ops a second of each tenant, through all balancers, that carry full benefit.
    pub tenant_shares: Vec<f64>,
    pub balancers: u32,
    /// The place of this one among them, from 0.
    pub ordinal: u32,
    pub overage_benefit: f64,
    pub max_pushes: u16,
    pub second_copies: bool,
    pub cancelling: bool,
    /// A push may begin so much later than it was decided on, where a connection has to come up first.
    pub connect_within: Span,
    /// The longest stay-away that clients follow; none where they are given no such advice.
    pub longest_stay_away: Option<Span>,
    /// Where servers say how many ops they hold, but only when probed: the place of that among a report's values.
    pub load_in_probes: Option<usize>,
    /// Neither connections that stand open nor new ones are charged for.
    pub connections_free: bool,
    /// What one probe for each op costs, as a part of all benefit.
    pub probe_price: f64,
    /// The zone of this balancer, where it was told.
    pub zone: Option<ZoneId>,
    pub list_must_be_asked: bool,
    /// A server that the list drops without having called it draining may still be pushed to.
    pub only_draining_binds: bool,
    pub ask_within: Span,
    pub cold: ColdStart,
}

/// How discovery is asked. Whatever call fails, is refused or is given up, a change binds [`Asking::TOLD_WITHIN`] after discovery
/// had it and could be reached: every row of waits that may lie between the two fits within that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asking {
    /// A watch that has nothing to tell is answered after so long.
    pub wait: Span,
    /// One that has told nothing for so much longer has fallen silent. All watches of a fleet may do so at one moment, and
    /// discovery works calls through in turn: each balancer has its own part of it.
    pub overdue: Span,
}

impl Asking {
    pub const TOLD_WITHIN: Span = Span(60_000);
    /// Discovery itself gives up a call that has waited for so long.
    pub const ANSWERED_WITHIN: Span = Span(20_000);
    /// A call for the whole list that has told nothing for so long is given up.
    pub const CALL: Span = Span(22_000);
    /// The longest time from a call that failed to the next.
    pub const PAUSE: Span = Span(12_000);
    const LONGEST_WAIT: Span = Span(20_000);
    /// Later than by these an answer is late that only had a busy process to pass.
    const OVERDUE: (Span, Span) = (Span(4_000), Span(4_000));

    fn of(ask_within: Span, chance: f64) -> Asking {
        let wait = ask_within.times(0.5).clamp(Self::LONGEST_WAIT.times(0.5), Self::LONGEST_WAIT);
        let (least, spread) = Self::OVERDUE;
        Asking { wait, overdue: least + spread.times(chance) }
    }

    /// A watch that tells nothing is given up after so long.
    pub fn watch(&self) -> Span {
        self.wait + self.overdue
    }
}

impl ColdStart {
    /// The part of a cold server's lawful work that is used. Its capacity is a guess by others of its kind, and
    /// one server that falls over costs more than some that idle for seconds.
    const MARGIN: f64 = 0.8;

    /// Work that all balancers together may send one of this share within any window, where warm ones of its kind
    /// bear so much work in a window.
    pub fn budget(&self, share: f64, borne: f64) -> f64 {
        self.fall_multiple * share * Self::MARGIN * borne
    }

    /// After an op that one turned away: so long it could have been sent as much again.
    pub fn rest(&self) -> Span {
        self.fall_window.times(1.0 / self.fall_multiple.max(1.0))
    }

    /// Seconds of one core: what all balancers together may have sent one of this share within any window beyond
    /// what it finishes in it. A server has a core at the least.
    pub fn beyond(&self, share: f64) -> f64 {
        (self.fall_multiple - 1.0) * share * Self::MARGIN * self.fall_window.secs() * self.part
    }

    /// The part of its capacity that a server is sure to have by now.
    pub fn share(&self, now: At, up_since: Option<At>) -> f64 {
        let Some(since) = up_since else { return 1.0 };
        let warmed = (now - since).secs() / self.warm_within.secs().max(1e-4);
        (self.least_share + (1.0 - self.least_share) * warmed).clamp(0.0, 1.0)
    }
}

impl StartTerms {
    pub fn category(&self, id: CategoryId) -> &Category {
        &self.categories[usize::from(id.0)]
    }

    pub fn knows(&self, category: CategoryId) -> bool {
        usize::from(category.0) < self.categories.len()
    }

    /// The load that a report tells of, where servers tell it to probes.
    pub fn load_in(&self, report: &[f64]) -> Option<f64> {
        let load = self.load_in_probes.and_then(|place| report.get(place)).copied();
        load.filter(|load| load.is_finite() && *load >= 0.0)
    }

    pub fn longest_ttl(&self) -> Span {
        self.categories.iter().map(|category| category.ttl).max().unwrap_or(Span::ZERO)
    }

    pub fn least_target(&self) -> Span {
        self.categories.iter().map(|category| category.target_latency).min().unwrap_or(Span::ZERO)
    }

    pub fn longest_target(&self) -> Option<Span> {
        self.categories.iter().map(|category| category.target_latency).max()
    }

    pub fn best_benefit(&self) -> f64 {
        self.categories.iter().map(|category| category.benefit).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// The same at each start of a balancer.
    pub fn asking(&self, seed: u64) -> Asking {
        let chance = mix(seed ^ u64::from(self.ordinal)) as f64 / u64::MAX as f64;
        Asking::of(self.ask_within, chance)
    }

    /// One balancer's part of what all of them may do together.
    pub fn each(&self, together: f64) -> f64 {
        together / f64::from(self.balancers.max(1))
    }
}
