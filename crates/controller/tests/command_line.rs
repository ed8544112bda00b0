//! Tests of the program's exit codes and messages, which operators' scripts may depend on.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = r#"
node = "n0"
domain = "a"
front = "FRONT"
peer_bind = "127.0.0.1:0"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
nodes = 1
[params.workers]
report_s = 2.5
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 37.0
[params.state]
rps = 250.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20
[params.cloud]
rps = 4.0
list_lag_s = 10.0
"#;

/// Writes a settings file in the folder for the files of these tests, and returns its path.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a settings file");
    path
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rudderreel"));
    command.args(args).env("LOG_LEVEL", "off");
    command.output().expect("the program runs")
}

/// Runs the program, which must fail with exit code 2 and print nothing on standard output, and returns its standard
/// error.
fn run_to_failure(args: &[&str]) -> String {
    let output = run(args);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn valid_settings_are_confirmed() {
    let file = settings_file("good.toml", &SETTINGS.replace("FRONT", "127.0.0.1:0"));
    let path = file.to_str().expect("a path");
    let output = run(&["check", "--config", path]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text, format!("{path}: node n0 of 1\n"));
}

#[test]
fn an_unusable_settings_file_is_reported_with_the_reason() {
    let missing = "/nonexistent/settings.toml";
    let text = run_to_failure(&["--config", missing]);
    assert_eq!(
        text,
        format!("rudderreel: {missing}: No such file or directory (os error 2)\n")
    );
    let wrong = SETTINGS.replace("lease_s = 12.0", "lease_s = -1.0");
    let file = settings_file("wrong.toml", &wrong.replace("FRONT", "127.0.0.1:0"));
    let path = file.to_str().expect("a path");
    let reason = "field `params.workers.lease_s`: must be a number above 0";
    let expected = format!("rudderreel: {path}: {reason}\n");
    assert_eq!(run_to_failure(&["--config", path]), expected);
    assert_eq!(run_to_failure(&["check", "--config", path]), expected);
}

#[test]
fn an_address_in_use_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the test listens");
    let taken = listener.local_addr().expect("an address").to_string();
    let file = settings_file("taken.toml", &SETTINGS.replace("FRONT", &taken));
    let text = run_to_failure(&["--config", file.to_str().expect("a path")]);
    let reason = "Address already in use (os error 98)";
    assert_eq!(text, format!("rudderreel: {taken}: {reason}\n"));
}

#[test]
fn a_missing_config_option_is_reported() {
    let text = run_to_failure(&[]);
    assert_eq!(text, "rudderreel: --config FILE is required (see --help)\n");
}

#[test]
fn admin_reports_an_unreachable_node_and_a_missing_file() {
    let text = run_to_failure(&["admin", "--node", "127.0.0.1:1", "overview"]);
    assert_eq!(text, "rudderreel: 127.0.0.1:1 does not answer\n");
    let file = "/nonexistent/settings.json";
    let text = run_to_failure(&["admin", "--node", "127.0.0.1:1", "settings", "set", file]);
    assert_eq!(
        text,
        format!("rudderreel: {file}: No such file or directory (os error 2)\n")
    );
}
