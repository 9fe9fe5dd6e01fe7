//! Settings of a host on a platform: the mechanisms of the policy that they switch off.

use {coveproxy::process::settings::NodeSettings, rstest::rstest, std::path::Path};

const GOOD: &str = "[host]\nname = host-0\nhall = a\n\
    [listen]\nfront = 10.0.0.1:1\nentry = 10.0.0.1:2\nready = 10.0.0.1:3\npeers_ip = 10.0.0.1\n\
    peers_port = 7000\n[store]\naddress = 10.9.9.9:1\n";

fn parse(policy: &str) -> Result<NodeSettings, Vec<String>> {
    let text = format!("{GOOD}[policy]\n{policy}\n");
    NodeSettings::parse(Path::new("host.ini"), &text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

#[test]
fn a_mechanism_is_switched_off_by_itself() {
    let all = parse("").unwrap().policy;
    let one_less = parse("prefers_home = false").unwrap().policy;
    assert!(all.prefers_home);
    assert!(!one_less.prefers_home);
    assert!(one_less.adds_copies && one_less.limits_loads);
}

#[rstest]
#[case::not_a_switch("adds_copies = maybe", "adds_copies")]
#[case::unknown("adds_many_copies = false", "adds_many_copies")]
fn a_wrong_switch_is_named(
    #[case] line: &str,
    #[case] name: &str,
) {
    let problems = parse(line).unwrap_err();
    assert!(
        problems.iter().any(|text| text.contains(name)),
        "{problems:?}"
    );
}

#[rstest]
#[case::as_usual("", Ok(5_000))]
#[case::longer("version_ms = 9000", Ok(9_000))]
#[case::too_short_to_hear_of_it("version_ms = 3000", Err("version_ms"))]
fn the_bound_of_versions_leaves_time_to_hear_of_them(
    #[case] line: &str,
    #[case] expected: Result<u64, &str>,
) {
    let parsed = parse(&format!("[bounds]\n{line}"));
    match (parsed, expected) {
        (Ok(settings), Ok(ms)) => assert_eq!(settings.bounds.version.as_millis(), u128::from(ms)),
        (Err(problems), Err(name)) => assert!(problems.iter().any(|text| text.contains(name))),
        (parsed, _) => panic!("{parsed:?}"),
    }
}

/// Guards against a limit that is read wrongly: a platform that sets none leaves the setting out, empty or 0, and a wrong one
/// must be named and not pass for none.
#[rstest]
#[case::absent("", Ok(None))]
#[case::empty("memory_mb =", Ok(None))]
#[case::zero("memory_mb = 0", Ok(None))]
#[case::whole("memory_mb = 120", Ok(Some(120_000_000)))]
#[case::fraction("memory_mb = 260.5", Ok(Some(260_500_000)))]
#[case::negative("memory_mb = -1", Err("memory_mb"))]
#[case::no_number("memory_mb = plenty", Err("memory_mb"))]
fn the_limit_of_memory_may_be_left_out(
    #[case] line: &str,
    #[case] expected: Result<Option<u64>, &str>,
) {
    let parsed = parse(&format!("[limits]\n{line}"));
    match (parsed, expected) {
        (Ok(settings), Ok(limit)) => assert_eq!(settings.memory_limit, limit),
        (Err(problems), Err(name)) => assert!(problems.iter().any(|text| text.contains(name))),
        (parsed, _) => panic!("{parsed:?}"),
    }
}
