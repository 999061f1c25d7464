//! Writes and reads the learned-state snapshot, a text from which the next process of the same balancer
//! continues.
//!
//! Each line is a keyword and its values. The keywords are part of the stored format. A snapshot holds
//! nothing that stays binding after it has become untrue. Lines that cannot be read, or that do not match the
//! settings and endpoints of this process, are skipped.

use std::fmt::Write as _;
use std::str::FromStr;

use crate::endpoint::EndpointTable;
use crate::ids::{EndpointId, EndpointKindId, Ticks, Timestamp};
use crate::policy::LearnedState;
use crate::route_table::{PoolIndex, RouteTable};
use crate::statistics::{RoundMedian, Sample};

/// Older work is irrelevant to how much an endpoint may be sent.
const WORK_RETENTION: Ticks = Ticks(40_000);
/// More lines than are ever written. The limit stops the reading of a file that is not a snapshot.
const MAX_LINES: usize = 50_000;

/// The keywords that start a line.
mod keywords {
    pub const COST_ESTIMATE: &str = "hint";
    pub const ROUND_MEDIAN: &str = "floor";
    pub const SAMPLE: &str = "sample";
    pub const SUSTAINED_WORK: &str = "borne";
    pub const SENT: &str = "sent";
    pub const ANSWERED: &str = "answered";
}

/// Writes the learned state.
pub fn write(now: Timestamp, learned: &LearnedState) -> String {
    let mut text = String::new();
    let mut line = |values: std::fmt::Arguments| {
        let _ = writeln!(text, "{values}");
    };
    let kind = |pool: PoolIndex| learned.routes.kinds.get(pool).map_or(u16::MAX, |kind| kind.0);
    for estimate in learned.statistics.cost_estimates.iter() {
        line(format_args!("{} {estimate}", keywords::COST_ESTIMATE));
    }
    for RoundMedian { pool, service_time } in learned.statistics.rounds.iter() {
        line(format_args!("{} {} {service_time}", keywords::ROUND_MEDIAN, kind(*pool)));
    }
    for sample in
        learned.statistics.samples.iter().filter(|sample| learned.endpoints.contains(sample.endpoint))
    {
        let Sample { at, endpoint, pool, duration, service_time, expected_secs } = sample;
        let (id, kind) = (learned.endpoints[*endpoint].id.0, kind(*pool));
        line(format_args!(
            "{} {} {id} {kind} {} {service_time} {expected_secs}",
            keywords::SAMPLE,
            at.0,
            duration.0
        ));
    }
    for (pool, sustained) in learned.sustained_work.by_pool.iter().enumerate() {
        if let Some(sustained) = sustained {
            line(format_args!("{} {} {sustained}", keywords::SUSTAINED_WORK, kind(pool)));
        }
    }
    for (_, endpoint) in learned.endpoints.ready() {
        for (word, log) in [(keywords::SENT, &endpoint.sent), (keywords::ANSWERED, &endpoint.answered)] {
            for (at, work) in log.since(now - WORK_RETENTION) {
                line(format_args!("{word} {} {} {work}", endpoint.id.0, at.0));
            }
        }
    }
    text
}

/// Restores the learned state from a text.
pub fn read(text: &str, now: Timestamp, learned: &mut LearnedState) {
    for line in text.lines().take(MAX_LINES) {
        let _ = read_line(&Fields::new(line), now, learned);
    }
    if !learned.statistics.samples.is_empty() {
        learned.statistics.summarize(learned.routes.pool_count(), false);
    }
}

/// Reads one line. Returns `None` if the line cannot be read or does not match this process.
fn read_line(fields: &Fields, now: Timestamp, learned: &mut LearnedState) -> Option<()> {
    let LearnedState { routes, statistics, sustained_work, endpoints } = learned;
    match fields.keyword() {
        keywords::COST_ESTIMATE => {
            statistics.cost_estimates.record(fields.amount(1)?, routes.small_pool_ratio);
        }
        keywords::ROUND_MEDIAN => {
            let (pool, service_time) = (fields.pool(1, routes)?, fields.amount(2)?);
            statistics.rounds.put(RoundMedian { pool, service_time });
        }
        keywords::SUSTAINED_WORK => {
            let (pool, sustained) = (fields.pool(1, routes)?, fields.amount(2)?);
            sustained_work.by_pool.resize(routes.pool_count(), None);
            sustained_work.by_pool[pool] = Some(sustained);
        }
        keywords::SAMPLE => {
            let sample = read_sample(fields, now, routes, endpoints)?;
            statistics.samples.put(sample);
            statistics.answer_count += 1;
        }
        word @ (keywords::SENT | keywords::ANSWERED) => {
            let index = endpoints.ready_index_of(EndpointId(fields.value(1)?))?;
            let endpoint = &mut endpoints[index];
            let log = if word == keywords::SENT { &mut endpoint.sent } else { &mut endpoint.answered };
            log.put(fields.past(2, now)?, WORK_RETENTION, fields.amount(3)?);
        }
        _ => {}
    }
    Some(())
}

fn read_sample(
    fields: &Fields,
    now: Timestamp,
    routes: &RouteTable,
    endpoints: &EndpointTable,
) -> Option<Sample> {
    Some(Sample {
        endpoint: endpoints.ready_index_of(EndpointId(fields.value(2)?))?,
        duration: fields.value(4).map(Ticks)?,
        service_time: fields.amount(5)?,
        expected_secs: fields.amount(6)?,
        pool: fields.pool(3, routes)?,
        at: fields.past(1, now)?,
    })
}

/// The keyword and values of one line.
struct Fields<'a>(Vec<&'a str>);

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Fields<'a> {
        Fields(line.split(' ').collect())
    }

    fn keyword(&self) -> &'a str {
        self.0[0]
    }

    fn value<T: FromStr>(&self, place: usize) -> Option<T> {
        self.0.get(place)?.parse().ok()
    }

    fn amount(&self, place: usize) -> Option<f64> {
        self.value::<f64>(place).filter(|amount| amount.is_finite() && *amount >= 0.0)
    }

    /// Returns a time that is not in the future. An entry from the future would never expire.
    fn past(&self, place: usize, now: Timestamp) -> Option<Timestamp> {
        self.value(place).map(Timestamp).filter(|&at| at <= now)
    }

    fn pool(&self, place: usize, routes: &RouteTable) -> Option<PoolIndex> {
        let kind = EndpointKindId(self.value(place)?);
        routes.kinds.iter().position(|&known| known == kind)
    }
}

#[cfg(test)]
mod tests;
