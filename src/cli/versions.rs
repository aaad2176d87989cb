//! The `versions` command: the software versions that the replicas of each service run.

use std::collections::BTreeMap;

use crate::cli::{commands, control};
use crate::consensus::directory::ReplicaPhase;
use crate::consensus::software_versions::VersionMix;
use crate::ids::ServiceName;
use crate::routing::view::SiteView;

/// `versions`: prints the software versions of each service.
pub async fn versions(args: &[String]) -> Result<i32, String> {
    let matches = commands::parse(&control::options(), args)?;
    if let Some(word) = matches.free.first() {
        return Err(format!("versions: unexpected argument '{word}'"));
    }
    let link = control::link(&matches)?;
    let rows = rows(&control::read_view(&link).await?);
    match matches.opt_present("json") {
        true => println!("{}", control::json(&rows)?),
        false => print!("{}", table(&rows)),
    }
    Ok(0)
}

/// Which versions of a service serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// The leader has not recorded it.
    #[default]
    Unknown,
    /// One version alone.
    Sole,
    /// A second version has registered, and streams begin at the first one alone.
    Opening,
    /// Several versions.
    Several,
}

impl VersionState {
    fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Sole => "sole",
            Self::Opening => "opening",
            Self::Several => "several",
        }
    }
}

/// Versions of one service.
#[derive(Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ServiceRow {
    /// Which versions serve.
    pub state: VersionState,
    /// Replicas of each version.
    pub versions: BTreeMap<String, VersionRow>,
}

/// Replicas of one version.
#[derive(Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct VersionRow {
    /// Number of ready replicas.
    pub ready: usize,
    /// Number of draining replicas.
    pub draining: usize,
    /// Number of all registered replicas.
    pub replicas: usize,
    /// Earliest start of a registered replica, in milliseconds since the epoch by its clock; `None`
    /// if none reports it.
    pub first_start_ms: Option<u64>,
}

/// Returns the services that have replicas, or whose versions are recorded.
pub fn rows(view: &SiteView) -> BTreeMap<ServiceName, ServiceRow> {
    let mut rows: BTreeMap<ServiceName, ServiceRow> = BTreeMap::new();
    for (service, mix) in &view.version_mixes {
        let row = rows.entry(service.clone()).or_default();
        row.state = state(mix);
        // Listed without replicas, too: streams of unknown origin began there.
        if let Some(version) = mix.only_origin() {
            row.versions.entry(version.to_string()).or_default();
        }
    }
    for record in view.replicas.values() {
        let service = rows.entry(record.service.clone()).or_default();
        let version = view.version(record).to_string();
        let row = service.versions.entry(version).or_default();
        row.replicas += 1;
        row.ready += usize::from(record.phase == ReplicaPhase::Ready);
        row.draining += usize::from(record.phase == ReplicaPhase::Draining);
        let start_ms = Some(record.started_ms).filter(|start_ms| *start_ms > 0);
        row.first_start_ms = match (row.first_start_ms, start_ms) {
            (Some(known_ms), Some(start_ms)) => Some(known_ms.min(start_ms)),
            (known_ms, start_ms) => known_ms.or(start_ms),
        };
    }
    rows
}

fn state(mix: &VersionMix) -> VersionState {
    match mix {
        VersionMix::Sole(_) => VersionState::Sole,
        VersionMix::Opening(_) => VersionState::Opening,
        VersionMix::Several => VersionState::Several,
    }
}

/// Formats one line per version of a service.
pub fn table(rows: &BTreeMap<ServiceName, ServiceRow>) -> String {
    let mut text = format!(
        "{:<24} {:<8} {:<24} {:>8} {:>6} {:>8} {:>16}\n",
        "service", "state", "version", "replicas", "ready", "draining", "first start ms"
    );
    for (service, row) in rows {
        let head = format!("{:<24} {:<8}", service.as_str(), row.state.name());
        for (version, counts) in &row.versions {
            let start = counts.first_start_ms;
            let start = start.map_or("-".to_owned(), |start_ms| start_ms.to_string());
            let (replicas, ready, draining) = (counts.replicas, counts.ready, counts.draining);
            text.push_str(&format!(
                "{head} {version:<24} {replicas:>8} {ready:>6} {draining:>8} {start:>16}\n"
            ));
        }
    }
    text
}
