//! What replicas and operators tell a control host, whichever it is: heartbeats,
//! leaving, and whole configurations.
//!
//! Each call is acknowledged only once what it says cannot be lost: a known
//! heartbeat at once, anything else when it is committed.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use snafu::Snafu;
use tarpc::client::RpcError;
use tokio::sync::oneshot;

use crate::consensus::directory::{BeatNews, ReplicaPhase, ReplicaRecord};
use crate::consensus::state::{Command, ConfigureAnswer, HallStanding, Reply};
use crate::control::event::{ControlEvent, ControlHandle};
use crate::ids::{HallName, ReplicaId, ServiceName};
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::wire::{ControlRefusal, ControlWireClient};
use crate::table::configuration::{Configuration, ConfigurationError, ConfigurationRecord};

/// Time within which a replica's call is answered: it goes elsewhere after a second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which an operator's call is answered.
const CONFIGURE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for one call to the leader.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for one call of a host without a log, so that another one can be asked.
const RELAY_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a command is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time between two tellings of who was heard.
const SEEN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Why a call was not taken.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// The configuration is not valid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// What is wrong.
        source: ConfigurationError,
    },
    /// The version in force has other contents.
    #[snafu(display("version {version} is in force with other contents"))]
    Conflict {
        /// The version.
        version: u64,
    },
    /// The call comes from a life that has ended.
    #[snafu(display("this replica has ended"))]
    Ended,
    /// There is no such data hall.
    #[snafu(display("there is no data hall '{hall}'"))]
    UnknownHall {
        /// The data hall.
        hall: HallName,
    },
    /// The configuration names no such service.
    #[snafu(display("the configuration names no service '{service}'"))]
    UnknownService {
        /// The service.
        service: ServiceName,
    },
    /// Nothing was committed in time; it may still be.
    #[snafu(display("no quorum in time"))]
    NoQuorum,
}

/// How a control host reaches the log.
pub enum LogAccess {
    /// It keeps the log itself.
    Local(ControlHandle),
    /// It has no disk: all goes to the hosts that keep the log.
    Remote,
}

/// One control host's way to the log.
pub struct Registry {
    access: LogAccess,
    link: Arc<ControlLink>,
    /// The data halls that there are; empty where nobody has told.
    halls: BTreeSet<HallName>,
    seen: Mutex<BTreeSet<ReplicaId>>,
}

impl Registry {
    /// The registry of a control host; `link` reaches the others.
    pub fn new(access: LogAccess, link: Arc<ControlLink>, halls: BTreeSet<HallName>) -> Self {
        Self {
            access,
            link,
            halls,
            seen: Mutex::default(),
        }
    }

    /// A replica's heartbeat.
    pub async fn heartbeat(&self, record: ReplicaRecord) -> Result<(), RegistryError> {
        let id = record.id.clone();
        self.seen().insert(id.clone());
        match self.compare(&record).await? {
            BeatNews::Known => Ok(()),
            BeatNews::Ended => Err(RegistryError::Ended),
            BeatNews::Foreign => Err(RegistryError::UnknownService {
                service: record.service,
            }),
            BeatNews::New => {
                let phase = record.phase;
                let models = record.models.len();
                tracing::info!(replica = %id, service = %record.service, ?phase, models, "replica tells news");
                let is_draining = phase == ReplicaPhase::Draining;
                let command = Command::Replica(Box::new(record));
                let committed = self.commit(command, HEARTBEAT_TIMEOUT).await;
                // A replica that stays may take requests before all know of it.
                match (committed, is_draining) {
                    (Err(error), true) => Err(error),
                    _ => Ok(()),
                }
            }
        }
    }

    /// A replica that is leaving for good; it serves on for a while.
    pub async fn drain(&self, id: ReplicaId) -> Result<(), RegistryError> {
        tracing::info!(replica = %id, "replica leaves");
        let command = Command::ReplicaDrains(id);
        self.commit(command, HEARTBEAT_TIMEOUT).await.map(|_| ())
    }

    /// An operator's configuration, with its text.
    pub async fn configure(
        &self,
        configuration: Configuration,
        source: Vec<u8>,
    ) -> Result<ConfigureAnswer, RegistryError> {
        configuration.check()?;
        let version = configuration.version;
        let record = ConfigurationRecord {
            configuration,
            source,
        };
        let command = Command::Configure(Box::new(record));
        let reply = self.commit(command, CONFIGURE_TIMEOUT).await;
        tracing::info!(version, ?reply, "configuration");
        match reply? {
            Reply::Configured(ConfigureAnswer::Conflict) => {
                Err(RegistryError::Conflict { version })
            }
            Reply::Configured(answer) => Ok(answer),
            reply => unreachable!("a configuration was answered with {reply:?}"),
        }
    }

    /// An operator's word on a data hall: whether its replicas may get requests.
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
        tracing::info!(%hall, ?standing, ?reply, "data hall");
        reply.map(|_| ())
    }

    /// The configuration, by a read that nothing newer can exist besides.
    pub async fn configuration(&self) -> Result<Option<ConfigurationRecord>, RegistryError> {
        let deadline = Instant::now() + CONFIGURE_TIMEOUT;
        loop {
            let held = match self.request_local(ControlEvent::Configuration).await {
                Err(ControlRefusal::NotLeader(Some(leader))) => {
                    let context = peers::within(self.leader_timeout());
                    let call = |client: ControlWireClient| async move {
                        client.configuration(context).await
                    };
                    self.request_leader(&leader, "configuration", call).await
                }
                held => held,
            };
            match held {
                Ok(record) => return Ok(record),
                Err(_) if Instant::now() + RETRY_DELAY >= deadline => {
                    return Err(RegistryError::NoQuorum);
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Tells the leader, again and again, whom this host has heard.
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
                // Replicas are heard again before long, here or elsewhere.
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

    /// Asks the log that this host keeps; one that keeps none names where to ask.
    async fn request_local<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, ControlRefusal>>) -> ControlEvent,
    ) -> Result<T, ControlRefusal> {
        match &self.access {
            LogAccess::Local(handle) => handle.request(make).await,
            LogAccess::Remote => Err(ControlRefusal::NotLeader(self.link.presumed_leader())),
        }
    }

    /// Asks the host that is taken for the leader, and notes what it answers.
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

    async fn compare(&self, record: &ReplicaRecord) -> Result<BeatNews, RegistryError> {
        match &self.access {
            LogAccess::Local(handle) => {
                let record = Box::new(record.clone());
                let asked = handle.request(|answer| ControlEvent::Compare(record, answer));
                let waited = tokio::time::timeout(HEARTBEAT_TIMEOUT, asked).await;
                let answered = waited.map_err(|_| RegistryError::NoQuorum)?;
                answered.map_err(|_| RegistryError::NoQuorum)
            }
            LogAccess::Remote => {
                let call = |client: ControlWireClient, _| {
                    let record = record.clone();
                    let context = peers::within(RELAY_CALL_TIMEOUT);
                    async move { client.compare(context, record).await }
                };
                let compared = self
                    .link
                    .call_leader("compare", HEARTBEAT_TIMEOUT, call)
                    .await;
                compared.map_err(|error| {
                    tracing::debug!(%error, "a heartbeat was not compared");
                    RegistryError::NoQuorum
                })
            }
        }
    }

    /// Commits a command here or at the leader. It may be committed more than
    /// once, so each command must be safe to repeat.
    async fn commit(&self, command: Command, timeout: Duration) -> Result<Reply, RegistryError> {
        let deadline = Instant::now() + timeout;
        loop {
            let propose = |answer| ControlEvent::Propose(command.clone(), answer);
            let own = tokio::time::timeout_at(deadline.into(), self.request_local(propose)).await;
            let reply = match own {
                Err(_) => return Err(RegistryError::NoQuorum),
                Ok(Err(ControlRefusal::NotLeader(Some(leader)))) => {
                    let command = command.clone();
                    let left = deadline.saturating_duration_since(Instant::now());
                    let context = peers::within(self.leader_timeout().min(left));
                    let call = |client: ControlWireClient| async move {
                        client.propose(context, command).await
                    };
                    let asked = self.request_leader(&leader, "propose", call);
                    match tokio::time::timeout_at(deadline.into(), asked).await {
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
}

fn flatten_reply<T>(
    called: Result<Result<T, ControlRefusal>, PeerError>,
) -> Result<T, ControlRefusal> {
    match called {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(%error, "the leader did not answer");
            Err(ControlRefusal::NoQuorum)
        }
    }
}
