//! Names that are requested without being served: what entries report, and what the leader merges.

use dunlinspring::ids::ModelName;
use dunlinspring::placement::unserved::{
    MAX_REPORTED_NAMES, NameWait, RefusedNames, ServedName, UnservedNames, UnservedSummary,
};

fn name(adapter: &str) -> ServedName {
    ServedName {
        model: ModelName::from("m"),
        adapter: Some(adapter.to_owned()),
    }
}

#[test]
fn an_entry_reports_a_refused_name_until_it_serves_it() {
    let mut names = RefusedNames::default();
    let wait = |unserved_ms, idle_ms| NameWait {
        name: name("a1"),
        unserved_ms,
        idle_ms,
    };
    names.record_refusal(1_000, &name("a1"));
    assert_eq!(names.report(3_000), [wait(2_000, 2_000)]);
    names.record_refusal(4_000, &name("a1"));
    assert_eq!(names.report(5_000), [wait(4_000, 1_000)]);
    names.record_service(&name("a1"));
    assert_eq!(names.report(5_050), []);
    names.record_refusal(5_100, &name("a1"));
    assert_eq!(names.report(5_500), [wait(400, 400)]);
}

#[test]
fn a_name_counts_once_its_callers_came_back_in_vain_to_any_entry() {
    let mut entries = [RefusedNames::default(), RefusedNames::default()];
    let mut names = UnservedNames::default();
    entries[0].record_refusal(1_000, &name("a1"));
    names.record_report(1_500, &entries[0].report(1_500));
    assert_eq!(names.oldest_first(), []);
    entries[1].record_refusal(1_900, &name("a1"));
    names.record_report(1_950, &entries[1].report(1_950));
    assert_eq!(
        names.oldest_first(),
        [],
        "within a second of the first refusal"
    );
    entries[1].record_refusal(2_000, &name("a1"));
    names.record_report(2_500, &entries[1].report(2_500));
    assert_eq!(names.oldest_first(), [(&name("a1"), 1_000)]);
}

#[test]
fn names_refused_since_the_last_report_come_before_those_that_wait_longer() {
    let mut names = RefusedNames::default();
    for number in 0..100 {
        names.record_refusal(number, &name(&format!("a{number}")));
    }
    names.report(1_000);
    names.record_refusal(1_500, &name("new"));
    let waits = names.report(2_000);
    assert_eq!(waits.len(), MAX_REPORTED_NAMES);
    assert_eq!(
        (&waits[0].name, &waits[1].name),
        (&name("new"), &name("a0"))
    );
}

#[test]
fn a_report_is_bounded_and_lists_the_names_that_have_waited_longest() {
    let mut names = RefusedNames::default();
    for number in 0..100 {
        names.record_refusal(number, &name(&format!("a{number}")));
        names.record_refusal(number + 2_000, &name(&format!("a{number}")));
    }
    let waits = names.report(2_100);
    assert_eq!(waits.len(), MAX_REPORTED_NAMES);
    assert_eq!(waits[0].name, name("a0"));
    assert_eq!(waits[31].name, name("a31"));
    assert_eq!(names.report(60_000), [], "nobody asks any more");
}

#[test]
fn the_leader_counts_from_the_earliest_refusal_since_the_name_was_served() {
    let mut names = UnservedNames::default();
    let wait = |unserved_ms: u64| NameWait {
        name: name("a1"),
        unserved_ms,
        idle_ms: 100,
    };
    names.record_report(10_000, &[wait(4_000)]);
    names.record_report(10_000, &[wait(6_000)]);
    assert_eq!(names.since_ms(&name("a1")), Some(4_000));
    let summary = names.summary(10_000);
    assert_eq!((summary.names, summary.longest_ms), (1, 6_000));
    names.record_service(10_500, &name("a1"));
    assert_eq!(names.since_ms(&name("a1")), None);
    // An entry that did not serve it since counts from a time before.
    names.record_report(13_000, &[wait(9_000)]);
    assert_eq!(names.since_ms(&name("a1")), Some(10_500));
}

#[test]
fn a_new_leader_learns_the_same_times_from_the_next_reports() {
    let mut entry = RefusedNames::default();
    entry.record_refusal(1_000, &name("a1"));
    entry.record_refusal(9_000, &name("a1"));
    let mut names = UnservedNames::default();
    names.record_report(9_500, &entry.report(9_500));
    assert_eq!(names.oldest_first(), [(&name("a1"), 1_000)]);
}

#[test]
fn names_that_nobody_requests_or_no_engine_has_are_forgotten() {
    let mut names = UnservedNames::default();
    for adapter in ["a1", "a2"] {
        names.record_refusals(&name(adapter), 1_000, 3_000);
    }
    names.prune(4_000, |known| *known == name("a1"));
    assert_eq!(names.oldest_first(), [(&name("a1"), 1_000)]);
    names.prune(30_000, |_| true);
    assert_eq!(names.summary(30_000), UnservedSummary::default());
}
