//! Tests of [`super`].

use expect_test::expect;

use super::*;

/// Detects a scenario whose fault is misread and never happens: each mistake must be an error that
/// says what is accepted.
#[test]
fn invalid_scenarios_are_rejected_with_the_accepted_values() {
    let texts = [
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"kil\"\nwho = \"n0\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"n9\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"u1\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"cut\"\nwho = \"n1\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"cut\"\nway = \"n1\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"cut\"\nway = \"u1->list\"\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"lose\"\nway = \"n1->u1\"\nsize = 3\n",
        "seed = 1\nseconds = 2\n[[fault]]\nat = 1\nwhat = \"put-out\"\nwho = \"u1\"\n",
        "seed = 1\nseconds = 2\n[fleet]\nbalancers = 0\n",
    ];
    let errors = texts.map(|text| Scenario::parse(text).unwrap_err());
    expect![[r#"
        TOML parse error at line 5, column 8
          |
        5 | what = "kil"
          |        ^^^^^
        unknown variant `kil`, expected one of `kill`, `terminate`, `pause`, `twin`, `put-out`, `put-out-of-fleet`, `cut`, `refuse`, `hold`, `delay`, `slow`, `lose`, `reset`, `short`, `double`, `reorder`, `flip`, `crash`, `restart`, `drain`, `drag`, `fail`, `hang`, `fill`, `list-away`

        --
        fault 1, kill n9 for 0 s: "n9" matches no process; names are n0 to n3, u0 to u5, list and clients; patterns are n*, u*, *, zone east, n0..n2
        --
        fault 1, kill u1 for 0 s: who: u1 can't have this fault, names such as n0 expected
        --
        fault 1, cut n1 for 0 s: who: a fault of network paths has none, `way` expected
        --
        fault 1, cut n1 for 0 s: way: "n1" is not a path; the form "n3->u5" or "n*<->list" expected
        --
        fault 1, cut u1->list for 0 s: way: "u1->list" matches no path; a balancer at one end expected
        --
        fault 1, lose n1->u1 for 0 s: size (a ratio from 0 to 1): 3 is out of range, 0 to 1 expected
        --
        fault 1, put-out u1 for 0 s: who: "u1" does not eject upstreams; the form "u2 at n0" expected
        --
        fleet.balancers: 0 is out of range, 1 to 100 expected"#]].assert_eq(&errors.join("\n--\n"));
}

#[test]
fn patterns_match_processes_and_paths() {
    let scenario = Scenario::parse("seed = 1\nseconds = 2\n").unwrap();
    assert_eq!(scenario.matching_nodes("n1..n2, u0").unwrap(), ["n1", "n2", "u0"]);
    assert_eq!(scenario.matching_nodes("zone west").unwrap(), ["n1", "n3", "u1", "u3", "u5"]);
    let paths = scenario.matching_paths("n0<->list").unwrap();
    assert_eq!(paths, [("list".into(), "n0".into()), ("n0".into(), "list".into())]);
    // Endpoints have no paths to each other or to discovery.
    assert_eq!(scenario.matching_paths("*->*").unwrap().len(), 4 * (3 + 6 + 2) + (6 + 2) * 4);
    let text = "seed = 3\nseconds = 9.5\n[[fault]]\nat = 1.5\nwhat = \"kill\"\nwho = \"n*\"\nfor = 1.0\nknown = \"empty\"\n";
    let scenario = Scenario::parse(text).unwrap();
    assert_eq!(Scenario::parse(&scenario.to_toml()).unwrap(), scenario);
}
