//! Settings of each daemon: one JSON file with comments, checked in full before
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
use crate::placement::duties::DutyPolicy;
use crate::placement::fleet::FleetPolicy;
use crate::placement::moves::PlacePolicy;
use crate::process::peers::SiteSecret;
use crate::routing::retry::RetryPolicy;
use crate::routing::route::RoutePolicy;
use crate::table::site::{ModelKind, SiteSpec};

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The text does not have the form of the settings.
    #[snafu(display("{}:{line}:{column}: field {field}: {reason}", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The path of the field.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// A value is not usable.
    #[snafu(display("{}: field {field}: {reason}", path.display()))]
    Value {
        /// The file.
        path: PathBuf,
        /// The path of the field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
}

/// How logs are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Write JSON lines, else text.
    pub json: bool,
    /// Least level or filter, as `info` or `dunlinspring=debug`.
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

/// What all daemons need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// This host. An agent's host has its target's name.
    pub host: HostName,
    /// This host's data hall.
    pub hall: HallName,
    /// Where the site's other processes reach this one; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where metrics and health are served.
    pub watch: SocketAddr,
    /// The control hosts, in the same order everywhere.
    pub control: Vec<VoterSettings>,
    /// File with the site's secret, on its first line.
    pub secret_file: PathBuf,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// A control host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// Its name.
    pub host: HostName,
    /// Its address, as `ip:port`.
    pub address: SocketAddr,
}

/// Leases, losses and placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DutySettings {
    /// Silence after which a process is lost, in milliseconds.
    pub loss_ms: u64,
    /// Lease of a target's plan, in milliseconds.
    pub lease_ms: u64,
    /// Time between placement rounds, in milliseconds.
    pub round_ms: u64,
    /// Relief in concurrent requests that a load for demand must bring.
    pub move_price: f64,
    /// Homes that each model keeps where memory allows.
    pub spread: usize,
    /// Follow demand.
    pub by_demand: bool,
}

impl Default for DutySettings {
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

impl DutySettings {
    /// As the leader's duties take it.
    pub fn policy(&self) -> DutyPolicy {
        DutyPolicy {
            loss_ms: self.loss_ms,
            lease_ms: self.lease_ms,
            round_ms: self.round_ms,
            place: PlacePolicy {
                move_price: self.move_price,
                spread: self.spread,
                by_demand: self.by_demand,
            },
        }
    }
}

/// A control host's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// What all daemons need.
    pub common: CommonSettings,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// Elections.
    #[serde(default = "default_timing")]
    pub timing: RaftTiming,
    /// Leases, losses and placement.
    #[serde(default)]
    pub duties: DutySettings,
    /// Log entries after which a snapshot is taken.
    #[serde(default = "default_compact")]
    pub compact_after: usize,
    /// Where the platform lists leaving hosts, as an HTTP URL.
    #[serde(default)]
    pub platform_url: Option<String>,
    /// Hosts that `common.control` does not name may become voters. Those it
    /// names are the founders, and where the others are first looked for.
    #[serde(default)]
    pub open_membership: bool,
    /// Replicas that register themselves.
    #[serde(default)]
    pub fleet: FleetPolicy,
    /// The catalogue and the targets.
    #[serde(default)]
    pub site: SiteSpec,
}

fn default_timing() -> RaftTiming {
    RaftTiming {
        election_ms: 500,
        heartbeat_ms: 100,
    }
}

fn default_compact() -> usize {
    2000
}

/// One partner's keys, each as the SHA-256 of the key in hex.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// Keys of callers.
    pub caller_keys: Vec<String>,
    /// Keys of operators.
    pub operator_keys: Vec<String>,
}

/// How an entry routes and retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteSettings {
    /// Homes of a model that this entry uses at most.
    pub subset: usize,
    /// Requests that the home with the warm prefix may be busier by.
    pub affinity_slack: u32,
    /// Requests that a home in another hall must be less busy by.
    pub hall_slack: u32,
    /// Weigh load; else choose at random.
    pub by_load: bool,
    /// Most attempts of one request.
    pub attempts: u32,
    /// Hundredths of a retry that each request earns its row.
    pub retry_earned: u32,
    /// Retries that a row may save up.
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
    /// As routing takes it.
    pub fn policy(&self) -> RoutePolicy {
        RoutePolicy {
            subset: self.subset,
            affinity_slack: self.affinity_slack,
            hall_slack: self.hall_slack,
            by_load: self.by_load,
        }
    }

    /// As the retry budget takes it.
    pub fn retries(&self) -> RetryPolicy {
        RetryPolicy {
            earned_hundredths: self.retry_earned,
            burst: self.retry_burst,
        }
    }
}

/// An entry's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// What all daemons need.
    pub common: CommonSettings,
    /// Where callers and operators reach this entry.
    pub callers: SocketAddr,
    /// Threads that serve them.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Longest time without the leader's word that the table is current, in
    /// milliseconds; after it, requests are refused.
    #[serde(default = "default_stale")]
    pub stale_ms: u64,
    /// Longest body of a request, in bytes.
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

/// The run queue beside a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Runs that the engine batches at once.
    pub slots: usize,
    /// Slots that Batch may not take.
    pub batch_headroom: usize,
    /// Refuse at once what is predicted to miss its patience.
    pub refuse_early: bool,
    /// Order by urgency and share; else first come, first served.
    pub ordered: bool,
    /// Most runs that wait.
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
    /// As the queue takes it.
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

/// An agent's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// What all daemons need.
    pub common: CommonSettings,
    /// The engine's or service's address, as an HTTP URL without a path.
    pub target_url: String,
    /// Whether the engine checks who orders it.
    pub check: OrderCheck,
    /// Plain services behind this agent, always there.
    #[serde(default)]
    pub services: Vec<ModelName>,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// The run queue.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Longest lease that control grants, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Time between reports of the engine, in milliseconds.
    #[serde(default = "default_report")]
    pub report_ms: u64,
}

fn default_lease() -> u64 {
    DutySettings::default().lease_ms
}

fn default_report() -> u64 {
    100
}

/// Settings whose values can be checked beyond their form.
pub trait Checked: DeserializeOwned + Serialize {
    /// Checks the values; names the field and what is wrong with it.
    fn check(&self) -> Result<(), (&'static str, String)>;
}

impl Checked for ControlSettings {
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
            s => check_site(&s.site),
        }
    }
}

impl Checked for EntrySettings {
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

impl Checked for AgentSettings {
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
pub fn load<S: Checked>(path: &Path) -> Result<S, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(path, &text)
}

/// Checks settings given as text; `path` is for messages.
pub fn parse<S: Checked>(path: &Path, text: &str) -> Result<S, SettingsError> {
    let mut plain = String::new();
    // Comments become spaces, so that lines and columns stay true.
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

/// The effective settings as text. Key digests are masked.
pub fn show<S: Checked>(settings: &S) -> String {
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
