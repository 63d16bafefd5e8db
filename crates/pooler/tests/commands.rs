//! Output and exit codes of the commands `pooler check` and `pooler members`.

use pooler_testbed::fleet::Fleet;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pooler");
/// The exit code for an invalid configuration: `EX_CONFIG` of `sysexits.h`.
const EXIT_CONFIG: Option<i32> = Some(78);

/// Exit code and output of a finished command.
#[derive(Debug, PartialEq, Eq)]
struct CommandResult {
    exit_code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the built pooler with these arguments, and without the environment variables that name configuration
/// files.
fn run_pooler(arguments: &[&str]) -> CommandResult {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("GW_CONFIG").env_remove("LINNETDEAL_OPERATOR");
    let output = command.output().unwrap();
    CommandResult {
        exit_code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A temporary file, deleted on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("pooler-test-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_accepts_a_valid_file_without_output() {
    let fleet = Fleet::start(2, 1).unwrap();
    let file = TempFile::new("valid.cue", &fleet.operator_config(""));
    let success = CommandResult { exit_code: Some(0), stdout: String::new(), stderr: String::new() };
    assert_eq!(run_pooler(&["check", file.path()]), success);
}

#[test]
fn check_reports_each_error_with_its_position() {
    let fleet = Fleet::start(2, 1).unwrap();
    let file = TempFile::new("invalid.cue", &fleet.operator_config("interval_s: 5\n\tprimary: 7"));
    let CommandResult { exit_code, stderr, .. } = run_pooler(&["check", file.path()]);
    assert_eq!(exit_code, EXIT_CONFIG);
    let path = file.path();
    assert!(stderr.contains(&format!("{path}:9:2: unknown field 'interval_s'")), "{stderr}");
    assert!(
        stderr.contains(&format!("{path}:10:")) && stderr.contains("found 7, expected string"),
        "{stderr}"
    );
}

#[test]
fn check_rejects_a_password_file_that_others_may_read() {
    let fleet = Fleet::start(2, 1).unwrap();
    let password = TempFile::new("password", "x");
    let user = format!("user: {{name: \"n\", password_file: {:?}}}", password.path());
    let file = TempFile::new("user.cue", &fleet.operator_config(&user));
    let CommandResult { exit_code, stderr, .. } = run_pooler(&["check", file.path()]);
    assert!(exit_code == EXIT_CONFIG && stderr.contains("accessible only to its owner"), "{stderr}");
}

#[test]
fn check_reports_errors_of_the_platform_configuration() {
    let file = TempFile::new("config.json", "{\n  \"listen\": 7}");
    let CommandResult { exit_code, stderr, .. } = run_pooler(&["check", "--config", file.path()]);
    assert_eq!(exit_code, EXIT_CONFIG);
    assert!(stderr.contains(file.path()) && stderr.contains("line 2 column"), "{stderr}");
}

#[test]
fn members_lists_the_endpoints_of_the_registry() {
    let fleet = Fleet::start(2, 1).unwrap();
    let file = TempFile::new("members.cue", &fleet.operator_config(""));
    let CommandResult { exit_code, stdout, .. } =
        run_pooler(&["members", "--operator", file.path(), "--json"]);
    assert_eq!(exit_code, Some(0));
    let report: Value = serde_json::from_str(&stdout).unwrap();
    let endpoints = report["members"].as_array().unwrap();
    assert_eq!(endpoints.len(), 2);
    assert_eq!(
        (&endpoints[0]["member"], &endpoints[0]["state"], &endpoints[0]["primary"]),
        (&json!("s-1"), &json!("up"), &json!(true))
    );
    assert_eq!(endpoints[1]["address"], json!(fleet.servers["s-2"].address.to_string()));
    let CommandResult { stdout, .. } = run_pooler(&["members", "--operator", file.path()]);
    assert!(stdout.starts_with("MEMBER") && stdout.lines().count() == 3, "{stdout}");
}
