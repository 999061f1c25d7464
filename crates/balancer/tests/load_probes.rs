//! Tests the parser for load reports of endpoints, which are JSON arrays or objects.

use doorproxy_balancer::upstream::load_probes::parse_load;

#[test]
fn load_is_parsed_by_index_or_name_or_rejected() {
    let reports = ["[0.5, 3]", r#"{"active": 3, "waiting": 1}"#, "[3]", "[0, -1]", "{", "7", r#"[0, "3"]"#];
    let parsed = reports.map(|report| parse_load(report.as_bytes(), 1));
    assert_eq!(parsed, [Some(3.0), Some(3.0), None, None, None, None, None]);
}
