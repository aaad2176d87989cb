//! Digest of a request's content: equal for all its repeats, different for other contents.

use dunlinspring::ids::ContentDigest;
use dunlinspring::routing::content::{ContentParts, digest};

const PARTS: ContentParts = ContentParts {
    caller: "acme",
    host: "h.example",
    target: "/a/b?c",
    body: b"hello",
};

#[test]
fn a_repeat_has_the_same_digest_and_other_contents_have_another() {
    let expected = digest(&PARTS);
    let host = "H.Example";
    assert_eq!(expected, digest(&ContentParts { host, ..PARTS }));
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
        // Parts are delimited: bytes moved from one part to the next change the digest.
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
        assert_ne!(expected, digest(&other), "{other:?}");
    }
}

#[test]
fn a_digest_parses_as_it_is_displayed() {
    let expected = digest(&PARTS);
    let text = expected.to_string();
    assert_eq!(ContentDigest::parse(&text), Some(expected));
    for invalid in [
        "",
        &text[1..],
        &format!("{text}0"),
        &text.replace(&text[..1], "+"),
    ] {
        assert_eq!(ContentDigest::parse(invalid), None, "{invalid}");
    }
}
