//! Tests the findings in invalid fleet files, and the configurations that valid ones give.

use doorproxy_config::fleet::{CheckedFleetConfig, check};
use expect_test::expect;

#[test]
fn fleet_files_give_a_configuration_or_findings() {
    let texts = [
        "",
        "[state]\nfolder = \"/var/lib/doorproxy\"\nevery = \"250ms\"\n",
        "[state]\nevery = \"1h\"\n",
        "[state]\nfolder = \"state\"\nevry = \"1s\"\n",
        "[stat]\nfolder = \"/s\"\n",
        "state = \"/s\"\n",
        "[state\n",
        "[peers]\ncluster = \"q\"\nlisten = \"10.0.0.4:5002\"\nkey = \"/k\"\nkeepers = { n0 = \"10.0.0.4:5002\", n1 = \"10.0.0.5:5002\", n2 = \"10.0.0.6:5002\" }\nreserve = 0.25\n",
        "[peers]\ncluster = \"q\"\nlisten = \"10.0.0.4\"\nkey = \"k\"\nreserve = 0.9\n",
        "[peers]\ncluster = \"q\"\nlisten = \"10.0.0.4:5002\"\nkey = \"/k\"\nkeepers = { n0 = \"10.0.0.4:5002\", n1 = \"10.0.0.4:5002\" }\n",
        "[leases]\nlength = \"30s\"\npermits = { restart = 2, probe = 0 }\n",
        "[limits]\nlength = \"1m\"\n[limits.tenants]\nacme = { rate = 0, strict = true, floor = 1 }\nb = { burst = 5 }\nc = 7\n",
        "[limits]\n",
        "[verdicts]\nlength = \"0s\"\n",
        "[peers]\ncluster = \"q\"\nlisten = \"10.0.0.4:5002\"\nkey = \"/k\"\nkeepers = { n0 = \"10.0.0.4:5002\", n1 = \"10.0.0.5:5002\", n2 = \"10.0.0.6:5002\" }\n\
        [limits.tenants]\na = { rate = 100 }\nb = { rate = 2.5, strict = true }\nc = { rate = 10, burst = 50, floor = 0.5 }\n",
    ];
    let results = texts.map(|text| {
        let CheckedFleetConfig { config, findings } = check(text);
        let findings: String = findings.iter().map(|finding| finding.render("fleet.toml", text)).collect();
        format!("{config:?}\n{findings}")
    });
    expect![[r#"
        Some(FleetConfig { state: None, peers: None, leases: None, quotas: None, fault_reports: None })
        --
        Some(FleetConfig { state: Some(StateConfig { directory: "/var/lib/doorproxy", interval: 250ms }), peers: None, leases: None, quotas: None, fault_reports: None })
        --
        None
        error[missing-field]: state is missing the required field folder
          --> fleet.toml:1:1
        1 | [state]
            ^^^^^^^
        error[bad-unit]: every of state: "1h" is not a duration in ms, s or m, such as "600ms", "1.5s" or "2m"
          --> fleet.toml:2:9
        2 | every = "1h"
                    ^^^^
        --
        None
        error[out-of-bounds]: folder of state must be an absolute path, not "state"
          --> fleet.toml:2:10
        2 | folder = "state"
                     ^^^^^^^
        error[unknown-field]: state has no field "evry"; did you mean "every"?
          --> fleet.toml:3:1
        3 | evry = "1s"
            ^^^^
        --
        None
        error[unknown-field]: the file has no field "stat"; did you mean "state"?
          --> fleet.toml:1:2
        1 | [stat]
             ^^^^
        --
        None
        error[wrong-type]: state must be a table, not a string
          --> fleet.toml:1:9
        1 | state = "/s"
                    ^^^^
        --
        None
        error[not-toml]: the file is not valid TOML: unclosed table, expected `]`
          --> fleet.toml:1:7
        1 | [state
                  ^
        --
        Some(FleetConfig { state: None, peers: Some(PeersConfig { cluster: "q", listen_address: 10.0.0.4:5002, advertised_address: 10.0.0.4:5002, key_file: "/k", zone: "", seeds: [], registry_replicas: {"n0": 10.0.0.4:5002, "n1": 10.0.0.5:5002, "n2": 10.0.0.6:5002}, protocol_period: 1s, membership_lease_duration: 3s, clock_drift_ratio: 0.05, reserve_ratio: Some(0.25) }), leases: None, quotas: None, fault_reports: None })
        --
        None
        warning[missing-field]: peers has neither seeds nor keepers, so the balancer finds no peer until one contacts it
          --> fleet.toml:1:1
        1 | [peers]
            ^^^^^^^
        error[bad-address]: listen of peers must be an IP address and a port, such as "10.0.0.4:5002", not "10.0.0.4"
          --> fleet.toml:3:10
        3 | listen = "10.0.0.4"
                     ^^^^^^^^^^
        error[out-of-bounds]: key of peers must be an absolute path, not "k"
          --> fleet.toml:4:7
        4 | key = "k"
                  ^^^
        error[out-of-bounds]: reserve of peers must be between 0.05 and 0.5
          --> fleet.toml:5:11
        5 | reserve = 0.9
                      ^^^
        --
        None
        error[out-of-bounds]: keepers of peers must be 3, 5 or 7 balancers, or none, not 2: a majority must agree
          --> fleet.toml:5:11
        5 | keepers = { n0 = "10.0.0.4:5002", n1 = "10.0.0.4:5002" }
                      ^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^^
        error[duplicate-name]: keepers n0 and n1 have the same address, 10.0.0.4:5002
          --> fleet.toml:5:35
        5 | keepers = { n0 = "10.0.0.4:5002", n1 = "10.0.0.4:5002" }
                                              ^^
        --
        None
        error[missing-field]: leases needs keepers in peers: three, five or seven balancers, a majority of which must agree
          --> fleet.toml:1:1
        1 | [leases]
            ^^^^^^^^
        error[out-of-bounds]: permit probe must be the number of balancers that can hold it at a time, from 1 to 16
          --> fleet.toml:3:34
        3 | permits = { restart = 2, probe = 0 }
                                             ^
        --
        None
        error[missing-field]: limits needs keepers in peers: three, five or seven balancers, a majority of which must agree
          --> fleet.toml:1:1
        1 | [limits]
            ^^^^^^^^
        error[out-of-bounds]: length of limits must be between 200ms and 10s
          --> fleet.toml:2:10
        2 | length = "1m"
                     ^^^^
        error[out-of-bounds]: rate of tenant acme must be between 0.1 and 1000000
          --> fleet.toml:4:17
        4 | acme = { rate = 0, strict = true, floor = 1 }
                            ^
        error[out-of-bounds]: tenant acme has both strict and floor; remove one of them
          --> fleet.toml:4:43
        4 | acme = { rate = 0, strict = true, floor = 1 }
                                                      ^
        error[missing-field]: tenant b is missing the required field rate, the requests per second of the whole fleet
          --> fleet.toml:5:5
        5 | b = { burst = 5 }
                ^^^^^^^^^^^^^
        error[wrong-type]: tenant c must be a table, not a whole number
          --> fleet.toml:6:5
        6 | c = 7
                ^
        --
        None
        warning[missing-field]: limits has no tenants, so no request is limited
          --> fleet.toml:1:1
        1 | [limits]
            ^^^^^^^^
        error[missing-field]: limits needs keepers in peers: three, five or seven balancers, a majority of which must agree
          --> fleet.toml:1:1
        1 | [limits]
            ^^^^^^^^
        --
        None
        error[missing-field]: verdicts needs keepers in peers: three, five or seven balancers, a majority of which must agree
          --> fleet.toml:1:1
        1 | [verdicts]
            ^^^^^^^^^^
        error[out-of-bounds]: length of verdicts must be between 1s and 60s
          --> fleet.toml:2:10
        2 | length = "0s"
                     ^^^^
        --
        Some(FleetConfig { state: None, peers: Some(PeersConfig { cluster: "q", listen_address: 10.0.0.4:5002, advertised_address: 10.0.0.4:5002, key_file: "/k", zone: "", seeds: [], registry_replicas: {"n0": 10.0.0.4:5002, "n1": 10.0.0.5:5002, "n2": 10.0.0.6:5002}, protocol_period: 1s, membership_lease_duration: 3s, clock_drift_ratio: 0.05, reserve_ratio: None }), leases: None, quotas: Some(QuotasConfig { contact_timeout: 1s, allocator_lease: 2s, tenants: {"a": QuotaConfig { rate: 100.0, burst: 20.0, when_disconnected: EvenShare }, "b": QuotaConfig { rate: 2.5, burst: 1.0, when_disconnected: Strict }, "c": QuotaConfig { rate: 10.0, burst: 50.0, when_disconnected: Floor(0.5) }} }), fault_reports: None })
    "#]].assert_eq(&results.join("--\n"));
}
