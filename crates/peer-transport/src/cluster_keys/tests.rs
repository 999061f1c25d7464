use super::*;

#[test]
fn a_key_file_holds_one_or_two_complete_keys() {
    let a = "0a".repeat(32);
    let b = "F0".repeat(32);
    let outcome = |text: &str| match ClusterKeys::parse(text) {
        Ok(keys) => format!("{keys:?}"),
        Err(error) => error.to_string(),
    };
    assert_eq!(outcome(&format!("# of May\n{a}\n")), "1 keys");
    assert_eq!(outcome(&format!("{a}\n\n{b}\n")), "2 keys");
    assert_eq!(outcome(""), "no key, one or two lines of 64 hexadecimal digits expected");
    assert_eq!(outcome(&format!("{a}\n{b}\n{a}\n")), "3 keys, one or two expected");
    let short = format!("{a}\n{}", &b[1..]);
    assert_eq!(outcome(&short), "line 2: not a key (63 characters), exactly 64 hexadecimal digits expected");
    assert!(!outcome(&short).contains(&b[1..]), "the error contains a key");
    assert!(ClusterKeys::parse(&"é".repeat(32)).is_err());
}
