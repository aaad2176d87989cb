//! Settings of the daemons: one JSON file with comments each, checked completely before
//! anything starts.

use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use json_comments::StripComments;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::admission::ledger::OrderCheck;
use crate::admission::queue::QueuePolicy;
use crate::consensus::raft::RaftTiming;
use crate::ids::{HallName, HostName, ModelName, PartnerName};
use crate::placement::fleet::FleetPolicy;
use crate::placement::moves::PlacementPolicy;
use crate::placement::target_controller::ControllerPolicy;
use crate::process::peers::SiteSecret;
use crate::routing::retry::RetryPolicy;
use crate::routing::route::RoutePolicy;
use crate::table::site::{ModelKind, SiteSpec};

/// Reason why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text does not have the structure of the settings.
    #[snafu(display("{}:{line}:{column}: field {field}: {reason}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// The fault.
        reason: String,
    },
    /// A value is not usable.
    #[snafu(display("{}: field {field}: {reason}", path.display()))]
    Value {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        field: &'static str,
        /// The fault.
        reason: String,
    },
}

/// Format and level of the logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Writes JSON lines instead of text.
    pub json: bool,
    /// Minimum level or filter, such as `info` or `dunlinspring=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            json: false,
            filter: "info".to_owned(),
        }
    }
}

/// Settings that all daemons need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Name of this host. An agent's host has the name of its target.
    pub host: HostName,
    /// Data hall of this host.
    pub hall: HallName,
    /// Address for the site's other processes; with port 0, the system chooses the port.
    pub listen: SocketAddr,
    /// Address that serves metrics and health.
    pub watch: SocketAddr,
    /// The control hosts, in the same order in all settings.
    pub control: Vec<VoterSettings>,
    /// File with the site's secret on its first line.
    pub secret_file: PathBuf,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// A control host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// Name of the host.
    pub host: HostName,
    /// Address, as `ip:port`.
    pub address: SocketAddr,
}

/// Leases, loss detection and placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControllerSettings {
    /// Silence after which a process is considered lost, in milliseconds.
    pub loss_ms: u64,
    /// Lease of a target's plan, in milliseconds.
    pub lease_ms: u64,
    /// Interval of placement rounds, in milliseconds.
    pub round_ms: u64,
    /// Relief that a load for demand must bring, in concurrent requests a home.
    pub move_price: f64,
    /// Homes that each model keeps where memory allows.
    pub spread: usize,
    /// Whether placement follows demand.
    pub by_demand: bool,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            loss_ms: 2000,
            lease_ms: 1500,
            round_ms: 100,
            move_price: 2.0,
            spread: 2,
            by_demand: true,
        }
    }
}

impl ControllerSettings {
    /// Returns the policy of the leader's controllers.
    pub fn policy(&self) -> ControllerPolicy {
        ControllerPolicy {
            loss_ms: self.loss_ms,
            lease_ms: self.lease_ms,
            round_ms: self.round_ms,
            placement: PlacementPolicy {
                move_price: self.move_price,
                spread: self.spread,
                by_demand: self.by_demand,
            },
        }
    }
}

/// Settings of a control host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Settings that all daemons need.
    pub common: CommonSettings,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// Timing of elections.
    #[serde(default = "default_timing")]
    pub timing: RaftTiming,
    /// Leases, loss detection and placement.
    #[serde(default)]
    pub duties: ControllerSettings,
    /// Number of log entries after which a snapshot is taken.
    #[serde(default = "default_compact")]
    pub compact_after: usize,
    /// HTTP URL of the platform's list of leaving hosts.
    #[serde(default)]
    pub platform_url: Option<String>,
    /// Whether hosts that `common.control` does not name may become voters. The hosts that it
    /// names bootstrap the site, and are the first ones to be searched for others.
    #[serde(default)]
    pub open_membership: bool,
    /// Number of control hosts with a disk that may be lost at the same time. Where any host may
    /// become a voter, the set of voters does not shrink below twice this plus one.
    #[serde(default = "default_bearable_losses")]
    pub bearable_losses: usize,
    /// Policy for replicas that register themselves.
    #[serde(default)]
    pub fleet: FleetPolicy,
    /// The catalogue and the targets.
    #[serde(default)]
    pub site: SiteSpec,
}

/// Maximum of [`ControlSettings::bearable_losses`].
const MAX_BEARABLE_LOSSES: usize = 32;

fn default_timing() -> RaftTiming {
    RaftTiming {
        election_ms: 500,
        heartbeat_ms: 100,
    }
}

fn default_compact() -> usize {
    2000
}

fn default_bearable_losses() -> usize {
    1
}

/// Keys of one partner, each as the hexadecimal SHA-256 digest of the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// Keys of callers.
    pub caller_keys: Vec<String>,
    /// Keys of operators.
    pub operator_keys: Vec<String>,
}

/// Routing and retries of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// Maximum number of homes of a model that this entry uses.
    pub subset: usize,
    /// Number of requests by which the home with the warm prefix may be busier and still be
    /// chosen.
    pub affinity_slack: u32,
    /// Number of requests by which a home in another hall must be less busy to be chosen.
    pub hall_slack: u32,
    /// Chooses homes by load instead of at random.
    pub by_load: bool,
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Retry credit that a request earns for its row, in hundredths of a retry.
    pub retry_earned: u32,
    /// Maximum number of retries that a row may save up.
    pub retry_burst: u32,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            subset: 8,
            affinity_slack: 2,
            hall_slack: 1,
            by_load: true,
            attempts: 4,
            retry_earned: 20,
            retry_burst: 50,
        }
    }
}

impl RouteSettings {
    /// Returns the routing policy.
    pub fn policy(&self) -> RoutePolicy {
        RoutePolicy {
            subset: self.subset,
            affinity_slack: self.affinity_slack,
            hall_slack: self.hall_slack,
            by_load: self.by_load,
        }
    }

    /// Returns the policy of the retry budget.
    pub fn retries(&self) -> RetryPolicy {
        RetryPolicy {
            earned_hundredths: self.retry_earned,
            burst: self.retry_burst,
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that all daemons need.
    pub common: CommonSettings,
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Number of threads that serve them.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Longest time without the leader's confirmation that the table is current, in
    /// milliseconds; after it, requests are refused.
    #[serde(default = "default_stale")]
    pub stale_ms: u64,
    /// Maximum length of a request body, in bytes.
    #[serde(default = "default_body")]
    pub max_body: usize,
    /// Partners and their keys.
    pub partners: BTreeMap<PartnerName, PartnerSettings>,
    /// Routing and retries.
    #[serde(default)]
    pub route: RouteSettings,
}

fn default_workers() -> usize {
    1
}

fn default_stale() -> u64 {
    4000
}

fn default_body() -> usize {
    1 << 20
}

/// Run queue in front of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Maximum number of runs that the engine batches at once.
    pub slots: usize,
    /// Slots that the urgency `Batch` may not use.
    pub batch_headroom: usize,
    /// Refuses a run at once if it is predicted to miss its deadline.
    pub refuse_early: bool,
    /// Orders runs by urgency and share instead of by arrival.
    pub ordered: bool,
    /// Maximum number of waiting runs.
    pub limit: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            batch_headroom: 4,
            refuse_early: true,
            ordered: true,
            limit: 1024,
        }
    }
}

impl QueueSettings {
    /// Returns the policy of the queue.
    pub fn policy(&self) -> QueuePolicy {
        QueuePolicy {
            slots: self.slots,
            batch_headroom: self.batch_headroom,
            refuse_early: self.refuse_early,
            ordered: self.ordered,
            limit: self.limit,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Settings that all daemons need.
    pub common: CommonSettings,
    /// Address of the engine or service, as an HTTP URL without a path.
    pub target_url: String,
    /// Whether the engine refuses orders below its fence, or how late an order may arrive.
    pub check: OrderCheck,
    /// Plain services behind this agent, which are always available.
    #[serde(default)]
    pub services: Vec<ModelName>,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// Run queue.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Longest lease that control grants, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Interval of the engine's reports, in milliseconds.
    #[serde(default = "default_report")]
    pub report_ms: u64,
}

fn default_lease() -> u64 {
    ControllerSettings::default().lease_ms
}

fn default_report() -> u64 {
    100
}

/// Settings with checks of their values beyond their structure.
pub trait ValidatedSettings: DeserializeOwned + Serialize {
    /// Checks the values; an error names the field and the fault.
    fn check(&self) -> Result<(), (&'static str, String)>;
}

impl ValidatedSettings for ControlSettings {
    fn check(&self) -> Result<(), (&'static str, String)> {
        check_common(&self.common)?;
        let named = self.common.control.iter();
        let own = named.filter(|voter| voter.host == self.common.host).count();
        let duties = &self.duties;
        match self {
            _ if own != 1 && !self.open_membership => wrong("control", "must name this host once"),
            s if s.timing.heartbeat_ms == 0 || s.timing.election_ms < 3 * s.timing.heartbeat_ms => {
                wrong("timing.election_ms", "must be at least 3 heartbeats")
            }
            _ if duties.lease_ms >= duties.loss_ms => {
                wrong("duties.lease_ms", "must be less than duties.loss_ms")
            }
            _ if !duties.move_price.is_finite() || duties.move_price < 0.0 => {
                wrong("duties.move_price", "must be zero or more")
            }
            _ if duties.spread == 0 => wrong("duties.spread", "must be at least 1"),
            s if s.compact_after == 0 => wrong("compact_after", "must be at least 1"),
            s if s.bearable_losses > MAX_BEARABLE_LOSSES => {
                wrong("bearable_losses", "must be at most 32")
            }
            s => check_site(&s.site),
        }
    }
}

impl ValidatedSettings for EntrySettings {
    fn check(&self) -> Result<(), (&'static str, String)> {
        check_common(&self.common)?;
        let keys = self.partners.values();
        let mut keys = keys.flat_map(|keys| keys.caller_keys.iter().chain(&keys.operator_keys));
        match self {
            s if s.partners.is_empty() => wrong("partners", "must name at least one"),
            s if s.workers == 0 => wrong("workers", "must be at least 1"),
            s if s.route.subset == 0 => wrong("route.subset", "must be at least 1"),
            s if s.route.attempts == 0 => wrong("route.attempts", "must be at least 1"),
            _ if !keys.all(|key| is_digest(key)) => {
                wrong("partners", "keys are SHA-256 digests of 64 hex digits")
            }
            _ => Ok(()),
        }
    }
}

impl ValidatedSettings for AgentSettings {
    fn check(&self) -> Result<(), (&'static str, String)> {
        check_common(&self.common)?;
        match self {
            s if !s.target_url.starts_with("http://") => {
                wrong("target_url", "must start with http://")
            }
            s if s.queue.slots == 0 => wrong("queue.slots", "must be at least 1"),
            s if s.queue.batch_headroom >= s.queue.slots => {
                wrong("queue.batch_headroom", "must be less than queue.slots")
            }
            s if s.report_ms == 0 => wrong("report_ms", "must be at least 1"),
            _ => Ok(()),
        }
    }
}

fn wrong(field: &'static str, reason: &str) -> Result<(), (&'static str, String)> {
    Err((field, reason.to_owned()))
}

fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn check_common(common: &CommonSettings) -> Result<(), (&'static str, String)> {
    match common {
        c if c.host.as_str().is_empty() => wrong("host", "must not be empty"),
        c if c.hall.as_str().is_empty() => wrong("hall", "must not be empty"),
        c if c.control.is_empty() => wrong("control", "must name at least one host"),
        _ => Ok(()),
    }
}

fn check_site(site: &SiteSpec) -> Result<(), (&'static str, String)> {
    if site.generation == 0 {
        return wrong("site.generation", "starts at 1");
    }
    if site.limits.entries == 0 || site.limits.lease_ms == 0 {
        return wrong("site.limits", "must be at least 1");
    }
    for (name, spec) in &site.models {
        let fault = match &spec.kind {
            ModelKind::Adapter(base) => match site.models.get(base).map(|spec| &spec.kind) {
                Some(ModelKind::Base) => None,
                _ => Some(format!("adapter {name} needs base model {base}")),
            },
            ModelKind::Service(targets) => targets
                .iter()
                .find(|target| !site.targets.contains_key(target))
                .map(|target| format!("service {name} names no target {target}")),
            ModelKind::Base => None,
        };
        if let Some(reason) = fault {
            return Err(("site.models", reason));
        }
    }
    Ok(())
}

/// Reads and checks a settings file.
pub fn load<S: ValidatedSettings>(path: &Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(path, &text)
}

/// Parses and checks settings given as text; `path` is used in messages.
pub fn parse<S: ValidatedSettings>(path: &Path, text: &str) -> Result<S, SettingsError> {
    let mut plain = String::new();
    // Comments are replaced by spaces, so that lines and columns in errors are correct.
    StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .context(ReadSnafu { path })?;
    let mut reader = serde_json::Deserializer::from_str(&plain);
    let parsed: Result<S, _> = serde_path_to_error::deserialize(&mut reader);
    let settings = parsed.map_err(|error| {
        let field = error.path().to_string();
        let inner = error.into_inner();
        SettingsError::Form {
            path: path.to_owned(),
            line: inner.line(),
            column: inner.column(),
            field,
            reason: inner.to_string(),
        }
    })?;
    reader.end().map_err(|error| SettingsError::Form {
        path: path.to_owned(),
        line: error.line(),
        column: error.column(),
        field: ".".to_owned(),
        reason: error.to_string(),
    })?;
    settings
        .check()
        .map_err(|(field, reason)| SettingsError::Value {
            path: path.to_owned(),
            field,
            reason,
        })?;
    Ok(settings)
}

/// Returns the effective settings as text, with key digests masked.
pub fn show<S: ValidatedSettings>(settings: &S) -> String {
    let mut value = serde_json::to_value(settings).expect("settings encode");
    mask(&mut value);
    serde_json::to_string_pretty(&value).expect("settings encode")
}

fn mask(value: &mut serde_json::Value) {
    const SECRET: [&str; 2] = ["caller_keys", "operator_keys"];
    match value {
        serde_json::Value::Object(fields) => {
            for (name, field) in fields {
                match field {
                    serde_json::Value::Array(keys) if SECRET.contains(&name.as_str()) => {
                        keys.fill("********".into())
                    }
                    field => mask(field),
                }
            }
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(mask),
        _ => {}
    }
}

/// Reads the site's secret.
pub fn load_secret(path: &Path) -> Result<SiteSecret, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let line = text.lines().next().unwrap_or_default().trim();
    match line.len() {
        0..16 => Err(SettingsError::Value {
            path: path.to_owned(),
            field: "secret_file",
            reason: "the secret must have at least 16 bytes".to_owned(),
        }),
        _ => Ok(SiteSecret::new(line)),
    }
}
