//! Response headers that the entry does not know: reported once per name, in bounded memory.

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
    let reported: Vec<(&str, &str, bool)> = first
        .iter()
        .map(|header| (header.name.as_str(), header.value.as_str(), header.is_new))
        .collect();
    assert_eq!(reported, [("wish", "1.5", true)]);
    let again = known.find(&NAMES, &[header("WISH", "2")]);
    assert!(!again[0].is_new);
}

#[test]
fn invented_header_names_use_bounded_memory() {
    let mut known = UnknownHeaders::default();
    let mut names = std::collections::BTreeSet::new();
    for number in 0..10_000 {
        let invented = header(&format!("x-{number}-{}", "é".repeat(500)), &"é".repeat(500));
        let found = known.find(&NAMES, &[invented]);
        assert!(found[0].name.len() <= 64 && found[0].value.len() <= 64);
        names.insert(found[0].name.clone());
    }
    assert_eq!(names.len(), 33);
    assert!(names.contains("other"));
}
