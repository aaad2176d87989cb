//! The operators' program, as typed.

use std::process::Command;

fn run(args: &[&str]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_dunlinspring");
    let ended = Command::new(program).args(args).output().unwrap();
    let text = String::from_utf8(ended.stdout).unwrap() + &String::from_utf8(ended.stderr).unwrap();
    (ended.status.success(), text)
}

#[test]
fn every_command_answers_help() {
    for command in ["table", "status", "check", "demo", "load", "explain"] {
        let (good, text) = run(&[command, "--help"]);
        assert!(good, "{command}: {text}");
        assert!(text.starts_with("Usage: dunlinspring"), "{command}: {text}");
    }
}

#[test]
fn a_request_that_no_log_names_is_told_as_such() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log");
    std::fs::write(&log, "no log line\n").unwrap();
    let (good, text) = run(&["explain", "some-id", log.to_str().unwrap()]);
    assert!(!good);
    assert!(text.contains("no line names request some-id"), "{text}");
}
