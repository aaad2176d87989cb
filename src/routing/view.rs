//! A member's copy of the site state, which follows the log and never goes back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::crashes::CrashCounts;
use crate::consensus::directory::ReplicaRecord;
use crate::consensus::part_crashes::{PartStanding, PartStandings};
use crate::consensus::software_versions::{self, NamedVersions, SoftwareVersion, VersionMix};
use crate::consensus::state::{Change, HallStanding, HomeInfo, HomePhase, MemberInfo, SiteState};
use crate::consensus::stream_history::EarlierRoutesByService;
use crate::ids::{
    HallName, HostName, ModelName, PartnerName, Position, ReplicaId, RowId, ServiceName, TargetName,
};
use crate::table::configuration::Configuration;
use crate::table::rows::Row;
use crate::table::site::SiteSpec;

/// Changes of the log from a cursor on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncPage {
    /// Requested cursor; `None` if the page starts from an empty state.
    pub from: Option<Position>,
    /// Log position after the page.
    pub to: Position,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// Returns the page that a member at `cursor` needs.
pub fn page_after(state: &SiteState, cursor: Position) -> SyncPage {
    let to = state.changed();
    match state.changes_after(cursor) {
        Some(changes) if cursor > Position(0) => SyncPage {
            from: Some(cursor),
            to,
            changes,
        },
        _ => SyncPage {
            from: None,
            to,
            changes: state.all_changes(),
        },
    }
}

/// A member's copy of the site state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteView {
    /// Log position up to which it is applied.
    pub position: Position,
    /// Catalogue and targets.
    pub site: SiteSpec,
    /// Rows of the table.
    pub rows: BTreeMap<RowId, Row>,
    /// Members in their current incarnations.
    pub members: BTreeMap<HostName, MemberInfo>,
    /// Homes by model.
    pub homes: BTreeMap<ModelName, BTreeMap<TargetName, HomeInfo>>,
    /// Configuration in force, once there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// Registered replicas.
    pub replicas: BTreeMap<ReplicaId, ReplicaRecord>,
    /// Software versions that known incarnations of replicas named.
    pub versions: NamedVersions,
    /// Which software versions each service runs.
    pub version_mixes: BTreeMap<ServiceName, VersionMix>,
    /// Earlier routes to services, while streams that began under them may be continued.
    pub earlier_routes: EarlierRoutesByService,
    /// Number of replica crashes during each suspect or quarantined content.
    pub contents: CrashCounts,
    /// Standings of the prompt parts that ran when replicas crashed.
    pub parts: PartStandings,
    /// Evacuated data halls, whose replicas receive no further requests.
    pub evacuated: BTreeSet<HallName>,
    /// Rows by partner, model and class, so that a lookup needs no scan.
    by_class: BTreeMap<(PartnerName, ModelName, String), RowId>,
}

impl SiteView {
    /// Applies a page. A page that is not ahead of this copy, or that starts after it, changes
    /// nothing. Returns whether the page was applied.
    pub fn follow(&mut self, page: &SyncPage) -> bool {
        match page.from {
            _ if page.to <= self.position => return false,
            Some(from) if from > self.position => return false,
            Some(_) => {}
            None => *self = Self::default(),
        }
        for change in &page.changes {
            self.apply(change);
        }
        self.position = page.to;
        true
    }

    /// Returns the software version of a replica.
    pub fn version(&self, record: &ReplicaRecord) -> SoftwareVersion {
        software_versions::version_of(&self.versions, record)
    }

    /// Returns the row for a partner, model and class.
    pub fn find_row(
        &self,
        partner: &PartnerName,
        model: &ModelName,
        class: &str,
    ) -> Option<(&RowId, &Row)> {
        let slot = (partner.clone(), model.clone(), class.to_owned());
        self.rows.get_key_value(self.by_class.get(&slot)?)
    }

    /// Returns the targets that are ready for `model`, with their agents, except draining ones and
    /// those in evacuated halls.
    pub fn ready_homes<'a>(
        &'a self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&'a TargetName, &'a MemberInfo)> {
        let homes = self.homes.get(model).into_iter().flatten();
        homes
            .filter(|(_, home)| home.phase == HomePhase::Ready)
            .filter_map(|(target, _)| Some((target, self.member_of(target)?)))
            .filter(|(_, member)| !member.leaving && !self.evacuated.contains(&member.hall))
    }

    /// Returns the member on the host of the same name as `target`, whatever its role.
    pub fn member_of(&self, target: &TargetName) -> Option<&MemberInfo> {
        self.members.get(&HostName(target.0.clone()))
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Site(site) => self.site = site.clone(),
            Change::Row(id, row) => self.apply_row(id, row.as_ref()),
            Change::Member(host, Some(member)) => {
                self.members.insert(host.clone(), member.clone());
            }
            Change::Member(host, None) => {
                self.members.remove(host);
            }
            Change::Home(target, model, home) => self.apply_home(target, model, *home),
            Change::Configuration(configuration) => {
                self.configuration = Some(configuration.clone());
            }
            Change::Replica(id, Some(record)) => {
                self.replicas.insert(id.clone(), record.clone());
            }
            Change::Replica(id, None) => {
                self.replicas.remove(id);
                software_versions::forget(&mut self.versions, id);
            }
            Change::ReplicaVersion(incarnation, version) => {
                software_versions::forget(&mut self.versions, &incarnation.id);
                self.versions.insert(incarnation.clone(), version.clone());
            }
            Change::VersionMix(service, mix) => {
                self.version_mixes.insert(service.clone(), mix.clone());
            }
            Change::EarlierRoutes(service, Some(routes)) => {
                self.earlier_routes.insert(service.clone(), *routes);
            }
            Change::EarlierRoutes(service, None) => {
                self.earlier_routes.remove(service);
            }
            Change::Contents(counts) => self.apply_contents(counts),
            Change::Parts(standings) => self.apply_parts(standings),
            Change::Hall(hall, HallStanding::Evacuated) => {
                self.evacuated.insert(hall.clone());
            }
            Change::Hall(hall, HallStanding::Open) => {
                self.evacuated.remove(hall);
            }
        }
    }

    fn apply_contents(&mut self, counts: &CrashCounts) {
        for (content, count) in counts {
            match count {
                0 => self.contents.remove(content),
                count => self.contents.insert(*content, *count),
            };
        }
    }

    fn apply_parts(&mut self, standings: &PartStandings) {
        for (part, standing) in standings {
            match standing {
                PartStanding::Harmless => self.parts.remove(part),
                standing => self.parts.insert(*part, *standing),
            };
        }
    }

    fn apply_row(&mut self, id: &RowId, row: Option<&Row>) {
        if let Some(old) = self.rows.remove(id) {
            self.by_class.remove(&class_slot(&old));
        }
        if let Some(row) = row {
            self.by_class.insert(class_slot(row), id.clone());
            self.rows.insert(id.clone(), row.clone());
        }
    }

    fn apply_home(&mut self, target: &TargetName, model: &ModelName, home: Option<HomeInfo>) {
        let homes = self.homes.entry(model.clone()).or_default();
        match home {
            Some(info) => homes.insert(target.clone(), info),
            None => homes.remove(target),
        };
        if homes.is_empty() {
            self.homes.remove(model);
        }
    }
}

fn class_slot(row: &Row) -> (PartnerName, ModelName, String) {
    let fields = &row.fields;
    (
        row.partner.clone(),
        fields.model.clone(),
        fields.class.clone(),
    )
}
