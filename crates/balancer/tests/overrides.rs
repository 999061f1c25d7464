//! Tests the file of manual overrides, both intact and damaged.

use doorproxy::ids::Timestamp;
use doorproxy_balancer::admin::overrides::ManualOverrides;
use expect_test::expect;

const NAMES: [&str; 3] = ["s-1", "s-22", "s-3"];

fn describe(overrides: &ManualOverrides) -> String {
    let ejected: Vec<&str> = NAMES.into_iter().filter(|name| overrides.is_ejected(name)).collect();
    let restored: Vec<(&str, i64)> =
        NAMES.into_iter().filter_map(|name| Some((name, overrides.restored_since(name)?.0))).collect();
    let others = overrides.changed_names(&ManualOverrides::default()).len() - ejected.len() - restored.len();
    format!("ejected {ejected:?} restored {restored:?} others {others}")
}

#[test]
fn intact_lines_of_a_damaged_file_are_kept() {
    let mut overrides = ManualOverrides::default();
    for name in NAMES {
        assert!(overrides.eject(name));
    }
    overrides.restore("s-3", Timestamp(70), Timestamp(0));
    let whole = overrides.encode();
    let mut trace = whole.clone();
    let truncated = &whole[..whole.len() - 3];
    let texts =
        [whole.as_str(), truncated, &whole.replace("out s-22", "out s-2"), "\u{fffd}\u{0}\nout \n", ""];
    for text in texts {
        let decoded = ManualOverrides::decode(text);
        trace += &format!("{} damaged {}\n", describe(&decoded.overrides), decoded.damaged_lines);
    }
    expect![[r#"
        out s-1 efbbead5
        out s-22 bb182252
        back 70 s-3 25ec3279
        ejected ["s-1", "s-22"] restored [("s-3", 70)] others 0 damaged 0
        ejected ["s-1", "s-22"] restored [] others 0 damaged 1
        ejected ["s-1"] restored [("s-3", 70)] others 0 damaged 1
        ejected [] restored [] others 0 damaged 2
        ejected [] restored [] others 0 damaged 0
    "#]]
    .assert_eq(&trace);
}
