use expect_test::expect;

use super::*;

/// The test prints the whole table, so that a review shows any change of it.
#[test]
fn the_validity_table_matches_its_snapshot() {
    let minute = Ticks(600_000);
    let ages = [
        ("monotonic, a minute", Age::Monotonic(minute)),
        ("monotonic, just over an hour", Age::Monotonic(Ticks(36_000_001))),
        ("wall clock, a minute", Age::WallClock(minute)),
        ("unknown", Age::Unknown),
    ];
    let mut table = String::new();
    for source in [
        FactSource::OwnObservation,
        FactSource::Discovery,
        FactSource::Configuration,
        FactSource::StateDirectory,
    ] {
        for (age_label, age) in ages {
            let allowed: Vec<String> = FactUse::ALL
                .into_iter()
                .filter(|fact_use| is_allowed(source, age, *fact_use))
                .map(|fact_use| format!("{fact_use:?}"))
                .collect();
            table += &format!("{source:?}, {age_label}: {}\n", allowed.join(" "));
        }
    }
    expect![[r#"
        OwnObservation, monotonic, a minute: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        OwnObservation, monotonic, just over an hour: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        OwnObservation, wall clock, a minute: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        OwnObservation, unknown: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        Discovery, monotonic, a minute: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        Discovery, monotonic, just over an hour: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        Discovery, wall clock, a minute: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        Discovery, unknown: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime RaiseSlowStartLimit
        Configuration, monotonic, a minute: SendRequests AvoidEndpoint ChargeWork
        Configuration, monotonic, just over an hour: SendRequests AvoidEndpoint ChargeWork
        Configuration, wall clock, a minute: SendRequests AvoidEndpoint ChargeWork
        Configuration, unknown: SendRequests AvoidEndpoint ChargeWork
        StateDirectory, monotonic, a minute: SendRequests AvoidEndpoint ChargeWork EstimateServiceTime
        StateDirectory, monotonic, just over an hour: AvoidEndpoint ChargeWork
        StateDirectory, wall clock, a minute: SendRequests AvoidEndpoint ChargeWork
        StateDirectory, unknown: SendRequests AvoidEndpoint ChargeWork
    "#]]
    .assert_eq(&table);
}
