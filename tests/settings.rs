//! Settings: the examples are valid, and errors name the line and the field.

use std::path::Path;

use dunlinspring::cli::load::LoadMix;
use dunlinspring::process::settings::{
    AgentSettings, ControlSettings, EntrySettings, ValidatedSettings, parse, show,
};

fn example<S: ValidatedSettings>(name: &str) -> (S, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples/settings")
        .join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    (parse(&path, &text).unwrap(), text)
}

fn fault<S: ValidatedSettings>(name: &str, from: &str, to: &str) -> String {
    let (_, text) = example::<S>(name);
    assert!(text.contains(from), "the example has no '{from}' any more");
    let changed = text.replacen(from, to, 1);
    match parse::<S>(Path::new("settings.json"), &changed) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn the_examples_are_valid() {
    let (fiji, _) = example::<ControlSettings>("fiji-control.json");
    let (heredia, _) = example::<ControlSettings>("heredia-control.json");
    assert_eq!(
        (fiji.site.models.len(), heredia.site.models.len()),
        (91, 135)
    );
    assert!(fiji.duties.move_price < heredia.duties.move_price);
    example::<EntrySettings>("entry.json");
    example::<AgentSettings>("agent.json");
    example::<LoadMix>("load.json");
}

#[test]
fn faults_are_named_with_line_and_field() {
    let faults = [
        fault::<AgentSettings>("agent.json", "\"slots\": 32", "\"slotz\": 32"),
        fault::<AgentSettings>("agent.json", "\"slots\": 32", "\"slots\": \"many\""),
        fault::<AgentSettings>("agent.json", "\"slots\": 32", "\"slots\": 0"),
        fault::<AgentSettings>(
            "agent.json",
            "\"check\": \"fenced\"",
            "\"check\": \"maybe\"",
        ),
        fault::<AgentSettings>("agent.json", "\"memory_mib\": 80000,", ""),
        fault::<AgentSettings>("agent.json", "\"queue\"", "queue"),
        fault::<EntrySettings>("entry.json", "10.0.0.20:8080", "here"),
        fault::<EntrySettings>("entry.json", "\"workers\": 4", "\"workers\": 0"),
        fault::<EntrySettings>("entry.json", "\"0000", "\"zz00"),
        fault::<ControlSettings>(
            "fiji-control.json",
            "\"heartbeat_ms\": 100",
            "\"heartbeat_ms\": 400",
        ),
        fault::<ControlSettings>(
            "fiji-control.json",
            "\"adapter\": \"base-00\"",
            "\"adapter\": \"nobody\"",
        ),
        fault::<ControlSettings>(
            "fiji-control.json",
            "\"generation\": 1",
            "\"generation\": 0",
        ),
        fault::<LoadMix>("load.json", "\"rate\": 30", "\"rate\": -1"),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn keys_are_masked_when_shown() {
    let (entry, _) = example::<EntrySettings>("entry.json");
    let shown = show(&entry);
    assert!(shown.contains("********") && !shown.contains("000000"));
}
