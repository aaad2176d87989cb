//! Software versions of replicas, as stored in the replicated log.
//!
//! A stream may be continued only by a replica of the software version that began it. A version is
//! a property of one incarnation: a restart under the same id or address may bring another one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::consensus::directory::ReplicaRecord;
use crate::ids::{ReplicaId, ReplicaIncarnation, ServiceName, VersionName};

/// Software version of one incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SoftwareVersion {
    /// The version that the replica named.
    Named(VersionName),
    /// The replica named none: its version equals that of no other incarnation.
    Unnamed(ReplicaIncarnation),
}

impl std::fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Named(name) => name.fmt(f),
            Self::Unnamed(incarnation) => write!(f, "unnamed, {incarnation}"),
        }
    }
}

/// Longest version name that is stored as given, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Returns the name of a version that a replica reported; `None` for a blank text. A longer text is
/// replaced by its digest.
pub fn version_name(text: &str) -> Option<VersionName> {
    match text.trim() {
        "" => None,
        text if text.len() <= MAX_NAME_BYTES => Some(VersionName::from(text)),
        text => Some(VersionName(format!("{:x}", Sha256::digest(text)))),
    }
}

/// A replica's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaHeartbeat {
    /// State of the replica.
    pub record: ReplicaRecord,
    /// Software version, if the replica names one.
    pub version: Option<VersionName>,
}

impl From<ReplicaRecord> for ReplicaHeartbeat {
    fn from(record: ReplicaRecord) -> Self {
        Self {
            record,
            version: None,
        }
    }
}

/// Which software versions the replicas of a service run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionMix {
    /// This version alone has served for longer than a stream may last.
    Sole(SoftwareVersion),
    /// Several versions serve, or did so while streams that may still be continued began.
    Several,
    /// A second version has registered. Streams still begin at this version alone, so that it is the
    /// origin of all streams whose origin is not stored, while entries store those they serve.
    Opening(SoftwareVersion),
}

impl VersionMix {
    /// Whether the origins of streams must be stored, as several versions serve or will soon.
    pub fn is_mixed(&self) -> bool {
        !matches!(self, Self::Sole(_))
    }

    /// Returns the version that began all streams which may still be continued, if there is one.
    pub fn only_origin(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Sole(version) | Self::Opening(version) => Some(version),
            Self::Several => None,
        }
    }
}

/// Version of which a replica of a service was registered last, and how often that has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ObservedVersion {
    version: SoftwareVersion,
    changes: u64,
}

/// Names of the versions of known incarnations.
pub type NamedVersions = BTreeMap<ReplicaIncarnation, VersionName>;

/// Software versions of the registered replicas, and which services run several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStore {
    named: NamedVersions,
    mixes: BTreeMap<ServiceName, VersionMix>,
    observed: BTreeMap<ServiceName, ObservedVersion>,
}

impl VersionStore {
    /// Returns the names of the versions of known incarnations.
    pub fn named(&self) -> &NamedVersions {
        &self.named
    }

    /// Returns which versions each service runs.
    pub fn mixes(&self) -> &BTreeMap<ServiceName, VersionMix> {
        &self.mixes
    }

    /// Returns how often replicas of a service registered at another version than the one before.
    pub fn changes(&self, service: &ServiceName) -> u64 {
        self.observed.get(service).map_or(0, |last| last.changes)
    }

    /// Returns the version of a replica.
    pub fn version(&self, record: &ReplicaRecord) -> SoftwareVersion {
        version_of(&self.named, record)
    }

    /// Whether a heartbeat names a version that is not stored.
    pub fn is_new(&self, heartbeat: &ReplicaHeartbeat) -> bool {
        let incarnation = heartbeat.record.incarnation();
        let version = heartbeat.version.as_ref();
        version.is_some_and(|version| self.named.get(&incarnation) != Some(version))
    }

    /// Stores the name of an incarnation's version, and forgets earlier incarnations. Replicas that
    /// do not report their start time may restart at another version unnoticed: the newest name
    /// holds.
    pub fn name(&mut self, incarnation: &ReplicaIncarnation, version: &VersionName) {
        self.named
            .retain(|other, _| other.id != incarnation.id || other == incarnation);
        self.named.insert(incarnation.clone(), version.clone());
    }

    /// Forgets all incarnations of a replica.
    pub fn forget(&mut self, id: &ReplicaId) {
        forget(&mut self.named, id);
    }

    /// Records that a replica of a service runs a version; `is_alone` is whether it is the only
    /// one. Returns the service's versions if they have changed.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        is_alone: bool,
    ) -> Option<&VersionMix> {
        match self.observed.get_mut(service) {
            Some(observed) if observed.version == *version => {}
            Some(observed) => {
                observed.version = version.clone();
                observed.changes += 1;
            }
            None => {
                let observed = ObservedVersion {
                    version: version.clone(),
                    changes: 0,
                };
                self.observed.insert(service.clone(), observed);
            }
        }
        let mix = match self.mixes.get(service) {
            None if is_alone => VersionMix::Sole(version.clone()),
            // The versions of the other replicas were registered before versions were stored.
            None => VersionMix::Several,
            Some(VersionMix::Sole(sole)) if sole != version => VersionMix::Opening(sole.clone()),
            Some(_) => return None,
        };
        self.mixes.insert(service.clone(), mix);
        self.mixes.get(service)
    }

    /// Lets streams of a service begin at all of its versions. Returns whether that is a change.
    pub fn open(&mut self, service: &ServiceName) -> bool {
        let is_opening = matches!(self.mixes.get(service), Some(VersionMix::Opening(_)));
        if is_opening {
            self.mixes.insert(service.clone(), VersionMix::Several);
        }
        is_opening
    }

    /// Records that one version alone has served a service for long enough. Returns whether that is
    /// a change. Without effect if a replica of another version is registered, or if versions have
    /// changed since there were `changes`.
    pub fn settle<'a>(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        changes: u64,
        mut records: impl Iterator<Item = &'a ReplicaRecord>,
    ) -> bool {
        let several = self.mixes.get(service) == Some(&VersionMix::Several);
        let alone = self.changes(service) == changes
            && records.all(|record| record.service != *service || self.version(record) == *version);
        if several && alone {
            let mix = VersionMix::Sole(version.clone());
            self.mixes.insert(service.clone(), mix);
        }
        several && alone
    }
}

/// Returns the version of a replica, given the names of known incarnations.
pub fn version_of(named: &NamedVersions, record: &ReplicaRecord) -> SoftwareVersion {
    let incarnation = record.incarnation();
    match named.get(&incarnation) {
        Some(name) => SoftwareVersion::Named(name.clone()),
        None => SoftwareVersion::Unnamed(incarnation),
    }
}

/// Forgets all incarnations of a replica.
pub fn forget(named: &mut NamedVersions, id: &ReplicaId) {
    named.retain(|incarnation, _| incarnation.id != *id);
}
