//! Headers of answers that nobody reads: told apart by name, and bounded.

mod support_names;

use dunlinspring::forward::head::Header;
use dunlinspring::forward::unknown_headers::UnknownHeaders;
use support_names::NAMES;

fn header(name: &str, value: &str) -> Header {
    (name.to_owned(), value.to_owned())
}

#[test]
fn an_unknown_header_is_new_once_whatever_its_case() {
    let mut known = UnknownHeaders::default();
    let headers = [
        header("Content-Length", "2"),
        header("stamp", "r1"),
        header("Wish", "1.5"),
    ];
    let first = known.find(&NAMES, &headers);
    let told: Vec<(&str, &str, bool)> = first
        .iter()
        .map(|header| (header.name.as_str(), header.value.as_str(), header.is_new))
        .collect();
    assert_eq!(told, [("wish", "1.5", true)]);
    let again = known.find(&NAMES, &[header("WISH", "2")]);
    assert!(!again[0].is_new);
}

#[test]
fn a_replica_that_makes_names_up_fills_no_memory() {
    let mut known = UnknownHeaders::default();
    let mut names = std::collections::BTreeSet::new();
    for number in 0..10_000 {
        let made_up = header(&format!("x-{number}-{}", "é".repeat(500)), &"é".repeat(500));
        let found = known.find(&NAMES, &[made_up]);
        assert!(found[0].name.len() <= 64 && found[0].value.len() <= 64);
        names.insert(found[0].name.clone());
    }
    assert_eq!(names.len(), 33);
    assert!(names.contains("other"));
}
