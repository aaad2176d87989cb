//! The story of a request, from the logs of several processes.

use dunlinspring::cli::day_table::day_table;
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

const DAY: &str = r#"
{"timestamp":"2026-01-01T10:00:01.000000Z","fields":{"message":"request","request":"a","route":"chat","replica":"r1","model":"m","prompt_tokens":2000,"waited_ms":0,"took_ms":400,"late":"","outcome":"answered","reason":""},"span":{"host":"e1"}}
{"timestamp":"2026-01-01T10:00:04.500000Z","fields":{"message":"request","request":"b","route":"chat","replica":"r2","model":"m/a1","prompt_tokens":3000,"waited_ms":200,"took_ms":900,"late":"pause","outcome":"answered","reason":""},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.600000Z","fields":{"message":"request","request":"c","route":"bill","replica":"","model":"","took_ms":10,"outcome":"refused","reason":"all replicas are full"},"span":{"host":"e2"}}
{"timestamp":"2026-01-01T10:00:04.700000Z","fields":{"message":"request","request":"d","status":404,"reason":"no such route"},"span":{"host":"e2"}}
"#;

#[test]
fn a_day_is_told_by_time_route_reason_replica_and_model() {
    insta::assert_snapshot!(day_table(DAY.lines()).unwrap());
    assert_eq!(day_table("nothing".lines()), None);
}
