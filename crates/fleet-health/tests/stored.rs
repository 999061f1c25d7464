//! Checks that a stored file of operator overrides, as a balancer wrote it, is read completely and written
//! again byte for byte.

use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::operator_overrides::OverrideRegister;
use expect_test::expect;

const STORED: &str = include_str!("../testdata/doorproxy-n0.words");
/// Holds a time after the file was written.
const NOW: Timestamp = Timestamp(17_962_886_100_000);

#[test]
fn stored_overrides_are_written_back_unchanged() {
    let decoded = OverrideRegister::decode(NOW, STORED);
    let mut text = format!("{} unreadable lines\n", decoded.unreadable_lines);
    for (name, registered) in decoded.register.iter() {
        let value = registered.value;
        let (version, author, learned_at) = (value.version, value.author.0, registered.learned_at.0);
        text += &format!(
            "{name}: version {version}, ejected {}, author {author:016x}, learned at {learned_at}\n",
            value.is_ejected
        );
    }
    expect![[r#"
        0 unreadable lines
        u4: version 1, ejected true, author 4231268ad9c56f7c, learned at 17962885982749
        u5: version 2, ejected false, author 57f5c5bab07a4beb, learned at 17962886027481
    "#]]
    .assert_eq(&text);
    assert_eq!(decoded.register.encode(), STORED);
}
