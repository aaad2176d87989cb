//! The story of a request, from the logs of several processes.

use dunlinspring::cli::explain::explain;

const LOG: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"order","replica":"r1","model":"m","kind":"Unload"},"span":{"host":"c1"}}
{"timestamp":"2026-01-01T10:00:02.000000Z","fields":{"message":"request","request":"b","replica":"r1","model":"m"},"span":{"host":"e1"}}
not a log line { at all
  12.5 e2 {"timestamp":"2026-01-01T10:00:03.000000Z","fields":{"message":"request","request":"a","replica":"r1","model":"m/a1","took_ms":900,"status":502},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.000000Z","fields":{"message":"leads","term":"3"},"span":{"host":"c2"}}
{"timestamp":"2026-01-01T10:00:05.000000Z","fields":{"message":"order","replica":"r2","model":"n"},"span":{"host":"c1"}}
{"timestamp":"2026-01-01T10:10:00.000000Z","fields":{"message":"leads","term":"4"},"span":{"host":"c1"}}
"#;

#[test]
fn a_request_is_told_with_what_was_near_it() {
    let story = explain("a", LOG.lines());
    assert_eq!(
        story,
        [
            "2026-01-01T10:00:01.000000Z c1 order: kind=\"Unload\" model=\"m\" replica=\"r1\"",
            "2026-01-01T10:00:03.000000Z e2 request: model=\"m/a1\" replica=\"r1\" request=\"a\" status=502 took_ms=900",
            "2026-01-01T10:00:04.000000Z c2 leads: term=\"3\"",
        ]
    );
    assert!(explain("unknown", LOG.lines()).is_empty());
}
