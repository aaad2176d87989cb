//! The operators' command-line program: arguments, error messages and tables.

mod support_replicas;

use std::process::Command;

use dunlinspring::cli::{accounts, contents, halls, versions};
use dunlinspring::consensus::crashes::{CrashReport, CrashStore};
use dunlinspring::consensus::directory::{ReplicaPhase, ReplicaRecord};
use dunlinspring::consensus::software_versions::{SoftwareVersion, VersionMix};
use dunlinspring::ids::{
    AccountName, ContentDigest, HallName, ReplicaId, ReplicaIncarnation, ServiceName, VersionName,
};
use dunlinspring::process::wire::{AccountStatus, LimitStatus};
use dunlinspring::routing::view::SiteView;
use dunlinspring::table::accounts::{QuotaSpec, QuotaUnit};
use dunlinspring::table::quota::QuotaUsage;
use support_replicas::ready_replica;

fn run(args: &[&str]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_dunlinspring");
    let ended = Command::new(program).args(args).output().unwrap();
    let text = String::from_utf8(ended.stdout).unwrap() + &String::from_utf8(ended.stderr).unwrap();
    (ended.status.success(), text)
}

#[test]
fn every_command_prints_help() {
    for command in [
        "table", "status", "accounts", "contents", "halls", "versions", "check", "demo", "load",
        "explain",
    ] {
        let (success, text) = run(&[command, "--help"]);
        assert!(success, "{command}: {text}");
        assert!(text.starts_with("Usage: dunlinspring"), "{command}: {text}");
    }
}

#[test]
fn explain_of_an_unknown_request_says_so() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log");
    std::fs::write(&log, "no log line\n").unwrap();
    let (success, text) = run(&["explain", "some-id", log.to_str().unwrap()]);
    assert!(!success);
    assert!(text.contains("no line names request some-id"), "{text}");
}

#[test]
fn explain_of_a_target_names_the_invalid_argument() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log");
    std::fs::write(&log, "no log line\n").unwrap();
    let log = log.to_str().unwrap();
    let no_order = format!("--target: no line of {log} is about an order to 'r9'");
    let cases: [(&[&str], &str); 7] = [
        (&["--target", "r9", log], &no_order),
        (&["--target", "r9"], "explain --target r9: no FILE to read"),
        (&["--target", "r9", "/no/such/file"], "/no/such/file: "),
        (&[log, "--target"], "'target'"),
        (&["--lease-ms", "5", log], "'target'"),
        (
            &["--target", "r9", "--lease-ms", "soon", log],
            "--lease-ms: 'soon' is not a number",
        ),
        (
            &["--target", "r9", "--lease-ms=0", log],
            "--lease-ms must be at least 1",
        ),
    ];
    for (args, expected) in cases {
        let (success, text) = run(&[&["explain"], args].concat());
        assert!(!success && text.contains(expected), "{args:?}: {text}");
    }
}

#[test]
fn explain_of_a_target_ends_with_status_1_on_findings() {
    let log = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/two-hosts.log");
    let (success, text) = run(&["explain", "--target", "r1", log]);
    assert!(!success && text.contains("finding: "), "{text}");
    let (success, text) = run(&["explain", "--target", "r1", "--lease-ms", "100", log]);
    assert!(!success && !text.contains("within a lease"), "{text}");
    let (success, text) = run(&["explain", "--target=r2", log]);
    assert!(success && text.contains("no finding"), "{text}");
}

#[test]
fn accounts_are_shown_a_line_each() {
    let account = |name: &str, limit| AccountStatus {
        name: AccountName::from(name),
        priority: Some(1),
        keys: 2,
        limit,
    };
    let limit = LimitStatus {
        quota: QuotaSpec {
            unit: QuotaUnit::Tokens,
            per_s: 18_000.0,
            burst: 36_000.0,
            plain_tokens: 200,
        },
        usage: QuotaUsage {
            level: 1_200,
            drawn: 4_000,
            demand: 21_000,
            entries: 31,
            short: true,
        },
    };
    let accounts = [account("acme", Some(limit)), account("free", None)];
    insta::assert_snapshot!(accounts::table(&accounts));
}

#[test]
fn accounts_names_a_missing_option_or_file() {
    let (success, text) = run(&["accounts", "--control", "127.0.0.1:1"]);
    assert!(!success && text.contains("secret-file"), "{text}");
    let (success, text) = run(&["accounts", "-c", "127.0.0.1:1", "-s", "/no/such/file"]);
    assert!(!success && text.contains("/no/such/file"), "{text}");
}

#[test]
fn contents_are_shown_a_line_each_quarantined_ones_first() {
    let mut store = CrashStore::default();
    let content = |number: u8| ContentDigest([number; ContentDigest::LEN]);
    for started_ms in 1..=3 {
        let contents = match started_ms {
            1 => vec![content(1), content(2)],
            _ => vec![content(2)],
        };
        let report = CrashReport {
            replica: ReplicaIncarnation {
                id: ReplicaId::from("r1"),
                started_ms,
            },
            contents: contents.into_iter().collect(),
        };
        store.record(&report, 1_000 * started_ms);
    }
    insta::assert_snapshot!(contents::table(&store));
}

#[test]
fn halls_are_shown_a_line_each_including_empty_ones() {
    let mut view = SiteView::default();
    let evacuated = ["drained", "empty"];
    view.evacuated = evacuated.into_iter().map(HallName::from).collect();
    for (id, hall, cold_ms) in [("r1", "drained", 0), ("r2", "open", 900), ("r3", "open", 0)] {
        let record = ReplicaRecord {
            hall: HallName::from(hall),
            cold_ms,
            ..ready_replica(id, "llm")
        };
        view.replicas.insert(record.id.clone(), record);
    }
    insta::assert_snapshot!(halls::table(&halls::rows(&view)), @r"
hall                     state      replicas   cold  members
drained                  evacuated         1      0        0
empty                    evacuated         0      0        0
open                     open              2      1        0
");
}

#[test]
fn halls_names_a_missing_option_or_unknown_action() {
    let (success, text) = run(&["halls", "-c", "127.0.0.1:1"]);
    assert!(!success && text.contains("secret-file"), "{text}");
    let secret = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(secret.path(), "a secret that is long enough").unwrap();
    let file = secret.path().to_str().unwrap();
    let invalid = ["halls", "close", "h1", "-c", "127.0.0.1:1", "-s", file];
    let (success, text) = run(&invalid);
    assert!(!success && text.contains("evacuate NAME"), "{text}");
}

#[test]
fn versions_are_shown_a_line_each_with_the_state_of_their_service() {
    let named = |name: &str| SoftwareVersion::Named(VersionName::from(name));
    let mut view = SiteView::default();
    let mixes = [
        ("drafts", VersionMix::Opening(named("v1"))),
        ("gone", VersionMix::Sole(named("v3"))),
        ("llm", VersionMix::Several),
    ];
    for (service, mix) in mixes {
        view.version_mixes.insert(ServiceName::from(service), mix);
    }
    let replicas = [
        ("r1", "drafts", "v1", ReplicaPhase::Draining, 7_000),
        ("r2", "drafts", "v1", ReplicaPhase::Ready, 6_000),
        ("r3", "drafts", "v2", ReplicaPhase::Ready, 9_000),
        ("r4", "llm", "", ReplicaPhase::Silent, 5_000),
        ("r5", "llm", "v2", ReplicaPhase::Ready, 0),
        ("r6", "new", "v1", ReplicaPhase::Ready, 8_000),
    ];
    for (id, service, version, phase, started_ms) in replicas {
        let record = ReplicaRecord {
            phase,
            started_ms,
            ..ready_replica(id, service)
        };
        if !version.is_empty() {
            let incarnation = record.incarnation();
            view.versions
                .insert(incarnation, VersionName::from(version));
        }
        view.replicas.insert(record.id.clone(), record);
    }
    insta::assert_snapshot!(versions::table(&versions::rows(&view)), @r"
service                  state    version                  replicas  ready draining   first start ms
drafts                   opening  v1                              2      1        1             6000
drafts                   opening  v2                              1      1        0             9000
gone                     sole     v3                              0      0        0                -
llm                      several  unnamed, r4@5000                1      0        0             5000
llm                      several  v2                              1      1        0                -
new                      unknown  v1                              1      1        0             8000
");
}

#[test]
fn versions_names_a_missing_option_or_an_unexpected_argument() {
    let (success, text) = run(&["versions", "-c", "127.0.0.1:1"]);
    assert!(!success && text.contains("secret-file"), "{text}");
    let secret = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(secret.path(), "a secret that is long enough").unwrap();
    let file = secret.path().to_str().unwrap();
    let (success, text) = run(&["versions", "v1", "-c", "127.0.0.1:1", "-s", file]);
    assert!(
        !success && text.contains("unexpected argument 'v1'"),
        "{text}"
    );
}

#[test]
fn contents_names_a_missing_option_or_invalid_digest() {
    let (success, text) = run(&["contents", "-c", "127.0.0.1:1"]);
    assert!(!success && text.contains("secret-file"), "{text}");
    let secret = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(secret.path(), "a secret that is long enough").unwrap();
    let file = secret.path().to_str().unwrap();
    let invalid = ["contents", "lift", "c2", "-c", "127.0.0.1:1", "-s", file];
    let (success, text) = run(&invalid);
    assert!(
        !success && text.contains("'c2' is not 32 hexadecimal digits"),
        "{text}"
    );
}
