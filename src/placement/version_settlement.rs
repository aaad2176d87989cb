//! Decides when streams of a service may begin at a second software version, and when the service has
//! run one version alone for so long that no stream of another one may still be continued.

use std::collections::BTreeMap;

use crate::consensus::directory::ReplicaPhase;
use crate::consensus::software_versions::{SoftwareVersion, VersionMix};
use crate::consensus::state::{Command, SiteState};
use crate::ids::ServiceName;

/// Time between two checks, in milliseconds: each one scans all replicas.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between two checks whether a second version is opened, in milliseconds.
const OPENING_CHECK_INTERVAL_MS: u64 = 100;
/// Time for which streams begin at the first of two versions alone, in milliseconds: entries learn
/// that the second one has registered, and clients of those that fail before then return.
pub const OPENING_MS: u64 = 2_000;

/// Version that alone serves.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SoleVersion {
    version: SoftwareVersion,
    /// How often the service's versions had changed.
    changes: u64,
    since_ms: u64,
}

/// Soft state of the leader: since when services run one version, or open a second one. A new leader
/// waits anew.
#[derive(Clone, Debug, Default)]
pub struct VersionSettlement {
    opening_checked_ms: u64,
    opening: BTreeMap<ServiceName, u64>,
    checked_ms: u64,
    sole: BTreeMap<ServiceName, SoleVersion>,
    /// Since when the earlier routes to services are as they are, with the count of their changes.
    earlier: BTreeMap<ServiceName, (u64, u64)>,
}

impl VersionSettlement {
    /// Returns the commands that are due.
    pub fn check(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        let mut commands = self.check_opening(state, now_ms);
        if now_ms >= self.checked_ms + CHECK_INTERVAL_MS {
            self.checked_ms = now_ms;
            commands.extend(self.check_sole(state, now_ms));
            commands.extend(self.check_earlier(state, now_ms));
        }
        commands
    }

    /// Returns the commands for services whose second version is opened now: after a time, or as no
    /// replica of the first one can begin streams.
    fn check_opening(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        if now_ms < self.opening_checked_ms + OPENING_CHECK_INTERVAL_MS {
            return Vec::new();
        }
        self.opening_checked_ms = now_ms;
        let before = std::mem::take(&mut self.opening);
        let mut commands = Vec::new();
        for (service, mix) in state.versions().mixes() {
            let VersionMix::Opening(first) = mix else {
                continue;
            };
            let since_ms = before.get(service).copied().unwrap_or(now_ms);
            self.opening.insert(service.clone(), since_ms);
            if now_ms >= since_ms + OPENING_MS || !is_served_by(state, service, first) {
                commands.push(Command::VersionsOpened(service.clone()));
            }
        }
        commands
    }

    fn check_sole(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        let mixes = state.versions().mixes();
        let several = |service: &ServiceName| mixes.get(service) == Some(&VersionMix::Several);
        let mut known = std::mem::take(&mut self.sole);
        for (service, version) in sole_versions(state) {
            let (Some(version), true) = (version, several(service)) else {
                continue;
            };
            let changes = state.versions().changes(service);
            let since_ms = match known.remove(service) {
                Some(known) if known.version == version && known.changes == changes => {
                    known.since_ms
                }
                _ => now_ms,
            };
            let sole = SoleVersion {
                version,
                changes,
                since_ms,
            };
            self.sole.insert(service.clone(), sole);
        }
        let configuration = state.configuration.as_ref();
        let Some(configuration) = configuration.map(|record| &record.configuration) else {
            return Vec::new();
        };
        let due = self.sole.iter().filter(|(service, sole)| {
            let present_ms = configuration.stream_memory_ms(service);
            let keep_ms = present_ms.max(state.streams().keep_ms(service));
            now_ms >= sole.since_ms.saturating_add(keep_ms)
        });
        due.map(|(service, sole)| {
            Command::VersionSettled(service.clone(), sole.version.clone(), sole.changes)
        })
        .collect()
    }
}

impl VersionSettlement {
    /// Returns the commands for services whose earlier routes matter no more.
    fn check_earlier(&mut self, state: &SiteState, now_ms: u64) -> Vec<Command> {
        let known = std::mem::take(&mut self.earlier);
        let mut commands = Vec::new();
        for (service, routes) in state.streams().by_service() {
            let since_ms = match known.get(service) {
                Some((changes, since_ms)) if *changes == routes.changes => *since_ms,
                _ => now_ms,
            };
            self.earlier
                .insert(service.clone(), (routes.changes, since_ms));
            if now_ms >= since_ms.saturating_add(routes.keep_ms) {
                let command = Command::EarlierRoutesSettled(service.clone(), routes.changes);
                commands.push(command);
            }
        }
        commands
    }
}

/// Whether a ready replica of a service runs a version.
fn is_served_by(state: &SiteState, service: &ServiceName, version: &SoftwareVersion) -> bool {
    let mut records = state.replicas.records().values();
    records.any(|record| {
        record.service == *service
            && record.phase == ReplicaPhase::Ready
            && state.versions().version(record) == *version
    })
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
