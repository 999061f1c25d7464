//! Checks overrides that arrive in any order, repeatedly and late, across partitions of whole fleets, and in
//! damaged files. All registers must converge, and a damaged file must never yield another override.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;
use doorproxy_fleet_health::gossip::{Message, Outgoing, OverrideGossip};
use doorproxy_fleet_health::operator_overrides::{
    MAX_OVERRIDES, Override, OverrideEntry, OverrideError, OverrideRegister,
};
use doorproxy_membership::message::NodeId;
use doorproxy_membership::outgoing::OutgoingMessage;
use proptest::prelude::*;

fn entry() -> impl Strategy<Value = OverrideEntry> {
    ("[a-d]", 1..4u64, any::<bool>(), 0..3u64).prop_map(|(endpoint, version, is_ejected, author)| {
        OverrideEntry { endpoint, value: Override { version, is_ejected, author: NodeId(author) } }
    })
}

fn shuffled(entries: &[OverrideEntry], seed: u64) -> Vec<OverrideEntry> {
    let mut rng = Pcg::new(seed);
    let mut shuffled = entries.to_vec();
    for index in (1..shuffled.len()).rev() {
        shuffled.swap(index, (rng.next_f64() * (index + 1) as f64) as usize);
    }
    shuffled
}

proptest! {
    /// Detects balancers that differ permanently after overrides reached them in different orders.
    #[test]
    fn the_same_overrides_in_any_order_converge(entries in prop::collection::vec(entry(), 0..40), seed: u64) {
        let mut register = OverrideRegister::default();
        register.merge_all(Timestamp(1), &entries);
        let mut other = OverrideRegister::default();
        other.merge_all(Timestamp(1), &shuffled(&entries, seed));
        other.merge_all(Timestamp(1), &entries);
        prop_assert_eq!(register.iter().collect::<Vec<_>>(), other.iter().collect::<Vec<_>>());
        prop_assert_eq!(register.digests(), other.digests());
    }

    /// A truncated or changed line must not eject another endpoint.
    #[test]
    fn a_damaged_file_yields_no_other_override(
        entries in prop::collection::vec(entry(), 1..20),
        cut in 0..400usize,
        place in 0..400usize,
        bit in 0..8u8,
    ) {
        let mut register = OverrideRegister::default();
        register.merge_all(Timestamp(7), &entries);
        let text = register.encode();
        let intact = OverrideRegister::decode(Timestamp(9), &text);
        prop_assert_eq!(intact.register.iter().collect::<Vec<_>>(), register.iter().collect::<Vec<_>>());
        prop_assert_eq!(intact.unreadable_lines, 0);
        let mut bytes = text.into_bytes();
        bytes.truncate(cut);
        if let Some(byte) = bytes.get_mut(place) {
            *byte ^= 1 << bit;
        }
        let damaged = OverrideRegister::decode(Timestamp(9), &String::from_utf8_lossy(&bytes));
        for (name, registered) in damaged.register.iter() {
            prop_assert_eq!(register.get(name), Some(registered.value));
        }
    }
}

#[test]
fn higher_versions_win_and_ejection_wins_ties() {
    let value = |version, is_ejected, author| Override { version, is_ejected, author: NodeId(author) };
    assert!(value(2, false, 1) > value(1, true, 9));
    assert!(value(2, true, 1) > value(2, false, 9));
    assert!(value(2, true, 2) > value(2, true, 1));
    let mut register = OverrideRegister::default();
    let author = NodeId(1);
    assert_eq!(register.set(Timestamp(1), "u1", true, author), Ok(value(1, true, 1)));
    assert_eq!(register.set(Timestamp(2), "u1", true, NodeId(2)), Ok(value(1, true, 1)));
    assert_eq!(register.set(Timestamp(3), "u1", false, author), Ok(value(2, false, 1)));
    assert_eq!(register.set(Timestamp(3), "u 1", true, author), Err(OverrideError::InvalidName));
    assert_eq!(register.ejected().count(), 0);
}

#[test]
fn the_register_is_bounded_and_never_drops_an_ejection() {
    let mut register = OverrideRegister::default();
    let author = NodeId(1);
    for n in 0..MAX_OVERRIDES {
        register.set(Timestamp(n as i64), &format!("u{n}"), true, author).unwrap();
    }
    assert_eq!(register.set(Timestamp(9), "one-more", true, author), Err(OverrideError::Full));
    for n in 0..10 {
        register.set(Timestamp(9_000 + n), &format!("u{n}"), false, author).unwrap();
    }
    for n in 0..10 {
        register.set(Timestamp(10_000), &format!("v{n}"), true, author).unwrap();
    }
    assert_eq!(register.iter().count(), MAX_OVERRIDES);
    assert_eq!(register.ejected().count(), MAX_OVERRIDES);
}

const PERIOD: Ticks = Ticks(10_000);
/// Sets the simulated time between two steps, which is also the delay of a datagram.
const STEP: Ticks = Ticks(500);
const PARTITION_END: i64 = 20 * PERIOD.0;
const RUN_END: i64 = 40 * PERIOD.0;

struct InFlight {
    arrives_at: i64,
    from: usize,
    to: usize,
    message: Message,
}

/// Simulates balancers of which a third can't reach the others until [`PARTITION_END`], while overrides are
/// set on both sides.
struct PartitionedFleet {
    rng: Pcg,
    loss_ratio: f64,
    now: i64,
    registers: Vec<OverrideRegister>,
    gossips: Vec<OverrideGossip>,
    in_flight: VecDeque<InFlight>,
    converged_at: Option<i64>,
    sent_after_convergence: usize,
}

struct ConvergenceReport {
    /// Counts the periods from the end of the partition until all registers were equal.
    periods: f64,
    /// Holds the number of datagrams that each balancer sent per period after that.
    datagrams_per_period: f64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1000
}

impl PartitionedFleet {
    fn new(seed: u64, count: usize, loss_ratio: f64) -> PartitionedFleet {
        let gossip = |index| OverrideGossip::new(Timestamp(0), seed ^ index as u64, PERIOD);
        PartitionedFleet {
            rng: Pcg::new(seed),
            loss_ratio,
            now: 0,
            registers: vec![OverrideRegister::default(); count],
            gossips: (0..count).map(gossip).collect(),
            in_flight: VecDeque::new(),
            converged_at: None,
            sent_after_convergence: 0,
        }
    }

    fn run(mut self, seed: u64) -> ConvergenceReport {
        for now in (0..RUN_END).step_by(STEP.0 as usize) {
            self.now = now;
            if now < PARTITION_END && now % PERIOD.0 == 0 {
                self.set_override();
            }
            self.tick_all();
            self.deliver_due();
            let is_equal =
                self.registers.iter().all(|register| register.digests() == self.registers[0].digests());
            if now >= PARTITION_END && self.converged_at.is_none() && is_equal {
                self.converged_at = Some(now);
            }
        }
        self.report(seed)
    }

    fn report(&self, seed: u64) -> ConvergenceReport {
        let count = self.registers.len();
        let Some(converged_at) = self.converged_at else {
            panic!("seed {seed}: the registers of {count} balancers did not converge");
        };
        let periods_left = (RUN_END - converged_at) as f64 / PERIOD.0 as f64;
        ConvergenceReport {
            periods: (converged_at - PARTITION_END) as f64 / PERIOD.0 as f64,
            datagrams_per_period: self.sent_after_convergence as f64 / periods_left / count as f64,
        }
    }

    fn set_override(&mut self) {
        let index = (self.rng.next_f64() * self.registers.len() as f64) as usize;
        let name = format!("u{}", (self.rng.next_f64() * 30.0) as u32);
        let is_ejected = self.rng.next_f64() < 0.6;
        let author = NodeId(index as u64);
        self.registers[index].set(Timestamp(self.now), &name, is_ejected, author).unwrap();
    }

    fn tick_all(&mut self) {
        let count = self.registers.len();
        let now = self.now;
        let is_cut = |from, to| now < PARTITION_END && (from < count / 3) != (to < count / 3);
        for index in 0..count {
            let peers = || (0..count).filter(|peer| *peer != index).map(address).collect();
            let result = self.gossips[index].tick(Timestamp(now), &self.registers[index], peers);
            self.send(index, result.outgoing, is_cut);
        }
    }

    fn deliver_due(&mut self) {
        let due_count = self.in_flight.iter().take_while(|sent| sent.arrives_at <= self.now).count();
        let due: Vec<InFlight> = self.in_flight.drain(..due_count).collect();
        for InFlight { from, to, message, .. } in due {
            let register = &mut self.registers[to];
            let now = Timestamp(self.now);
            let responses = self.gossips[to].on_message(now, address(from), &message, register);
            // The link of a response is open, since a request has just arrived over it.
            self.send(to, responses, |_, _| false);
        }
    }

    fn send(&mut self, from: usize, outgoing: Outgoing, is_cut: impl Fn(usize, usize) -> bool) {
        for OutgoingMessage { to, message } in outgoing {
            self.sent_after_convergence += usize::from(self.converged_at.is_some());
            let to = index_of(to);
            if !is_cut(from, to) && self.rng.next_f64() >= self.loss_ratio {
                self.in_flight.push_back(InFlight { arrives_at: self.now + STEP.0, from, to, message });
            }
        }
    }
}

/// Detects overrides that stay on their side of a partition, and datagrams that are sent
/// although all balancers have the same overrides.
#[test]
fn registers_converge_soon_after_a_partition() {
    for (count, loss_ratio, max_periods) in [(3, 0.0, 4.0), (12, 0.0, 6.0), (12, 0.3, 10.0), (100, 0.1, 8.0)]
    {
        let run = |seed| PartitionedFleet::new(seed, count, loss_ratio).run(seed);
        let reports: Vec<ConvergenceReport> = (0..6).map(run).collect();
        let longest = reports.iter().map(|report| report.periods).fold(0.0, f64::max);
        let cost = reports.iter().map(|report| report.datagrams_per_period).fold(0.0, f64::max);
        println!(
            "{count} balancers, loss {loss_ratio}: up to {longest:.1} periods, {cost:.2} datagrams per period"
        );
        assert!(longest <= max_periods, "{count} balancers, loss {loss_ratio}: {longest} periods");
        assert!(cost < 2.2, "{cost} datagrams per period and balancer");
    }
}
