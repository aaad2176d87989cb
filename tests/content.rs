//! The name of what a request asks: the same for all its repeats, and nobody else's.

use dunlinspring::ids::ContentDigest;
use dunlinspring::routing::content::{ContentParts, digest};

const PARTS: ContentParts = ContentParts {
    caller: "acme",
    host: "h.example",
    target: "/a/b?c",
    body: b"hello",
};

#[test]
fn a_repeat_has_the_same_name_and_anything_else_has_another() {
    let own = digest(&PARTS);
    let host = "H.Example";
    assert_eq!(own, digest(&ContentParts { host, ..PARTS }));
    let others = [
        ContentParts {
            caller: "acm",
            ..PARTS
        },
        ContentParts {
            host: "i.example",
            ..PARTS
        },
        ContentParts {
            target: "/a/b",
            ..PARTS
        },
        ContentParts {
            body: b"hello!",
            ..PARTS
        },
        // What ends one part does not begin the next.
        ContentParts {
            caller: "acmeh",
            host: ".example",
            ..PARTS
        },
        ContentParts {
            target: "/a/b?chello",
            body: b"",
            ..PARTS
        },
    ];
    for other in others {
        assert_ne!(own, digest(&other), "{other:?}");
    }
}

#[test]
fn a_name_is_read_as_it_is_written() {
    let own = digest(&PARTS);
    let text = own.to_string();
    assert_eq!(ContentDigest::parse(&text), Some(own));
    for wrong in [
        "",
        &text[1..],
        &format!("{text}0"),
        &text.replace(&text[..1], "+"),
    ] {
        assert_eq!(ContentDigest::parse(wrong), None, "{wrong}");
    }
}
