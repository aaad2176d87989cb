//! Calls of replicas and operators to any control host: heartbeats, drains, configurations and
//! the state of data halls.
//!
//! A heartbeat that reports nothing new is acknowledged at once. A drain, a configuration or a
//! change of a data hall is acknowledged only once it is committed and so cannot be lost. A
//! heartbeat with another change waits for the commit for a limited time, and is acknowledged
//! in any case.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use snafu::Snafu;
use tarpc::client::RpcError;
use tokio::sync::{Semaphore, SemaphorePermit, oneshot};

use crate::consensus::directory::{HeartbeatStatus, ReplicaPhase};
use crate::consensus::software_versions::ReplicaHeartbeat;
use crate::consensus::state::{Command, ConfigureResult, EncodedCommand, HallStanding, Reply};
use crate::control::event::{ControlEvent, ControlHandle, ReplySender};
use crate::ids::{HallName, Position, ReplicaId, ServiceName, VersionName};
use crate::process::pages;
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::transfer::LARGE_BYTES;
use crate::process::wire::{ControlRefusal, ControlWireClient};
use crate::table::configuration::{Configuration, ConfigurationError, ConfigurationRecord};

/// Timeout of a replica's call: the replica turns to another host after a second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of an operator's call.
const CONFIGURE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of one call to the leader.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of one call from a host without a log, short enough to try another host as well.
const RELAY_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a command is retried.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Interval of the reports on replicas that sent heartbeats.
const SEEN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Reason why a call was refused.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// The configuration is not valid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// The fault.
        source: ConfigurationError,
    },
    /// The version is in force with other contents.
    #[snafu(display("version {version} is in force with other contents"))]
    Conflict {
        /// The version.
        version: u64,
    },
    /// The call is from an incarnation that has ended.
    #[snafu(display("this replica has ended"))]
    Ended,
    /// The data hall is unknown.
    #[snafu(display("there is no data hall '{hall}'"))]
    UnknownHall {
        /// The data hall.
        hall: HallName,
    },
    /// The configuration does not contain the service.
    #[snafu(display("the configuration names no service '{service}'"))]
    UnknownService {
        /// The service.
        service: ServiceName,
    },
    /// The command was not committed in time; it may still be.
    #[snafu(display("no quorum in time"))]
    NoQuorum,
}

/// Command on its way to the log.
#[derive(Clone)]
enum Proposal {
    Small(Command),
    /// Encoded once, and passed on to another host in pieces.
    Large(EncodedCommand),
}

impl Proposal {
    fn into_event(self, answer: ReplySender<(Position, Reply)>) -> ControlEvent {
        match self {
            Self::Small(command) => ControlEvent::Propose(command, answer),
            Self::Large(command) => ControlEvent::ProposeEncoded(command, answer),
        }
    }
}

/// Text of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldConfiguration {
    /// Version of the configuration.
    pub version: u64,
    /// Text as the operator sent it.
    pub source: Bytes,
}

/// Access of a control host to the log.
pub enum LogAccess {
    /// The host keeps the log itself.
    Local(ControlHandle),
    /// The host has no disk: all calls go to the hosts that keep the log.
    Remote,
}

/// Entry point for calls of replicas and operators on one control host.
pub struct Registry {
    access: LogAccess,
    link: Arc<ControlLink>,
    /// All data halls; empty if they are not configured.
    halls: BTreeSet<HallName>,
    seen: Mutex<BTreeSet<ReplicaId>>,
    /// Admits one large configuration at a time.
    large_configurations: Semaphore,
}

impl Registry {
    /// Creates the registry of a control host; `link` connects it with the other control hosts.
    pub fn new(access: LogAccess, link: Arc<ControlLink>, halls: BTreeSet<HallName>) -> Self {
        Self {
            access,
            link,
            halls,
            seen: Mutex::default(),
            large_configurations: Semaphore::new(1),
        }
    }

    /// Handles a replica's heartbeat.
    pub async fn heartbeat(
        &self,
        heartbeat: impl Into<ReplicaHeartbeat>,
    ) -> Result<(), RegistryError> {
        let heartbeat = heartbeat.into();
        let id = heartbeat.record.id.clone();
        self.seen().insert(id.clone());
        let status = self.compare(&heartbeat).await?;
        let ReplicaHeartbeat { record, version } = heartbeat;
        match status {
            HeartbeatStatus::Known => Ok(()),
            HeartbeatStatus::Ended => Err(RegistryError::Ended),
            HeartbeatStatus::Foreign => Err(RegistryError::UnknownService {
                service: record.service,
            }),
            HeartbeatStatus::New => {
                let phase = record.phase;
                let models = record.models.len();
                tracing::info!(
                    replica = %id, service = %record.service, ?phase, models,
                    software = version.as_ref().map_or("unnamed", VersionName::as_str),
                    born_ms = record.started_ms,
                    "replica reports a change"
                );
                let is_draining = phase == ReplicaPhase::Draining;
                let record = Box::new(record);
                let command = match version {
                    Some(version) => Command::VersionedReplica(record, version),
                    None => Command::Replica(record),
                };
                let committed = self.commit(command, HEARTBEAT_TIMEOUT).await;
                // Only a draining replica needs the commit: one that stays may receive requests
                // before its change is known everywhere.
                match (committed, is_draining) {
                    (Err(error), true) => Err(error),
                    _ => Ok(()),
                }
            }
        }
    }

    /// Marks a replica as draining; it keeps serving for a while.
    pub async fn drain(&self, id: ReplicaId) -> Result<(), RegistryError> {
        tracing::info!(replica = %id, "replica drains");
        let command = Command::ReplicaDrains(id);
        self.commit(command, HEARTBEAT_TIMEOUT).await.map(|_| ())
    }

    /// Waits until this host handles no other large configuration. What is returned is held while
    /// its text is received, parsed and committed.
    pub async fn admit_large_configuration(&self) -> Result<SemaphorePermit<'_>, RegistryError> {
        let permit = self.large_configurations.acquire();
        match tokio::time::timeout(CONFIGURE_TIMEOUT, permit).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(RegistryError::NoQuorum),
        }
    }

    /// Commits an operator's configuration, together with its source text.
    pub async fn configure(
        &self,
        configuration: Configuration,
        source: impl Into<Bytes>,
    ) -> Result<ConfigureResult, RegistryError> {
        configuration.check()?;
        let version = configuration.version;
        let source = source.into();
        let is_large = source.len() >= LARGE_BYTES;
        let record = ConfigurationRecord {
            configuration: Arc::new(configuration),
            source,
        };
        let command = Command::Configure(Box::new(record));
        // The parsed form is not kept while the command is committed.
        let proposal = match is_large {
            true => Proposal::Large(EncodedCommand::new(&command)),
            false => Proposal::Small(command),
        };
        let reply = self.commit_proposal(proposal, CONFIGURE_TIMEOUT).await;
        tracing::info!(version, ?reply, "configuration proposed");
        match reply? {
            Reply::Configured(ConfigureResult::Conflict) => {
                Err(RegistryError::Conflict { version })
            }
            Reply::Configured(answer) => Ok(answer),
            reply => unreachable!("unexpected reply to a configuration: {reply:?}"),
        }
    }

    /// Sets whether the replicas of a data hall may receive requests.
    pub async fn set_hall(
        &self,
        hall: HallName,
        standing: HallStanding,
    ) -> Result<(), RegistryError> {
        if !self.halls.is_empty() && !self.halls.contains(&hall) {
            return Err(RegistryError::UnknownHall { hall });
        }
        let command = match standing {
            HallStanding::Evacuated => Command::Evacuate(hall.clone()),
            HallStanding::Open => Command::Restore(hall.clone()),
        };
        let reply = self.commit(command, CONFIGURE_TIMEOUT).await;
        tracing::info!(%hall, ?standing, ?reply, "data hall state proposed");
        reply.map(|_| ())
    }

    /// Reads the configuration; linearizable.
    pub async fn configuration(&self) -> Result<Option<HeldConfiguration>, RegistryError> {
        let deadline = Instant::now() + CONFIGURE_TIMEOUT;
        loop {
            let read = tokio::time::timeout_at(deadline.into(), self.read_newest()).await;
            match read {
                Ok(Ok(held)) => return Ok(held),
                Ok(Err(_)) if Instant::now() + RETRY_DELAY < deadline => {
                    tokio::time::sleep(RETRY_DELAY).await
                }
                _ => return Err(RegistryError::NoQuorum),
            }
        }
    }

    /// Reads the newest configuration: the leader confirms its version, and the text comes from
    /// this host if it keeps the log.
    async fn read_newest(&self) -> Result<Option<HeldConfiguration>, ControlRefusal> {
        let (version, leader) = match self.request_local(ControlEvent::Confirm).await {
            Err(ControlRefusal::NotLeader(Some(leader))) => {
                let context = peers::within(self.leader_timeout());
                let call = |client: ControlWireClient| async move { client.confirm(context).await };
                let version = self.request_leader(&leader, "confirm", call).await?;
                (version, Some(leader))
            }
            confirmed => (confirmed?, None),
        };
        match (&self.access, leader) {
            _ if version == 0 => Ok(None),
            (LogAccess::Remote, Some(leader)) => {
                let source = self.fetch_text(&leader, version).await?;
                Ok(Some(HeldConfiguration { version, source }))
            }
            _ => {
                let held = self.request_local(ControlEvent::Configuration).await?;
                let newest = held.filter(|record| record.configuration.version >= version);
                // This host has not applied the change yet.
                let record = newest.ok_or(ControlRefusal::Busy)?;
                Ok(Some(HeldConfiguration {
                    version: record.configuration.version,
                    source: record.source,
                }))
            }
        }
    }

    /// Fetches the text of a configuration in pieces.
    async fn fetch_text(&self, leader: &str, version: u64) -> Result<Bytes, ControlRefusal> {
        let timeout = self.leader_timeout();
        let call = |client: ControlWireClient, offset| async move {
            let context = peers::within(timeout);
            client.configuration_text(context, version, offset).await
        };
        let fetched = pages::fetch(&self.link, leader, "configuration_text", call).await;
        self.link
            .record_reply(leader, flatten_reply(fetched.map(Ok)))
    }

    /// Reports periodically to the leader which replicas sent heartbeats to this host.
    pub async fn report_seen_replicas(&self) {
        loop {
            tokio::time::sleep(SEEN_REPORT_INTERVAL).await;
            let ids: Vec<ReplicaId> = std::mem::take(&mut *self.seen()).into_iter().collect();
            if ids.is_empty() {
                continue;
            }
            let own = |answer| ControlEvent::ReplicasSeen(ids.clone(), answer);
            if let Err(ControlRefusal::NotLeader(Some(leader))) = self.request_local(own).await {
                let context = peers::within(self.leader_timeout());
                let ids = ids.clone();
                let call =
                    |client: ControlWireClient| async move { client.heard(context, ids).await };
                // A lost report is not repeated: the replicas soon send their next heartbeat,
                // here or elsewhere.
                let _ = self.request_leader(&leader, "heard", call).await;
            }
        }
    }

    fn seen(&self) -> std::sync::MutexGuard<'_, BTreeSet<ReplicaId>> {
        self.seen
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn leader_timeout(&self) -> Duration {
        match self.access {
            LogAccess::Local(_) => LEADER_CALL_TIMEOUT,
            LogAccess::Remote => RELAY_CALL_TIMEOUT,
        }
    }

    /// Sends a request to the log on this host. A host without a log refuses it and names the
    /// presumed leader.
    async fn request_local<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, ControlRefusal>>) -> ControlEvent,
    ) -> Result<T, ControlRefusal> {
        match &self.access {
            LogAccess::Local(handle) => handle.request(make).await,
            LogAccess::Remote => Err(ControlRefusal::NotLeader(self.link.presumed_leader())),
        }
    }

    /// Sends a request to the presumed leader and records from its reply whether it leads.
    async fn request_leader<T, F>(
        &self,
        leader: &str,
        step: &'static str,
        make: impl FnOnce(ControlWireClient) -> F,
    ) -> Result<T, ControlRefusal>
    where
        F: Future<Output = Result<Result<T, ControlRefusal>, RpcError>>,
    {
        let called = self.link.call_at(leader, step, make).await;
        self.link.record_reply(leader, flatten_reply(called))
    }

    async fn compare(
        &self,
        heartbeat: &ReplicaHeartbeat,
    ) -> Result<HeartbeatStatus, RegistryError> {
        match &self.access {
            LogAccess::Local(handle) => {
                let heartbeat = Box::new(heartbeat.clone());
                let request = handle.request(|answer| ControlEvent::Compare(heartbeat, answer));
                let waited = tokio::time::timeout(HEARTBEAT_TIMEOUT, request).await;
                let answered = waited.map_err(|_| RegistryError::NoQuorum)?;
                answered.map_err(|_| RegistryError::NoQuorum)
            }
            LogAccess::Remote => {
                let call = |client: ControlWireClient, _| {
                    let heartbeat = heartbeat.clone();
                    let context = peers::within(RELAY_CALL_TIMEOUT);
                    async move { client.compare(context, heartbeat).await }
                };
                let compared = self
                    .link
                    .call_leader("compare", HEARTBEAT_TIMEOUT, call)
                    .await;
                compared.map_err(|error| {
                    tracing::debug!(%error, "heartbeat could not be compared with the log");
                    RegistryError::NoQuorum
                })
            }
        }
    }

    async fn commit(&self, command: Command, timeout: Duration) -> Result<Reply, RegistryError> {
        self.commit_proposal(Proposal::Small(command), timeout)
            .await
    }

    /// Commits a command here or through the leader. The command may be committed more than
    /// once, so it must be safe to repeat.
    async fn commit_proposal(
        &self,
        proposal: Proposal,
        timeout: Duration,
    ) -> Result<Reply, RegistryError> {
        let deadline = Instant::now() + timeout;
        loop {
            let propose = |answer| proposal.clone().into_event(answer);
            let own = tokio::time::timeout_at(deadline.into(), self.request_local(propose)).await;
            let reply = match own {
                Err(_) => return Err(RegistryError::NoQuorum),
                Ok(Err(ControlRefusal::NotLeader(Some(leader)))) => {
                    let request = self.propose_at(&leader, &proposal, deadline);
                    match tokio::time::timeout_at(deadline.into(), request).await {
                        Ok(answer) => answer,
                        Err(_) => return Err(RegistryError::NoQuorum),
                    }
                }
                Ok(reply) => reply,
            };
            match reply {
                Ok((_, reply)) => return Ok(reply),
                Err(_) if Instant::now() + RETRY_DELAY >= deadline => {
                    return Err(RegistryError::NoQuorum);
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn propose_at(
        &self,
        leader: &str,
        proposal: &Proposal,
        deadline: Instant,
    ) -> Result<(Position, Reply), ControlRefusal> {
        let context = || {
            let left = deadline.saturating_duration_since(Instant::now());
            peers::within(self.leader_timeout().min(left))
        };
        match proposal {
            Proposal::Small(command) => {
                let (command, context) = (command.clone(), context());
                let call = |client: ControlWireClient| async move {
                    client.propose(context, command).await
                };
                self.request_leader(leader, "propose", call).await
            }
            Proposal::Large(command) => {
                let parts = [command.0.clone()];
                let sent = self.link.send_value_to(leader, &parts).await;
                let transfer = self
                    .link
                    .record_reply(leader, flatten_reply(sent.map(Ok)))?;
                let context = context();
                let call = |client: ControlWireClient| async move {
                    client.propose_large(context, transfer).await
                };
                self.request_leader(leader, "propose_large", call).await
            }
        }
    }
}

fn flatten_reply<T>(
    called: Result<Result<T, ControlRefusal>, PeerError>,
) -> Result<T, ControlRefusal> {
    match called {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(%error, "the leader did not reply");
            Err(ControlRefusal::NoQuorum)
        }
    }
}
