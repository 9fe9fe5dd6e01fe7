//! The command lines, as an operator uses them.

use {
    rstest::rstest,
    serde_json::Value,
    std::{
        path::Path,
        process::{Command, Output},
    },
};

fn coveproxy(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coveproxy"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap()
}

fn check(file: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coveproxyd"))
        .args(["--settings", file, "--check"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap()
}

/// The demo of each site ends whole, with every promise kept and every figure there.
#[rstest]
#[case("cascadia")]
#[case("tour")]
fn demo(#[case] site: &str) {
    let output = coveproxy(&["demo", "--site", site, "--seconds", "4", "--seed", "3"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let last: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    let number = |name: &str| {
        last[name]
            .as_u64()
            .unwrap_or_else(|| panic!("{name}: {last}"))
    };
    for broken in [
        "wrong_adapter",
        "run_twice",
        "cut_short",
        "unloaded_in_use",
        "false_not_run",
    ] {
        assert_eq!(number(broken), 0, "{broken}");
    }
    let ends = number("answered") + number("not_run") + number("unknown");
    assert_eq!(number("requests"), ends);
    assert!(number("answered") > 0 && number("loads") > 0);
    for times in ["load_stall_ms", "first_token_ms"] {
        for percentile in ["p50", "p95", "p99"] {
            assert!(last[times][percentile].is_number(), "{times} {percentile}");
        }
    }
    assert!(last["batch_efficiency"].as_f64().unwrap() > 0.0);
    assert!(last["seconds"].as_f64().unwrap() >= 4.0);
}

#[test]
fn example_settings_are_good() {
    for site in ["cascadia", "tour"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("etc").join(site);
        let files = std::fs::read_dir(folder).unwrap();
        let files: Vec<_> = files
            .map(|entry| entry.unwrap().path())
            .filter(|path| path.extension().is_some_and(|kind| kind == "ini"))
            .collect();
        assert!(files.len() >= 6);
        for file in files {
            let output = check(file.to_str().unwrap());
            assert!(output.status.success(), "{output:?}");
        }
    }
}

#[test]
fn wrong_settings_are_all_named() {
    let file = std::env::temp_dir().join(format!("coveproxy-wrong-{}.ini", std::process::id()));
    std::fs::write(&file, "[host]\nname = x\nhal = y\n[lease]\nlength_ms = z\n").unwrap();
    let output = check(file.to_str().unwrap());
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for said in [
        ":3: [host] hal is not",
        ":5: [lease] length_ms",
        "[listen] callers is missing",
    ] {
        assert!(text.contains(said), "{said}: {text}");
    }
}

#[rstest]
#[case(&["demo", "--site", "nowhere"], 2)]
#[case(&["request", "--host", "127.0.0.1:1", "--key", "k"], 2)]
#[case(&["request", "--host", "127.0.0.1:1", "--key", "k", "--model", "a@1"], 5)]
#[case(&["status", "--admin", "127.0.0.1:1"], 3)]
#[case(&["apply", "--platform", "127.0.0.1:1", "no-such-file.json"], 2)]
#[case(&["apply", "--platform", "127.0.0.1:1", "etc/cascadia/config.json"], 3)]
#[case(&["completions", "bash"], 0)]
#[case(&["--help"], 0)]
fn exit_codes(
    #[case] arguments: &[&str],
    #[case] code: i32,
) {
    let output = coveproxy(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// A reader that goes early, as `head` does, is no failure.
#[test]
fn a_reader_that_has_gone_is_no_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_coveproxy"))
        .args(["completions", "bash"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

const LINES: &str = "\
ts=1000 up_us=1 host=h1 level=info event=610 name=request_asks id=r1 ago_ms=30 target=e1 spare=false\n\
ts=1000 up_us=1 host=h1 level=info event=611 name=request_waits id=r1 ago_ms=29 expected_ms=-1\n\
ts=1000 up_us=1 host=h1 level=info event=608 name=request_served id=r1 route=talk status=503 cause=no_adapter \
target=- adapter=m/a1 first_ms=30 aim_ms=600 arrivals=0 late=no ended=no_adapter customer=c1\n";

fn log_file(name: &str) -> String {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, LINES).unwrap();
    file.to_str().unwrap().to_string()
}

#[test]
fn a_request_is_explained_from_a_file() {
    let file = log_file("explain.log");
    let text = coveproxy(&["explain", "r1", &file]);
    let text = String::from_utf8(text.stdout).unwrap();
    assert!(text.contains("request_asks"), "{text}");
    assert!(
        text.contains("cause: refused: no engine had a place"),
        "{text}"
    );
    let json = coveproxy(&["explain", "r1", &file, "--json"]);
    let json: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(json["cause"], "no_place");
    assert_eq!(json["steps"].as_array().unwrap().len(), 3);
}

#[test]
fn a_request_that_no_line_names_is_an_error() {
    let output = coveproxy(&["explain", "r2", &log_file("unnamed.log")]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("no host read it"), "{text}");
}

#[test]
fn a_day_is_reported_from_a_file() {
    let file = log_file("report.log");
    let json = coveproxy(&["report", "--json", &file]);
    let json: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(
        json["requests"]["by_route"]["talk"]["by_cause"]["no_place"],
        1
    );
    assert_eq!(
        json["customers"]["by_customer"]["c1"]["rejected"]["no_adapter"],
        1
    );
    let text = coveproxy(&["report", &file]);
    let text = String::from_utf8(text.stdout).unwrap();
    assert!(text.contains("no_place 1"), "{text}");
    assert!(text.contains("no_adapter 1"), "{text}");
}
