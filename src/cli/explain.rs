//! Reconstructs the timeline of one request from the logs of all processes.
//!
//! Pure: log lines in, text out. The lines of the request are shown together with the lines
//! near it about its replicas and models, and about configuration and leadership.

use std::collections::BTreeSet;

use crate::cli::log_line::LogLine;

/// Time before and after a request from which other lines are shown, in seconds.
const CONTEXT_S: f64 = 5.0;

/// Returns the lines that explain a request, oldest first. Empty if no line names the request.
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<String> {
    let lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let own = |line: &&LogLine| line.field("request") == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(own).collect();
    let times = || own.iter().map(|line| line.at_s);
    let took_ms = own
        .iter()
        .filter_map(|line| line.fields.get("took_ms")?.as_f64());
    let took_s = took_ms.fold(0.0, f64::max) / 1000.0;
    let from_s = times().fold(f64::INFINITY, f64::min) - took_s - CONTEXT_S;
    let until_s = times().fold(f64::NEG_INFINITY, f64::max) + CONTEXT_S;
    let named = |name: &str| -> BTreeSet<&str> {
        let values = own.iter().filter_map(|line| line.field(name));
        values.filter(|value| !value.is_empty()).collect()
    };
    let hosts: BTreeSet<&str> = own.iter().map(|line| line.host.as_str()).collect();
    let replicas = named("replica");
    let models: BTreeSet<&str> = named("model")
        .into_iter()
        .map(|model| model.split('/').next().unwrap_or(model))
        .collect();
    let resumed = named("resumes");
    // Attempts of one client at the same stream, of any age.
    let continues = |line: &LogLine| {
        let resumes = line.field("resumes");
        let is_taken_up = resumes == Some(id);
        is_taken_up || resumes.is_some_and(|first| resumed.contains(first))
    };
    let begins = |line: &LogLine| line.field("request").is_some_and(|r| resumed.contains(r));
    let contents = named("content");
    let parts = named("part");
    let belongs = |line: &LogLine| {
        // Crash reports that list this content or the part of its prompt, of any age: they are why
        // it was refused.
        let lists = |name: &str, digests: &BTreeSet<&str>| {
            let listed = line.field(name).unwrap_or_default().split(',');
            listed.into_iter().any(|digest| digests.contains(digest))
        };
        let ended = lists("contents", &contents)
            || (line.field("contents").is_some() && lists("parts", &parts));
        let other = line.field("request").is_some_and(|request| request != id);
        let replica = line
            .field("replica")
            .is_some_and(|name| replicas.contains(name));
        let model = line
            .field("model")
            .is_some_and(|name| models.contains(name));
        let general = [
            "leads",
            "leads no more",
            "configuration in force",
            "readiness",
            "stopping",
        ];
        let general = general.contains(&line.message.as_str());
        let general =
            general && (hosts.contains(line.host.as_str()) || line.message.starts_with("leads"));
        let near = (from_s..=until_s).contains(&line.at_s);
        line.field("request") == Some(id)
            || continues(line)
            || begins(line)
            || ended
            || (near && !other && (replica || model || general))
    };
    if own.is_empty() && !lines.iter().any(continues) {
        return Vec::new();
    }
    let mut timeline: Vec<&LogLine> = lines.iter().filter(|line| belongs(line)).collect();
    timeline.sort_by(|a, b| a.at.cmp(&b.at));
    timeline.into_iter().map(LogLine::render).collect()
}
