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

use crate::consensus::directory::{HeartbeatStatus, ReplicaPhase, ReplicaRecord};
use crate::consensus::state::{Command, ConfigureResult, HallStanding, Reply};
use crate::control::event::{ControlEvent, ControlHandle};
use crate::ids::{HallName, ReplicaId, ServiceName};
use crate::process::peers::{self, ControlLink, PeerError};
use crate::process::wire::{ControlRefusal, ControlWireClient};
use crate::table::configuration::{Configuration, ConfigurationError, ConfigurationRecord};

/// Time within which a replica's call is answered: it goes elsewhere after a second.
const BEAT_TIME: Duration = Duration::from_millis(900);
/// Time within which an operator's call is answered.
const CONFIGURE_TIME: Duration = Duration::from_millis(900);
/// Time for one call to the leader.
const LEADER_TIME: Duration = Duration::from_millis(700);
/// Time for one call of a host without a log, so that another one can be asked.
const RELAY_TIME: Duration = Duration::from_millis(400);
/// Pause before a command is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Time between two tellings of who was heard.
const HEARD_EVERY: Duration = Duration::from_millis(400);

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
    Foreign {
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
    Own(ControlHandle),
    /// It has no disk: all goes to the hosts that keep the log.
    Relayed,
}

/// One control host's way to the log.
pub struct Registry {
    access: LogAccess,
    link: Arc<ControlLink>,
    /// The data halls that there are; empty where nobody has told.
    halls: BTreeSet<HallName>,
    heard: Mutex<BTreeSet<ReplicaId>>,
}

impl Registry {
    /// The registry of a control host; `link` reaches the others.
    pub fn new(access: LogAccess, link: Arc<ControlLink>, halls: BTreeSet<HallName>) -> Self {
        Self {
            access,
            link,
            halls,
            heard: Mutex::default(),
        }
    }

    /// A replica's heartbeat.
    pub async fn beat(&self, record: ReplicaRecord) -> Result<(), RegistryError> {
        let id = record.id.clone();
        self.heard().insert(id.clone());
        match self.compare(&record).await? {
            HeartbeatStatus::Known => Ok(()),
            HeartbeatStatus::Ended => Err(RegistryError::Ended),
            HeartbeatStatus::Foreign => Err(RegistryError::Foreign {
                service: record.service,
            }),
            HeartbeatStatus::New => {
                let phase = record.phase;
                let models = record.models.len();
                tracing::info!(replica = %id, service = %record.service, ?phase, models, "replica tells news");
                let leaves = phase == ReplicaPhase::Draining;
                let command = Command::Replica(Box::new(record));
                let committed = self.commit(command, BEAT_TIME).await;
                // A replica that stays may take requests before all know of it.
                match (committed, leaves) {
                    (Err(error), true) => Err(error),
                    _ => Ok(()),
                }
            }
        }
    }

    /// A replica that is leaving for good; it serves on for a while.
    pub async fn leave(&self, id: ReplicaId) -> Result<(), RegistryError> {
        tracing::info!(replica = %id, "replica leaves");
        let command = Command::ReplicaDrains(id);
        self.commit(command, BEAT_TIME).await.map(|_| ())
    }

    /// An operator's configuration, with its text.
    pub async fn configure(
        &self,
        configuration: Configuration,
        source: Vec<u8>,
    ) -> Result<ConfigureResult, RegistryError> {
        configuration.check()?;
        let version = configuration.version;
        let record = ConfigurationRecord {
            configuration,
            source,
        };
        let command = Command::Configure(Box::new(record));
        let reply = self.commit(command, CONFIGURE_TIME).await;
        tracing::info!(version, ?reply, "configuration");
        match reply? {
            Reply::Configured(ConfigureResult::Conflict) => {
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
        let reply = self.commit(command, CONFIGURE_TIME).await;
        tracing::info!(%hall, ?standing, ?reply, "data hall");
        reply.map(|_| ())
    }

    /// The configuration, by a read that nothing newer can exist besides.
    pub async fn configuration(&self) -> Result<Option<ConfigurationRecord>, RegistryError> {
        let give_up = Instant::now() + CONFIGURE_TIME;
        loop {
            let held = match self.ask_own(ControlEvent::Configuration).await {
                Err(ControlRefusal::NotLeader(Some(leader))) => {
                    let context = peers::within(self.leader_time());
                    let call = |client: ControlWireClient| async move {
                        client.configuration(context).await
                    };
                    self.ask_leader(&leader, "configuration", call).await
                }
                held => held,
            };
            match held {
                Ok(record) => return Ok(record),
                Err(_) if Instant::now() + RETRY_PAUSE >= give_up => {
                    return Err(RegistryError::NoQuorum);
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Tells the leader, again and again, whom this host has heard.
    pub async fn tell_heard(&self) {
        loop {
            tokio::time::sleep(HEARD_EVERY).await;
            let ids: Vec<ReplicaId> = std::mem::take(&mut *self.heard()).into_iter().collect();
            if ids.is_empty() {
                continue;
            }
            let own = |answer| ControlEvent::Heard(ids.clone(), answer);
            if let Err(ControlRefusal::NotLeader(Some(leader))) = self.ask_own(own).await {
                let context = peers::within(self.leader_time());
                let ids = ids.clone();
                let call =
                    |client: ControlWireClient| async move { client.heard(context, ids).await };
                // Replicas are heard again before long, here or elsewhere.
                let _ = self.ask_leader(&leader, "heard", call).await;
            }
        }
    }

    fn heard(&self) -> std::sync::MutexGuard<'_, BTreeSet<ReplicaId>> {
        self.heard
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn leader_time(&self) -> Duration {
        match self.access {
            LogAccess::Own(_) => LEADER_TIME,
            LogAccess::Relayed => RELAY_TIME,
        }
    }

    /// Asks the log that this host keeps; one that keeps none names where to ask.
    async fn ask_own<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, ControlRefusal>>) -> ControlEvent,
    ) -> Result<T, ControlRefusal> {
        match &self.access {
            LogAccess::Own(handle) => handle.ask(make).await,
            LogAccess::Relayed => Err(ControlRefusal::NotLeader(self.link.presumed_leader())),
        }
    }

    /// Asks the host that is taken for the leader, and notes what it answers.
    async fn ask_leader<T, F>(
        &self,
        leader: &str,
        step: &'static str,
        make: impl FnOnce(ControlWireClient) -> F,
    ) -> Result<T, ControlRefusal>
    where
        F: Future<Output = Result<Result<T, ControlRefusal>, RpcError>>,
    {
        let called = self.link.call_at(leader, step, make).await;
        self.link.note_answer(leader, told(called))
    }

    async fn compare(&self, record: &ReplicaRecord) -> Result<HeartbeatStatus, RegistryError> {
        match &self.access {
            LogAccess::Own(handle) => {
                let record = Box::new(record.clone());
                let asked = handle.ask(|answer| ControlEvent::Compare(record, answer));
                let waited = tokio::time::timeout(BEAT_TIME, asked).await;
                let answered = waited.map_err(|_| RegistryError::NoQuorum)?;
                answered.map_err(|_| RegistryError::NoQuorum)
            }
            LogAccess::Relayed => {
                let call = |client: ControlWireClient, _| {
                    let record = record.clone();
                    let context = peers::within(RELAY_TIME);
                    async move { client.compare(context, record).await }
                };
                let compared = self.link.decide("compare", BEAT_TIME, call).await;
                compared.map_err(|error| {
                    tracing::debug!(%error, "a heartbeat was not compared");
                    RegistryError::NoQuorum
                })
            }
        }
    }

    /// Commits a command here or at the leader. It may be committed more than
    /// once, so each command must be safe to repeat.
    async fn commit(&self, command: Command, patience: Duration) -> Result<Reply, RegistryError> {
        let give_up = Instant::now() + patience;
        loop {
            let propose = |answer| ControlEvent::Propose(command.clone(), answer);
            let own = tokio::time::timeout_at(give_up.into(), self.ask_own(propose)).await;
            let reply = match own {
                Err(_) => return Err(RegistryError::NoQuorum),
                Ok(Err(ControlRefusal::NotLeader(Some(leader)))) => {
                    let command = command.clone();
                    let left = give_up.saturating_duration_since(Instant::now());
                    let context = peers::within(self.leader_time().min(left));
                    let call = |client: ControlWireClient| async move {
                        client.propose(context, command).await
                    };
                    let asked = self.ask_leader(&leader, "propose", call);
                    match tokio::time::timeout_at(give_up.into(), asked).await {
                        Ok(answer) => answer,
                        Err(_) => return Err(RegistryError::NoQuorum),
                    }
                }
                Ok(reply) => reply,
            };
            match reply {
                Ok((_, reply)) => return Ok(reply),
                Err(_) if Instant::now() + RETRY_PAUSE >= give_up => {
                    return Err(RegistryError::NoQuorum);
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }
}

fn told<T>(called: Result<Result<T, ControlRefusal>, PeerError>) -> Result<T, ControlRefusal> {
    match called {
        Ok(told) => told,
        Err(error) => {
            tracing::debug!(%error, "the leader did not answer");
            Err(ControlRefusal::NoQuorum)
        }
    }
}
