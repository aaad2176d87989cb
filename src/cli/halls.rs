//! The `halls` command: lists data halls, and stops or resumes requests to their replicas.

use std::collections::BTreeMap;

use crate::cli::{commands, control};
use crate::consensus::state::Command;
use crate::ids::HallName;
use crate::process::peers::ControlLink;
use crate::process::wire::ControlWireClient;
use crate::routing::view::SiteView;

/// `halls`, `halls evacuate NAME` and `halls restore NAME`.
pub async fn halls(args: &[String]) -> Result<i32, String> {
    let matches = commands::parse(&control::options(), args)?;
    let link = control::link(&matches)?;
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => list(&link, matches.opt_present("json")).await,
        ["evacuate", name] => propose(&link, name, Command::Evacuate(name.into())).await,
        ["restore", name] => propose(&link, name, Command::Restore(name.into())).await,
        _ => Err("halls takes no argument, evacuate NAME, or restore NAME".to_owned()),
    }
}

/// Row of the `halls` table.
#[derive(Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct HallRow {
    /// Whether the hall is evacuated: no requests are sent to its replicas.
    pub evacuated: bool,
    /// Number of replicas registered in the hall.
    pub replicas: usize,
    /// Number of those replicas that are warming up.
    pub cold: usize,
    /// Number of members in the hall: entries and agents.
    pub members: usize,
}

/// Returns all data halls that have replicas or members, or are evacuated.
pub fn rows(view: &SiteView) -> BTreeMap<HallName, HallRow> {
    let mut rows: BTreeMap<HallName, HallRow> = BTreeMap::new();
    for record in view.replicas.values() {
        let row = rows.entry(record.hall.clone()).or_default();
        row.replicas += 1;
        row.cold += usize::from(record.cold_ms > 0);
    }
    for member in view.members.values() {
        rows.entry(member.hall.clone()).or_default().members += 1;
    }
    for hall in &view.evacuated {
        rows.entry(hall.clone()).or_default().evacuated = true;
    }
    rows
}

/// Formats one line per data hall.
pub fn table(rows: &BTreeMap<HallName, HallRow>) -> String {
    let mut text = format!(
        "{:<24} {:<10} {:>8} {:>6} {:>8}\n",
        "hall", "state", "replicas", "cold", "members"
    );
    for (hall, row) in rows {
        let state = if row.evacuated { "evacuated" } else { "open" };
        let (hall, replicas) = (hall.as_str(), row.replicas);
        let (cold, members) = (row.cold, row.members);
        text.push_str(&format!(
            "{hall:<24} {state:<10} {replicas:>8} {cold:>6} {members:>8}\n"
        ));
    }
    text
}

async fn list(link: &ControlLink, as_json: bool) -> Result<i32, String> {
    let rows = rows(&control::read_view(link).await?);
    match as_json {
        true => println!("{}", control::json(&rows)?),
        false => print!("{}", table(&rows)),
    }
    Ok(0)
}

async fn propose(link: &ControlLink, name: &str, command: Command) -> Result<i32, String> {
    let rows = rows(&control::read_view(link).await?);
    if !rows.contains_key(&HallName::from(name)) {
        let known: Vec<&str> = rows.keys().map(HallName::as_str).collect();
        let known = known.join(", ");
        return Err(format!("halls: unknown data hall '{name}'; known: {known}"));
    }
    let call = |client: ControlWireClient, context| {
        let command = command.clone();
        async move { client.propose(context, command).await }
    };
    let reply = link
        .call_leader("halls", control::LEADER_TIMEOUT, call)
        .await;
    reply.map_err(|error| error.to_string())?;
    println!("{name}: accepted");
    Ok(0)
}
