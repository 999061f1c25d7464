//! Tests the check of sidecar files with invalid and valid edits of the example.

use doorproxy_config::check::check;
use doorproxy_config::finding::{Code, Position};
use doorproxy_config::generate::generate;
use expect_test::expect;
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../examples/sidecar.toml");

/// Lists invalid edits of the example: the code of the expected finding, the text to replace, and its
/// replacement. An @ in the replacement marks the position of the finding, and is removed before the check.
const INVALID_EDITS: &[(&str, &str, &str)] = &[
    ("not-toml", "name = \"charts\"", "name = @charts"),
    ("not-toml", "[limits]", "@[limits"),
    ("not-toml", "share = 100", "share = @"),
    ("unknown-field", "ttl = \"2s\"", "@tll = \"2s\""),
    ("unknown-field", "[limits]", "[limits]\n@socket = 5"),
    ("unknown-field", "name = \"charts\"", "@nam = \"charts\""),
    ("unknown-field", "methods = [\"POST\"]", "methods = [\"POST\"]\n@method = \"POST\""),
    ("missing-field", "repeats = \"never\"\n", ""),
    ("missing-field", "path = \"/search\"\n", ""),
    ("missing-field", "address = \"127.0.0.1:5001\"", ""),
    ("wrong-type", "sockets = 1024", "sockets = @\"many\""),
    ("wrong-type", "share = 100", "share = @true"),
    ("wrong-type", "path = \"/search\"", "path = @7"),
    ("out-of-bounds", "sockets = 1024", "sockets = @10"),
    ("out-of-bounds", "share = 100", "share = @-1"),
    ("out-of-bounds", "keepalive = \"60s\"", "keepalive = @\"10ms\""),
    ("out-of-bounds", "held = \"64KiB\"", "held = @\"128KiB\""),
    ("out-of-bounds", "repeats = \"always\"", "repeats = @\"allways\""),
    ("out-of-bounds", "unrouted = \"not-found\"", "unrouted = @\"proxy\""),
    ("bad-unit", "body = \"64KiB\"", "body = @\"64KB\""),
    ("bad-unit", "connect = \"250ms\"", "connect = @\"250\""),
    ("bad-unit", "ttl = \"2s\"", "ttl = @\"2 s\""),
    ("bad-unit", "to = \"3f\"", "to = @\"3g\""),
    ("bad-address", "address = \"127.0.0.1:5001\"", "address = @\"localhost:5001\""),
    ("bad-address", "address = \"127.0.0.1:6002\"", "address = @\"127.0.0.1\""),
    ("bad-pattern", "path = \"/search\"", "path = @\"/search*\""),
    ("bad-pattern", "hosts = [\"quotes.example\"]", "hosts = [@\"quotes example\"]"),
    ("bad-pattern", "methods = [\"POST\"]", "methods = [@\"post\"]"),
    ("unknown-category", "category = \"order\"", "category = @\"oder\""),
    (
        "unknown-category",
        "methods = [\"POST\"]\ncategory = \"read\"",
        "methods = [\"POST\"]\ncategory = @\"search\"",
    ),
    ("unknown-pool", "pool = \"quotes\"\nttl", "pool = @\"quote\"\nttl"),
    ("unknown-pool", "pool = \"quotes\"\nkey = \"path:id\"", "pool = @\"orders\"\nkey = \"path:id\""),
    ("unknown-tenant", "tenant = \"fixed:hanbit\"", "tenant = @\"fixed:hanbyt\""),
    ("unknown-tenant", "key = \"path:id\"", "key = \"path:id\"\ntenant = @\"fixed:acme\""),
    ("unknown-parameter", "key = \"path:id\"", "key = @\"path:number\""),
    ("unknown-parameter", "path = \"/search\"", "path = \"/search\"\nkey = @\"path:id\""),
    ("unknown-host", "{ name = \"quote-07.gasan.example.org\"", "{ name = @\"quote-07.gasan.exampel.org\""),
    ("unknown-host", "hosts = [\"quotes.example\"]", "hosts = [@\"qoutes.example\"]"),
    ("empty-pool", "[pool.quotes]", "[pool.@spare]\nservers = []\n\n[pool.quotes]"),
    ("empty-pool", "[pool.quotes]", "[pool.@spare]\n\n[pool.quotes]"),
    ("range-without-group", "{ kind = \"large\", from", "{ kind = @\"huge\", from"),
    ("range-without-group", "default = \"small\"", "default = @\"tiny\""),
    ("range-without-group", "default = \"small\"\n", ""),
    ("range-overlap", "from = \"40\"", "from = @\"3f\""),
    ("range-overlap", "from = \"40\"", "from = @\"10\""),
    ("range-order", "from = \"40\", to = \"7f\"", "from = \"40\", to = @\"3f\""),
    (
        "range-order",
        "from = \"0\", to = \"3f\"",
        "from = \"80\", to = \"ff\" },\n  { kind = \"small\", from = @\"0\", to = \"3f\"",
    ),
    (
        "order-retriable",
        "may_repeat_unsafe = \"a search changes nothing; POST only carries its long question\"",
        "",
    ),
    ("order-retriable", "methods = [\"GET\", \"HEAD\"]\n", ""),
    ("order-retriable", "methods = [\"GET\", \"HEAD\"]", "methods = @[\"GET\", \"DELETE\"]"),
    ("order-retriable", "category = \"order\"", "category = @\"read\""),
    ("order-retriable", "category = \"order\"", "category = @\"top-up\""),
    (
        "order-retriable",
        "may_repeat_unsafe = \"a search changes nothing; POST only carries its long question\"",
        "may_repeat_unsafe = \"yes\"",
    ),
    ("repeat-outside-window", "window = \"5s\"\n", ""),
    ("repeat-outside-window", "window = \"5s\"", "window = @\"200ms\""),
    ("repeat-outside-window", "repeats = \"never\"", "repeats = \"never\"\nwindow = @\"5s\""),
    ("ttl-under-target", "ttl = \"2s\"", "ttl = @\"300ms\""),
    ("ttl-under-target", "target = \"1s\"\nttl = \"4s\"", "target = \"9s\"\nttl = @\"4s\""),
    ("budget-over-ttl", "ttl = \"1s\"", "ttl = @\"5s\""),
    ("budget-over-ttl", "connect = \"250ms\"", "connect = \"3s\""),
    ("route-shadowed", "path = \"/search\"", "path = @\"/search/../report\""),
    ("route-shadowed", "path = \"/search\"", "path = @\"/search%2fall\""),
    ("route-shadowed", "path = \"/report/{id}\"", "path = @\"//report/{id}\""),
    (
        "route-ambiguous",
        "path = \"/search\"\nmethods = [\"POST\"]",
        "path = \"/quotes/{other}\"\nhosts = [\"quotes.example\"]\nmethods = [\"GET\", \"POST\"]",
    ),
    ("route-ambiguous", "path = \"/search\"\nmethods = [\"POST\"]", "path = \"/report/{number}\""),
    ("route-missing", "unrouted = \"not-found\"\n", ""),
    ("route-missing", "unrouted = \"not-found\"\n", "# unrouted\n"),
    ("duplicate-name", "[category.order]", "[category.@read]"),
    ("duplicate-name", "{ name = \"quote-02.gasan.example.org\"", "{ name = @\"quote-01.gasan.example.org\""),
    ("duplicate-name", "address = \"127.0.0.1:6002\"", "address = @\"127.0.0.1:6001\""),
    ("duplicate-name", "name = \"search\"", "name = \"quotes\""),
    ("listen-conflict", "[limits]", "[[listen]]\naddress = @\"127.0.0.1:5001\"\n\n[limits]"),
    (
        "listen-conflict",
        "[limits]",
        "[[listen]]\naddress = @\"0.0.0.0:5001\"\nallow_not_loopback = true\n\n[limits]",
    ),
    ("listen-not-loopback", "address = \"127.0.0.1:5001\"", "address = @\"10.0.0.4:5001\""),
    ("listen-not-loopback", "address = \"127.0.0.1:5001\"", "address = @\"[::]:5001\""),
    ("loop-to-self", "address = \"127.0.0.1:6002\"", "address = @\"127.0.0.1:5001\""),
    ("loop-to-self", "default = \"small\"\nservers = [", "@discovery = \"127.0.0.1:5001\"\nservers = ["),
];

#[test]
fn invalid_edit_gets_its_code_at_the_marked_line() {
    let mut unexpected = Vec::new();
    for (code, old, new) in INVALID_EDITS {
        assert!(EXAMPLE.contains(old), "{old:?} is not in the example");
        let marked = EXAMPLE.replacen(old, new, 1);
        let text = marked.replace('@', "");
        let checked = check(&text, None);
        let expected_line = marked.find('@').map(|offset| Position::of_byte(&text, offset).line);
        let is_found = checked.findings.iter().any(|finding| {
            finding.code.name() == *code
                && expected_line.is_none_or(|line| Position::of_byte(&text, finding.span.start).line == line)
        });
        let is_only_warning = *code == "listen-not-loopback";
        if !is_found || checked.config.is_some() != is_only_warning {
            let rendered: String =
                checked.findings.iter().map(|finding| finding.render("file", &text)).collect();
            unexpected.push(format!("{code} at line {expected_line:?} of {new:?}: {rendered}"));
        }
    }
    assert_eq!(unexpected, Vec::<String>::new());
    assert!(INVALID_EDITS.len() >= 60);
    for code in Code::ALL {
        let count = INVALID_EDITS.iter().filter(|(name, ..)| *name == code.name()).count();
        assert!(count >= 2, "{} has {count} invalid edits", code.name());
    }
}

/// Detects a retry on an endpoint that does not drop it as a duplicate: endpoints without a zone or
/// cell would count as one scope.
#[test]
fn endpoints_must_state_their_dedup_scope() {
    let by_cell = EXAMPLE.replacen("group = \"zone\"", "group = \"cell\"", 1).replacen(
        "category = \"read\"\npool = \"quotes\"\nttl",
        "category = \"top-up\"\npool = \"quotes\"\nttl",
        1,
    );
    let with_cells = by_cell.replace("kind = \"small\" }", "kind = \"small\", cell = 1 }");
    let all = with_cells.replace("size = 2.0", "cell = 2");
    let messages = [by_cell, with_cells, all].map(|text| {
        let findings = check(&text, None).findings;
        findings
            .iter()
            .map(|finding| format!("{}: {}\n", finding.code.name(), finding.message))
            .collect::<String>()
    });
    expect![[r#"
        missing-field: category "top-up" is deduplicated per cell, but server "quote-01.gasan.example.org" has no cell
        --
        missing-field: category "top-up" is deduplicated per cell, but server "quote-07.gasan.example.org" has no cell
        --
    "#]].assert_eq(&messages.join("--\n"));
}

#[test]
fn valid_edits_pass() {
    let edits: [(&str, &str); 20] = [
        ("", ""),
        (
            "[[route]]\nname = \"search\"",
            "[[route]]\npath = \"/**\"\ncategory = \"order\"\npool = \"quotes\"\n\n[[route]]\nname = \"search\"",
        ),
        ("roster = [", "# roster\nroster = [\"spare.example\", "),
        ("address = \"127.0.0.1:5001\"", "unix = \"/tmp/charts.sock\""),
        ("[limits]", "[[listen]]\naddress = \"127.0.0.1:5002\"\n\n[limits]"),
        ("[limits]", "[[listen]]\naddress = \"10.0.0.4:5001\"\nallow_not_loopback = true\n\n[limits]"),
        ("connect = \"250ms\"", "connect = \"1s\""),
        ("held = \"64KiB\"", "held = \"0B\""),
        ("body = \"64KiB\"", "body = \"1GiB\""),
        ("group = \"zone\"", "group = \"cell\""),
        ("window = \"5s\"", "window = \"2m\""),
        ("default = \"small\"\n", "default = \"large\"\n"),
        ("to = \"7f\"", "to = \"ffff\""),
        ("hosts = [\"quotes.example\"]", "hosts = [\"*.example\", \"quotes.example\"]"),
        ("methods = [\"GET\", \"HEAD\"]", "methods = [\"GET\"]\nfields = { x-version = \"2\" }"),
        ("key = \"path:symbol\"", "key = \"cookie:session\""),
        ("key = \"path:symbol\"", "key = \"query:symbol\""),
        ("tenant = \"fixed:hanbit\"", "tenant = \"header:x-tenant\""),
        ("path = \"/report/{id}\"", "path = \"/report/{id}/**\""),
        ("ttl = \"1s\"", "ttl = \"2s\""),
    ];
    for (old, new) in edits {
        let text = EXAMPLE.replacen(old, new, 1);
        let checked = check(&text, None);
        let rendered: String = checked.findings.iter().map(|finding| finding.render("file", &text)).collect();
        assert!(checked.config.is_some() && rendered.is_empty(), "{new:?}:\n{rendered}");
    }
}

#[test]
fn findings_state_position_and_accepted_value() {
    let text = EXAMPLE
        .replacen("methods = [\"GET\", \"HEAD\"]\n", "", 1)
        .replacen("ttl = \"4s\"\nbenefit", "tll = \"4s\"\nbenefit", 1)
        .replacen("quote-07.gasan.example.org\", address", "quote-07.gasan.exmaple.org\", address", 1);
    let rendered: String =
        check(&text, None).findings.iter().map(|finding| finding.render("sidecar.toml", &text)).collect();
    expect![[r#"
        error[unknown-field]: category "order" has no field "tll"; did you mean "ttl"?
          --> sidecar.toml:31:1
        31 | tll = "4s"
             ^^^
        error[unknown-host]: server "quote-07.gasan.exmaple.org" is not in the roster; did you mean "quote-07.gasan.example.org"?
          --> sidecar.toml:42:12
        42 |   { name = "quote-07.gasan.exmaple.org", address = "127.0.0.1:6003", zone = "a", kind = "large", size = 2.0 },
                        ^^^^^^^^^^^^^^^^^^^^^^^^^^^^
        error[order-retriable]: this route names no methods, so it matches POST and other unsafe methods, but its category "read" allows retries (always); name only safe methods, choose a category with repeats = "never", or state in may_repeat_unsafe why a retry does no harm
          --> sidecar.toml:53:12
        53 | category = "read"
                        ^^^^^^
    "#]].assert_eq(&rendered);
}

#[test]
fn generated_config_passes_the_check() {
    let endpoint = doorproxy_config::sidecar::StaticEndpoint {
        name: "quote \"7\"".to_string(),
        address: "127.0.0.1:6001".parse().unwrap(),
        zone: Some("a".to_string()),
        cell: None,
        kind: "small".to_string(),
        weight: 1.0,
    };
    let application = "name = \"charts\"\nreads = [\"/quotes/{symbol}\"]\norders = [\"/report/{id}\"]\n";
    let text = generate(application, std::slice::from_ref(&endpoint)).unwrap();
    expect![[r##"
        # Generated for charts by doorproxy configure; verify changes with `doorproxy check`.
        name = "charts"

        # Requests that match no route are answered with 404.
        unrouted = "not-found"

        [[listen]]
        address = "127.0.0.1:5001"

        # Idempotent: a failed request is retried on another server.
        [category.read]
        repeats = "always"
        ttl = "2s"

        # Not idempotent: a request that may have run is never retried.
        [category.order]
        repeats = "never"
        ttl = "4s"
        benefit = 5.0

        [pool.servers]
        servers = [
          { name = 'quote "7"', address = "127.0.0.1:6001", zone = "a", kind = "small", size = 1.0 },
        ]

        [[route]]
        path = "/quotes/{symbol}"
        methods = ["GET", "HEAD"]
        category = "read"
        pool = "servers"

        [[route]]
        path = "/quotes/{symbol}"
        category = "order"
        pool = "servers"

        [[route]]
        path = "/report/{id}"
        category = "order"
        pool = "servers"
    "##]]
    .assert_eq(&text);
    let messages =
        ["name = \"x\"", "name = \"x\"\nreads = [\"/a/../b\"]", "reads = [\"/a\"]\nordres = [\"/b\"]", "= 7"]
            .map(|application| {
                let findings = generate(application, std::slice::from_ref(&endpoint)).unwrap_err();
                findings
                    .iter()
                    .map(|finding| format!("{}: {}\n", finding.code.name(), finding.message))
                    .collect::<String>()
            });
    expect![[r#"
        missing-field: the application has neither reads nor orders; list the paths that it requests in one of them
        route-shadowed: path "/a/../b" never matches: requests with this path are rejected: the path has a segment that is . or ..
        route-shadowed: path "/a/../b" never matches: requests with this path are rejected: the path has a segment that is . or ..
        missing-field: the application is missing the required field name
        unknown-field: the application has no field "ordres"; did you mean "orders"?
        not-toml: the file is not valid TOML: unquoted keys cannot be empty, expected letters, numbers, `-`, `_`
    "#]].assert_eq(&messages.concat());
}

#[test]
fn changes_describe_the_differences_of_two_files() {
    let old = check(EXAMPLE, None).config.unwrap();
    let new = EXAMPLE
        .replacen("repeats = \"deduplicated\"\ngroup = \"zone\"\nwindow = \"5s\"", "repeats = \"always\"", 1)
        .replacen("to = \"3f\"", "to = \"1f\"", 1)
        .replacen("name = \"search\"", "name = \"find\"", 1);
    let new = check(&new, None).config.unwrap();
    expect![[r#"
        ! category top-up: repeats always, previously within 5s in the same zone
        ! pool quotes: keys move to other endpoint kinds
          route search is removed: its requests match other routes or none
        ! route find is added: category read, repeats always"#]]
    .assert_eq(&old.changes(&new).join("\n"));
    assert_eq!(old.changes(&old), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Detects a panic of the check on any edit of a valid file, a configuration that is returned
    /// despite errors, and one that is missing without any.
    #[test]
    fn edits_never_panic(
        offset in 0..EXAMPLE.len(),
        removed_len in 0..40usize,
        inserted in "[ -~\\n\u{e9}]{0,6}",
    ) {
        let is_boundary = |offset: &usize| EXAMPLE.is_char_boundary(*offset);
        let start = (0..=offset).rev().find(is_boundary).unwrap_or(0);
        let end = (start + removed_len).min(EXAMPLE.len());
        let end = (end..=EXAMPLE.len()).find(is_boundary).unwrap_or(EXAMPLE.len());
        let text = format!("{}{inserted}{}", &EXAMPLE[..start], &EXAMPLE[end..]);
        let checked = check(&text, None);
        checked.findings.iter().for_each(|finding| drop(finding.render("file", &text)));
        prop_assert_eq!(checked.config.is_none(), checked.findings.iter().any(|finding| finding.is_error));
    }
}
