//! Decides when a service has run one software version alone for so long that no stream of another
//! version may still be continued.

use std::collections::BTreeMap;

use crate::consensus::software_versions::{SoftwareVersion, VersionMix};
use crate::consensus::state::{Command, SiteState};
use crate::ids::ServiceName;

/// Time between two checks, in milliseconds: each one scans all replicas.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Soft state of the leader: since when services run one version. A new leader waits anew.
#[derive(Clone, Debug, Default)]
pub struct VersionSettlement {
    checked_ms: u64,
    sole: BTreeMap<ServiceName, (SoftwareVersion, u64)>,
}

impl VersionSettlement {
    /// Returns the commands that are due.
    pub fn check(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        let mixes = state.versions().mixes();
        if now_ms < self.checked_ms + CHECK_INTERVAL_MS {
            return Vec::new();
        }
        self.checked_ms = now_ms;
        let several = |service: &ServiceName| mixes.get(service) == Some(&VersionMix::Several);
        let mut known = std::mem::take(&mut self.sole);
        for (service, version) in sole_versions(state) {
            let (Some(version), true) = (version, several(service)) else {
                continue;
            };
            let since_ms = match known.remove(service) {
                Some((before, since_ms)) if before == version => since_ms,
                _ => now_ms,
            };
            self.sole.insert(service.clone(), (version, since_ms));
        }
        let configuration = state.configuration.as_ref();
        let Some(configuration) = configuration.map(|record| &record.configuration) else {
            return Vec::new();
        };
        let due = self.sole.iter().filter(|(service, (_, since_ms))| {
            now_ms >= since_ms.saturating_add(configuration.stream_memory_ms(service))
        });
        due.map(|(service, (version, _))| Command::VersionSettled(service.clone(), version.clone()))
            .collect()
    }
}

/// Returns for each service that has replicas the version that they all run; `None` for several.
fn sole_versions(state: &SiteState) -> BTreeMap<&ServiceName, Option<SoftwareVersion>> {
    let mut versions = BTreeMap::new();
    for record in state.replicas.records().values() {
        let version = Some(state.versions().version(record));
        let sole = versions
            .entry(&record.service)
            .or_insert_with(|| version.clone());
        if *sole != version {
            *sole = None;
        }
    }
    versions
}
