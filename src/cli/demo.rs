//! Small complete site in one process over loopback, for the demo and for benchmarks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::admission::ledger::OrderCheck;
use crate::agent::shell::AgentDaemon;
use crate::cli::load::{LoadClass, LoadMix};
use crate::consensus::raft::RaftTiming;
use crate::control::bootstrap;
use crate::control::shell::ControlDaemon;
use crate::entry::shell::EntryDaemon;
use crate::ids::{HallName, HostName, ModelName, PartnerName, TargetName};
use crate::process::auth;
use crate::process::daemon::{self, DaemonError};
use crate::process::peers::SiteSecret;
use crate::process::read_limit;
use crate::process::settings::*;
use crate::standin::{
    EngineRecord, EngineStandin, EngineTraits, PlatformStandin, ServiceRecord, ServiceStandin,
    StoreStandin, StoreTraits, default_version,
};
use crate::table::limits::LimitPolicy;
use crate::table::rows::{RowFields, Urgency};
use crate::table::site::{ModelKind, ModelSpec, SiteSpec, TargetSpec};

const HALLS: [&str; 3] = ["north", "south", "east"];
const SECRET: &str = "the-secret-of-a-demo-site";
/// Loopback address with a port chosen by the system.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TARGET_MIB: u64 = 16_000;
const KV_FLOOR_MIB: u64 = 4_000;
const BASE_MIB: u64 = 5_500;
const ADAPTER_MIB: u64 = 200;
/// Target of the plain service.
const SERVICE_TARGET: &str = "seals";
/// Maximum time for a site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Partners with their caller and operator keys.
pub const KEYS: [(&str, &str, &str); 2] = [
    ("fiji", "fiji-caller-key", "fiji-operator-key"),
    ("heredia", "heredia-caller-key", "heredia-operator-key"),
];

/// Parameters of a demo site.
#[derive(Clone, Debug)]
pub struct DemoConfig {
    /// Number of engine targets.
    pub targets: usize,
    /// Number of base models.
    pub models: usize,
    /// Number of adapters. Adapter `n` belongs to base model `n`.
    pub adapters: usize,
    /// Traits of all engines.
    pub engine: EngineTraits,
    /// Routing and retry settings.
    pub route: RouteSettings,
    /// Queue settings.
    pub queue: QueueSettings,
    /// Lease and placement settings.
    pub duties: ControllerSettings,
}

impl Default for DemoConfig {
    fn default() -> Self {
        Self {
            targets: 8,
            models: 10,
            adapters: 6,
            engine: EngineTraits {
                memory_mib: TARGET_MIB,
                fenced: true,
                load_ms: 150,
                prefill_us: 8_000,
                piece_us: 1_000,
                batch_us: 60,
                report_lag_ms: 100,
                store_url: None,
                version: default_version(),
                marks_pieces: false,
            },
            route: RouteSettings::default(),
            queue: QueueSettings::default(),
            duties: ControllerSettings::default(),
        }
    }
}

/// Running demo site.
pub struct DemoSite {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Parameters of the site.
    pub config: DemoConfig,
    folder: PathBuf,
    controls: Vec<ControlDaemon>,
    entry_daemons: Vec<EntryDaemon>,
    agents: BTreeMap<String, AgentDaemon>,
    engines: BTreeMap<String, EngineStandin>,
    service: ServiceStandin,
    platform: PlatformStandin,
}

/// Kind of request that a partner sends.
struct DemoKind {
    partner: usize,
    class: &'static str,
    model: &'static str,
    urgency: Urgency,
    tokens: u32,
    patience_ms: u64,
    rate: f64,
    at_most_once: bool,
    whole: bool,
}

const fn kind(
    partner: usize,
    class: &'static str,
    model: &'static str,
    urgency: Urgency,
    tokens: u32,
    patience_ms: u64,
    rate: f64,
) -> DemoKind {
    DemoKind {
        partner,
        class,
        model,
        urgency,
        tokens,
        patience_ms,
        rate,
        at_most_once: false,
        whole: false,
    }
}

/// Number of base models that the kinds use, `m0` to `m5`.
const KIND_MODELS: usize = 6;

/// Request kinds of the two partners.
const KINDS: [DemoKind; 9] = [
    kind(0, "filing-review", "m0", Urgency::Standard, 60, 3_000, 30.0),
    kind(0, "batch-review", "m1", Urgency::Batch, 80, 20_000, 20.0),
    DemoKind {
        at_most_once: true,
        ..kind(0, "notice-draft", "m2", Urgency::Standard, 50, 4_000, 8.0)
    },
    kind(0, "lookup", "a0", Urgency::Interactive, 10, 800, 40.0),
    kind(
        1,
        "contract-summary",
        "m3",
        Urgency::Interactive,
        50,
        2_000,
        20.0,
    ),
    DemoKind {
        whole: true,
        ..kind(1, "clause-check", "a1", Urgency::Standard, 40, 3_000, 15.0)
    },
    DemoKind {
        whole: true,
        ..kind(
            1,
            "resident-letter",
            "m4",
            Urgency::Standard,
            60,
            4_000,
            10.0,
        )
    },
    kind(
        1,
        "certificate-lookup",
        "m5",
        Urgency::Interactive,
        8,
        600,
        40.0,
    ),
    DemoKind {
        at_most_once: true,
        ..kind(
            1,
            "timestamp-seal",
            "seal",
            Urgency::Interactive,
            0,
            1_500,
            20.0,
        )
    },
];

/// Returns the mix of all kinds, each at its base rate times `factor`.
pub fn mix(factor: f64) -> LoadMix {
    let classes = KINDS.iter().map(|kind| {
        let service = kind.tokens == 0;
        LoadClass {
            key: KEYS[kind.partner].1.to_owned(),
            class: kind.class.to_owned(),
            model: ModelName::from(kind.model),
            rate: kind.rate * factor,
            tokens: kind.tokens,
            patience_ms: kind.patience_ms,
            at_most_once: kind.at_most_once,
            service_path: service.then(|| "stamp".to_owned()),
            stream: !kind.whole && !service,
            prefixes: 4,
        }
    });
    LoadMix {
        classes: classes.collect(),
        phases: Vec::new(),
    }
}

fn site_spec(config: &DemoConfig) -> SiteSpec {
    let mut models = BTreeMap::new();
    let base = ModelSpec {
        kind: ModelKind::Base,
        weights_mib: BASE_MIB,
        kv_kib_per_token: 128,
    };
    for number in 0..config.models {
        models.insert(ModelName(format!("m{number}")), base.clone());
    }
    for number in 0..config.adapters {
        let spec = ModelSpec {
            kind: ModelKind::Adapter(ModelName(format!("m{number}"))),
            weights_mib: ADAPTER_MIB,
            kv_kib_per_token: 0,
        };
        models.insert(ModelName(format!("a{number}")), spec);
    }
    let seal = ModelSpec {
        kind: ModelKind::Service(vec![TargetName::from(SERVICE_TARGET)]),
        weights_mib: 0,
        kv_kib_per_token: 0,
    };
    models.insert(ModelName::from("seal"), seal);
    let engine = |number: usize| TargetSpec {
        hall: hall(number),
        memory_mib: TARGET_MIB,
        kv_floor_mib: KV_FLOOR_MIB,
        accelerators: 1,
    };
    let targets = 0..config.targets;
    let targets = targets.map(|number| (TargetName(format!("t{number}")), engine(number)));
    let mut targets: BTreeMap<TargetName, TargetSpec> = targets.collect();
    let service = TargetSpec {
        hall: hall(0),
        memory_mib: 0,
        kv_floor_mib: 0,
        accelerators: 0,
    };
    targets.insert(TargetName::from(SERVICE_TARGET), service);
    SiteSpec {
        generation: 1,
        spare_targets: 1,
        load_gap_ms: 60,
        loads_at_once: 4,
        limits: LimitPolicy::default(),
        models,
        targets,
    }
}

fn hall(number: usize) -> HallName {
    HallName::from(HALLS[number % HALLS.len()])
}

fn common(
    host: &str,
    number: usize,
    listen: SocketAddr,
    control: &[VoterSettings],
) -> CommonSettings {
    CommonSettings {
        host: HostName::from(host),
        hall: hall(number),
        listen,
        watch: ANY_PORT,
        control: control.to_vec(),
        secret_file: PathBuf::new(),
        log: LogSettings::default(),
    }
}

impl DemoSite {
    /// Starts all processes of the site. Returns once the rows of both partners are in force on
    /// all members and the model of every row has a home.
    pub async fn start(config: DemoConfig) -> Result<Self, DaemonError> {
        let name = format!(
            "dunlinspring-{}-{:x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let folder = std::env::temp_dir().join(name);
        let secret = SiteSecret::new(SECRET);
        let store = StoreTraits {
            read_ms: 20,
            max_reads: 4,
        };
        let store = StoreStandin::start(ANY_PORT, store).await?;
        let platform = PlatformStandin::start(ANY_PORT, 500).await?;
        let (voters, controls) = start_controls(&config, &folder, &secret, &platform).await?;
        let service = ServiceStandin::start(ANY_PORT, Duration::from_millis(4)).await?;
        let mut site = Self {
            entries: Vec::new(),
            folder,
            controls,
            entry_daemons: Vec::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            service,
            platform,
            config,
        };
        site.start_targets(&voters, &secret, &store).await?;
        site.start_entries(&voters, &secret).await?;
        site.create_rows().await?;
        Ok(site)
    }

    async fn start_targets(
        &mut self,
        voters: &[VoterSettings],
        secret: &SiteSecret,
        store: &StoreStandin,
    ) -> Result<(), DaemonError> {
        for number in 0..self.config.targets {
            let mut traits = self.config.engine.clone();
            traits.store_url = Some(format!("http://{}", store.address));
            let engine = EngineStandin::start(ANY_PORT, traits).await?;
            let name = format!("t{number}");
            let settings = AgentSettings {
                common: common(&name, number, ANY_PORT, voters),
                target_url: format!("http://{}", engine.address),
                check: OrderCheck::Fenced,
                services: Vec::new(),
                memory_mib: TARGET_MIB,
                queue: self.config.queue.clone(),
                lease_ms: self.config.duties.lease_ms,
                report_ms: 100,
            };
            let agent = AgentDaemon::start(settings, secret.clone()).await?;
            self.agents.insert(name.clone(), agent);
            self.engines.insert(name, engine);
        }
        let settings = AgentSettings {
            common: common(SERVICE_TARGET, 0, ANY_PORT, voters),
            target_url: format!("http://{}", self.service.address),
            check: OrderCheck::LateBound(500),
            services: vec![ModelName::from("seal")],
            memory_mib: 0,
            queue: self.config.queue.clone(),
            lease_ms: self.config.duties.lease_ms,
            report_ms: 100,
        };
        let agent = AgentDaemon::start(settings, secret.clone()).await?;
        self.agents.insert(SERVICE_TARGET.to_owned(), agent);
        Ok(())
    }

    async fn start_entries(
        &mut self,
        voters: &[VoterSettings],
        secret: &SiteSecret,
    ) -> Result<(), DaemonError> {
        for number in 0..2 {
            let keys = |key: &str| vec![auth::digest(key)];
            let partners = KEYS.iter().map(|(name, caller, operator)| {
                let partner = PartnerSettings {
                    caller_keys: keys(caller),
                    operator_keys: keys(operator),
                };
                (PartnerName::from(*name), partner)
            });
            let settings = EntrySettings {
                common: common(&format!("e{number}"), number, ANY_PORT, voters),
                callers: ANY_PORT,
                workers: 1,
                stale_ms: 4000,
                max_body: 1 << 20,
                partners: partners.collect(),
                route: self.config.route.clone(),
            };
            let entry = EntryDaemon::start(settings, secret.clone()).await?;
            self.entries.push(entry.callers);
            self.entry_daemons.push(entry);
        }
        Ok(())
    }

    async fn create_rows(&self) -> Result<(), DaemonError> {
        for kind in &KINDS {
            let fields = RowFields {
                model: ModelName::from(kind.model),
                class: kind.class.to_owned(),
                urgency: kind.urgency,
                weight: 10,
                max_running: 400,
                patience_ms: kind.patience_ms,
                at_most_once: kind.at_most_once,
                whole: kind.whole,
            };
            self.put_row(kind.partner, kind.class, 0, &json!(fields))
                .await?;
        }
        // Rows for more models than the kinds use, as the tables of the partners have.
        for number in KIND_MODELS..self.config.models {
            let fields = json!({
                "model": format!("m{number}"), "class": format!("spare-{number}"),
                "urgency": "standard", "weight": 1, "max_running": 10, "patience_ms": 5000,
            });
            let partner = number % KEYS.len();
            self.put_row(partner, &format!("spare-{number}"), 0, &fields)
                .await?;
        }
        self.wait_ready().await
    }

    /// Puts a row as the given partner. Returns the new version, or the refusal as an error.
    pub async fn put_row(
        &self,
        partner: usize,
        id: &str,
        version: u64,
        fields: &Value,
    ) -> Result<u64, DaemonError> {
        let url = format!("http://{}/v1/table/rows/{id}", self.entries[0]);
        let failed = |reason: String| DaemonError::Http {
            step: "put",
            url: url.clone(),
            reason,
        };
        let client = read_limit::client().await;
        let response = client
            .put(&url)
            .bearer_auth(KEYS[partner].2)
            .header("if-match", version.to_string())
            .header("idempotency-key", format!("{id}-{version}"))
            .send_json(fields)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let status = response.status();
        let body = response
            .body()
            .await
            .map_err(|error| failed(error.to_string()))?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let version = body["version"].as_u64().filter(|_| status.is_success());
        version.ok_or_else(|| failed(format!("status {status}: {body}")))
    }

    /// Returns the table as operators read it.
    pub async fn table(&self) -> Option<Value> {
        let client = read_limit::client().await;
        let url = format!("http://{}/v1/table", self.entries[0]);
        let response = client.get(url).bearer_auth(KEYS[0].2).send().await.ok()?;
        let body = response.body().limit(16 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    async fn wait_ready(&self) -> Result<(), DaemonError> {
        let ready = |table: &Value| {
            let rows = table["rows"].as_array()?;
            let home = |row: &&Value| {
                let homes = row["homes"].as_array().map_or(0, Vec::len);
                homes > 0 && row["in_force"] == row["members"]
            };
            Some(!rows.is_empty() && rows.iter().filter(home).count() == rows.len())
        };
        let poll = async {
            loop {
                let table = self.table().await;
                if table.as_ref().and_then(ready) == Some(true) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let late = |_| DaemonError::Http {
            step: "wait for the homes of",
            url: self.entries[0].to_string(),
            reason: "some row has no home or is not in force on all members after 30 s".to_owned(),
        };
        tokio::time::timeout(READY_TIMEOUT, poll)
            .await
            .map_err(late)
    }

    /// Kills an engine. Its agent keeps running and detects the loss.
    pub async fn kill_engine(&self, name: &str) {
        if let Some(engine) = self.engines.get(name) {
            engine.kill().await;
        }
    }

    /// Makes the platform report a host as leaving.
    pub fn leave(&self, name: &str) {
        self.platform.leave(HostName::from(name));
    }

    /// Returns the record of each engine.
    pub fn engine_records(&self) -> BTreeMap<String, EngineRecord> {
        let engines = self.engines.iter();
        let records = engines.map(|(name, engine)| (name.clone(), engine.record()));
        records.collect()
    }

    /// Returns the calls that the plain service recorded.
    pub fn service_record(&self) -> Vec<ServiceRecord> {
        self.service.record()
    }

    /// Returns the number of accelerators.
    pub fn accelerators(&self) -> usize {
        self.config.targets
    }

    /// Returns the number of placement moves ordered so far.
    pub async fn moves(&self) -> u64 {
        let mut moves = 0;
        for control in &self.controls {
            let status = control.status().await;
            moves = moves.max(status.map_or(0, |status| status.moves));
        }
        moves
    }

    /// Removes the files of the site. To be called right before the process exits.
    pub fn clean_up(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn start_controls(
    config: &DemoConfig,
    folder: &std::path::Path,
    secret: &SiteSecret,
    platform: &PlatformStandin,
) -> Result<(Vec<VoterSettings>, Vec<ControlDaemon>), DaemonError> {
    let mut voters = Vec::new();
    let mut listeners: Vec<TcpListener> = Vec::new();
    for number in 0..3 {
        let listener = daemon::bind("listen", ANY_PORT).await?;
        let address = daemon::address_of("listen", &listener)?;
        let host = HostName(format!("c{number}"));
        voters.push(VoterSettings { host, address });
        listeners.push(listener);
    }
    let mut controls = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let voter = voters[number].clone();
        let settings = ControlSettings {
            common: common(voter.host.as_str(), number, voter.address, &voters),
            data_folder: folder.join(voter.host.as_str()),
            timing: RaftTiming {
                election_ms: 500,
                heartbeat_ms: 100,
            },
            duties: config.duties.clone(),
            compact_after: 2000,
            platform_url: Some(format!("http://{}/hosts", platform.address)),
            open_membership: false,
            bearable_losses: 1,
            fleet: Default::default(),
            site: site_spec(config),
        };
        bootstrap::bootstrap(&settings)?;
        let daemon = ControlDaemon::start_on(listener, settings, secret.clone()).await?;
        controls.push(daemon);
    }
    Ok((voters, controls))
}
