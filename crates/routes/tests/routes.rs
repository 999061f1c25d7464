//! Tests the parsing of requests and patterns, and compares the router with a reference matcher that tries
//! every pattern.

use doorproxy::rng::Pcg;
use doorproxy_routes::pattern::{HostPattern, PathPattern, RoutePattern, SegmentPattern};
use doorproxy_routes::request::RequestView;
use doorproxy_routes::router::Router;
use expect_test::expect;

/// Parses `HOST/PATH METHOD… NAME=VALUE…`, where the host, methods and header fields are optional.
fn pattern(text: &str) -> RoutePattern {
    let mut words = text.split(' ');
    let host_and_path = words.next().unwrap();
    let (host, path) = host_and_path.split_at(host_and_path.find('/').unwrap());
    let host = if host.is_empty() { HostPattern::Any } else { HostPattern::parse(host).unwrap() };
    let mut pattern = RoutePattern {
        host,
        path: PathPattern::parse(path).unwrap(),
        methods: Vec::new(),
        headers: Vec::new(),
    };
    for word in words {
        match word.split_once('=') {
            Some((name, value)) => pattern.headers.push((name.to_string(), value.to_string())),
            None => pattern.methods.push(word.to_string()),
        }
    }
    pattern
}

#[test]
fn ambiguous_targets_and_hosts_are_rejected() {
    let targets = [
        "/a/b?x=1",
        "/",
        "/a/",
        "/%72eport/7",
        "/a//b",
        "//a",
        "/a/./b",
        "/a/%2e%2E/b",
        "/a%2fb",
        "/a%5Cb",
        "/a\\b",
        "/a%00",
        "/a%zz",
        "/a%2",
        "/a%ff",
        "a",
        "*",
        "",
        "http://Quotes.Example.:80/a#f",
        "http://other.example/a",
        "ftp://quotes.example/a",
        "http://quotes.example",
        "/a%252e",
        "/a;v=1/b",
    ];
    let parsed = targets.map(|target| match RequestView::new("GET", target, Some("quotes.example:8080")) {
        Ok(request) => format!("{target}: {} {:?}\n", request.host, request.segments),
        Err(error) => format!("{target}: {error}\n"),
    });
    expect![[r#"
        /a/b?x=1: quotes.example ["a", "b"]
        /: quotes.example [""]
        /a/: quotes.example ["a", ""]
        /%72eport/7: quotes.example ["report", "7"]
        /a//b: the path has an empty segment
        //a: the path has an empty segment
        /a/./b: the path has a segment that is . or ..
        /a/%2e%2E/b: the path has a segment that is . or ..
        /a%2fb: the path has an encoded slash or a backslash
        /a%5Cb: the path has an encoded slash or a backslash
        /a\b: the path has an encoded slash or a backslash
        /a%00: the path has a control character
        /a%zz: the path has an invalid percent escape, or is not UTF-8 after decoding
        /a%2: the path has an invalid percent escape, or is not UTF-8 after decoding
        /a%ff: the path has an invalid percent escape, or is not UTF-8 after decoding
        a: the target is neither a path that begins with / nor an absolute http or https URL
        *: the target is neither a path that begins with / nor an absolute http or https URL
        : the target is neither a path that begins with / nor an absolute http or https URL
        http://Quotes.Example.:80/a#f: quotes.example ["a"]
        http://other.example/a: the target and the Host field name different hosts
        ftp://quotes.example/a: the target is neither a path that begins with / nor an absolute http or https URL
        http://quotes.example: quotes.example [""]
        /a%252e: quotes.example ["a%2e"]
        /a;v=1/b: quotes.example ["a;v=1", "b"]
    "#]]
    .assert_eq(&parsed.concat());
    let hosts = [
        "A.example.",
        "a.example:80",
        "a.example:",
        "[::1]:80",
        "a b",
        "",
        "a..",
        "a:b:c",
        "user@a",
        "a:99999999",
    ];
    let parsed = hosts.map(|host| match RequestView::new("GET", "/", Some(host)) {
        Ok(request) => format!("{host:?}: {}\n", request.host),
        Err(error) => format!("{host:?}: {error}\n"),
    });
    expect![[r#"
        "A.example.": a.example
        "a.example:80": a.example
        "a.example:": a.example
        "[::1]:80": [::1]
        "a b": the host is invalid
        "": the host is invalid
        "a..": the host is invalid
        "a:b:c": the host is invalid
        "user@a": the host is invalid
        "a:99999999": the host is invalid
    "#]]
    .assert_eq(&parsed.concat());
}

#[test]
fn unreachable_patterns_are_rejected() {
    let texts = [
        "/a/{x}/b/**",
        "/**",
        "/",
        "/a/**/b",
        "/a//b",
        "/a/../b",
        "/a/%2f",
        "/a/{x",
        "/a/{x}/{x}",
        "/a/x*",
        "a",
        "/a/{b-c}",
    ];
    let parsed = texts.map(|text| match PathPattern::parse(text) {
        Ok(path) => format!("{text}: {} segments, prefix {}\n", path.segments.len(), path.is_prefix),
        Err(error) => format!("{text}: {error}\n"),
    });
    expect![[r#"
        /a/{x}/b/**: 3 segments, prefix true
        /**: 0 segments, prefix true
        /: 1 segments, prefix false
        /a/**/b: ** is only allowed as the last segment
        /a//b: requests with this path are rejected: the path has an empty segment
        /a/../b: requests with this path are rejected: the path has a segment that is . or ..
        /a/%2f: requests with this path are rejected: the path has an encoded slash or a backslash
        /a/{x: {{x} must be a whole segment with a name of letters, digits and _
        /a/{x}/{x}: {x} is used twice
        /a/x*: {x*} must be a whole segment with a name of letters, digits and _
        a: requests with this path are rejected: the target is neither a path that begins with / nor an absolute http or https URL
        /a/{b-c}: {b-c} must be a whole segment with a name of letters, digits and _
    "#]]
    .assert_eq(&parsed.concat());
}

#[test]
fn most_specific_route_wins_in_any_declaration_order() {
    let texts = [
        "/**",
        "/report/{id}",
        "/report/{id} POST",
        "/report/all",
        "/report/{id} x-test=1",
        "/{kind}/all",
        "/report/**",
        "quotes.example/**",
        "*.example/report/{id}",
        "*.a.example/**",
    ];
    let requests = [
        ("GET", "/report/7", "h", ""),
        ("POST", "/report/7", "h", ""),
        ("POST", "/report/7", "h", "1"),
        ("GET", "/report/all", "h", ""),
        ("GET", "/quote/all", "h", ""),
        ("GET", "/report/7/8", "h", ""),
        ("GET", "/report", "h", ""),
        ("GET", "/report/", "h", ""),
        ("GET", "/report/7", "quotes.example", ""),
        ("GET", "/report/7", "b.example", ""),
        ("GET", "/report/7", "b.a.example", ""),
        ("GET", "/other", "a.example", ""),
        ("GET", "/report/7", "example", ""),
    ];
    let route_requests = |texts: &[&str]| {
        let router = Router::new(texts.iter().map(|text| pattern(text)).collect());
        let lines = requests.map(|(method, path, host, x_test)| {
            let request = RequestView::new(method, path, Some(host)).unwrap();
            let field = |name: &str| (name == "x-test" && !x_test.is_empty()).then_some(x_test);
            let found = router.find(&request, field);
            format!("{method} {host} {path}: {}\n", found.map_or("none", |index| texts[index]))
        });
        lines.concat()
    };
    let routed = route_requests(&texts);
    expect![[r#"
        GET h /report/7: /report/{id}
        POST h /report/7: /report/{id} POST
        POST h /report/7: /report/{id} x-test=1
        GET h /report/all: /report/all
        GET h /quote/all: /{kind}/all
        GET h /report/7/8: /report/**
        GET h /report: /**
        GET h /report/: /report/**
        GET quotes.example /report/7: quotes.example/**
        GET b.example /report/7: *.example/report/{id}
        GET b.a.example /report/7: *.a.example/**
        GET a.example /other: /**
        GET example /report/7: /report/{id}
    "#]]
    .assert_eq(&routed);
    let reversed: Vec<&str> = texts.iter().rev().copied().collect();
    assert_eq!(routed, route_requests(&reversed));
}

#[test]
fn alternative_spelling_never_reaches_a_less_strict_route() {
    let patterns = ["/**", "/report/{id}", "/quotes/**"].map(pattern).to_vec();
    let router = Router::new(patterns);
    let strictness = |index| u8::from(index == 1);
    let results = [
        "/report/7",
        "/Report/7",
        "/report/7/",
        "/report;a=b/7",
        "/report./7",
        "/report%20/7",
        "/quotes/Report",
        "/other/",
    ]
    .map(|path| {
        let request = RequestView::new("GET", path, None).unwrap();
        format!("{path}: {:?}\n", router.find_unambiguous(&request, |_| None, strictness))
    });
    expect![[r#"
        /report/7: Ok(Some(1))
        /Report/7: Err(AmbiguousSpelling)
        /report/7/: Err(AmbiguousSpelling)
        /report;a=b/7: Err(AmbiguousSpelling)
        /report./7: Err(AmbiguousSpelling)
        /report%20/7: Err(AmbiguousSpelling)
        /quotes/Report: Ok(Some(2))
        /other/: Ok(Some(0))
    "#]]
    .assert_eq(&results.concat());
}

/// Matches a request against one pattern without the router's code.
fn reference_matches(pattern: &RoutePattern, request: &RequestView, field: Option<&str>) -> bool {
    let host_matches = match &pattern.host {
        HostPattern::Exact(name) => request.host == *name,
        HostPattern::Subdomains(name) => request.host.ends_with(&format!(".{name}")),
        HostPattern::Any => true,
    };
    let (pattern_len, path_len) = (pattern.path.segments.len(), request.segments.len());
    let length_matches =
        if pattern.path.is_prefix { path_len > pattern_len } else { path_len == pattern_len };
    host_matches
        && length_matches
        && (pattern.methods.is_empty() || pattern.methods.iter().any(|method| method == request.method))
        && pattern.headers.iter().all(|(_, value)| field == Some(value))
        && pattern.path.segments.iter().zip(&request.segments).all(|(segment, text)| match segment {
            SegmentPattern::Literal(literal) => literal == text,
            SegmentPattern::Parameter(_) => !text.is_empty(),
        })
}

/// Returns a sort key that is smaller for a more specific pattern.
fn specificity_rank(pattern: &RoutePattern) -> (usize, Vec<u8>, usize, bool) {
    let host = match &pattern.host {
        HostPattern::Exact(_) => 0,
        HostPattern::Subdomains(name) => 1000 - name.len(),
        HostPattern::Any => 1000,
    };
    let rank = |segment: &SegmentPattern| if matches!(segment, SegmentPattern::Literal(_)) { 0 } else { 1 };
    let mut path: Vec<u8> = pattern.path.segments.iter().map(rank).collect();
    if pattern.path.is_prefix {
        path.push(2);
    }
    (host, path, 100 - pattern.headers.len(), pattern.methods.is_empty())
}

#[test]
fn router_agrees_with_reference_matcher_on_random_patterns() {
    let mut rng = Pcg::new(11);
    let mut below = |bound: u32| ((u64::from(rng.next_u32()) * u64::from(bound)) >> 32) as usize;
    let words = ["a", "b", "c", ""];
    let hosts = ["h.x", "x", "g.h.x", "y"];
    let mut matched_requests = 0;
    for _ in 0..100_000 {
        let mut patterns: Vec<RoutePattern> = Vec::new();
        for _ in 0..1 + below(16) {
            let count = below(4);
            let mut path: String = (0..count).map(|_| ["/a", "/b", "/{p}", "/c"][below(4)]).collect();
            path = path.replacen("{p}", "{p1}", 1).replacen("{p}", "{p2}", 1);
            path += ["", "/**", "/"][below(3)];
            let path = if path.is_empty() { "/".to_string() } else { path };
            let Ok(path) = PathPattern::parse(&path) else { continue };
            let host = match below(4) {
                0 => HostPattern::Exact(hosts[below(4)].to_string()),
                1 => HostPattern::Subdomains(["x", "h.x"][below(2)].to_string()),
                _ => HostPattern::Any,
            };
            let methods = [vec![], vec!["GET".to_string()], vec!["GET".to_string(), "POST".to_string()]]
                [below(3)]
            .clone();
            let headers = if below(4) == 0 {
                vec![("k".to_string(), ["1", "2"][below(2)].to_string())]
            } else {
                vec![]
            };
            let pattern = RoutePattern { host, path, methods, headers };
            if !patterns.iter().any(|known| known.is_ambiguous_with(&pattern)) {
                patterns.push(pattern);
            }
        }
        let router = Router::new(patterns.clone());
        for _ in 0..2 {
            let count = 1 + below(4);
            let path: Vec<&str> =
                (0..count).map(|index| words[below(if index + 1 == count { 4 } else { 3 })]).collect();
            let target = format!("/{}", path.join("/"));
            let request =
                RequestView::new(["GET", "POST", "PUT"][below(3)], &target, Some(hosts[below(4)])).unwrap();
            let field = [None, Some("1"), Some("2")][below(3)];
            let expected = (0..patterns.len())
                .filter(|&index| reference_matches(&patterns[index], &request, field))
                .min_by_key(|&index| specificity_rank(&patterns[index]));
            assert_eq!(router.find(&request, |_| field), expected, "{request:?} among {patterns:?}");
            matched_requests += usize::from(expected.is_some());
        }
    }
    assert!(matched_requests > 30_000, "only {matched_requests} requests matched any route");
}
