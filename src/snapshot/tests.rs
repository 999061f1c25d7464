use super::*;
use crate::effects::{EndpointStatus, EndpointUpdate};
use crate::endpoint::Endpoint;
use crate::ids::{CellId, ZoneId};
use crate::policy::SustainedWork;
use crate::statistics::Statistics;

const NOW: Timestamp = Timestamp(1_000_000);

struct Process {
    routes: RouteTable,
    statistics: Statistics,
    sustained_work: SustainedWork,
    endpoints: EndpointTable,
}

impl Process {
    /// Lists two endpoints of one of two kinds in the given order, as a process does at its start.
    fn new(ids: [u32; 2]) -> Process {
        let kinds = vec![EndpointKindId(3), EndpointKindId(1)];
        let routes = RouteTable { kinds, range_ends: Vec::new(), small_pool_ratio: 0.3 };
        let mut endpoints = EndpointTable::default();
        for id in ids {
            let update = EndpointUpdate {
                endpoint: EndpointId(id),
                kind: EndpointKindId(3),
                zone: ZoneId(0),
                cell: CellId(0),
                weight: 1.0,
                status: EndpointStatus::Ready,
                started_at: None,
            };
            endpoints.insert(Endpoint::new(NOW, &update, 0, 5.0, 0.0));
        }
        let (statistics, sustained_work) = (Statistics::default(), SustainedWork::default());
        Process { routes, statistics, sustained_work, endpoints }
    }

    fn learned(&mut self) -> LearnedState<'_> {
        let Process { routes, statistics, sustained_work, endpoints } = self;
        LearnedState { routes, statistics, sustained_work, endpoints }
    }
}

#[test]
fn snapshot_is_restored_and_invalid_lines_are_skipped() {
    let mut previous = Process::new([7, 8]);
    for at in 0..20 {
        previous.statistics.cost_estimates.record(0.01 * f64::from(at + 1), previous.routes.small_pool_ratio);
        let endpoint = previous.endpoints.ready_index_of(EndpointId(8)).unwrap();
        let at = NOW - Ticks(400 - i64::from(at));
        let sample =
            Sample { at, endpoint, pool: 0, duration: Ticks(300), service_time: 1.5, expected_secs: 0.2 };
        previous.statistics.record_sample(sample, Ticks(30_000), 2);
        previous.endpoints[endpoint].sent.put(at, WORK_RETENTION, 0.25);
        previous.endpoints[endpoint].answered.put(at, WORK_RETENTION, 0.5);
    }
    previous.sustained_work.by_pool = vec![None, Some(0.75)];
    let text = write(NOW, &previous.learned());
    // The endpoints are listed in reverse order, and invalid lines come first.
    let invalid = format!("sent 9 {0} 1\nsent 7 {1} 1\nborne 4 1\nhint -1\nsample\n\n", NOW.0, NOW.0 + 1);
    let mut next = Process::new([8, 7]);
    read(&(invalid + &text), NOW, &mut next.learned());
    assert_eq!(write(NOW, &next.learned()), text);
    let summary = next.statistics.summary.expect("a summary of the restored samples");
    let median = summary.pools[0].map(|service_times| service_times.median);
    assert_eq!((summary.median_duration, median), (Ticks(300), Some(1.5)));
}
