//! A control host without a disk: it keeps no log and never votes. Replicas and
//! operators may call it like any other; it passes on what they say to the hosts
//! that keep the log, and names these to processes that know no other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;

use crate::clock;
use crate::consensus::claims::{ClaimKey, ClaimRecord};
use crate::consensus::crashes::CrashBook;
use crate::consensus::directory::{BeatNews, ReplicaRecord};
use crate::consensus::naming::{self, NamingAnswer, NamingAsk, NamingBook};
use crate::consensus::raft::RaftMessage;
use crate::consensus::state::{Command, Reply};
use crate::control::bootstrap;
use crate::ids::{HallName, HostName, Incarnation, NodeId, Position, ReplicaId};
use crate::placement::crowd::{CrowdReport, WaitingTokens};
use crate::placement::duties::{AgentBeat, EntryBeat};
use crate::placement::named_limits::{LimitPage, LimitReport};
use crate::placement::order::AdapterPlace;
use crate::placement::replica_rates::{PermitReply, PermitRequest};
use crate::placement::report::{EntryReport, ReportReply};
use crate::placement::turns::{TurnAnswer, TurnAsk, TurnEnd};
use crate::process::daemon::{self, DaemonError};
use crate::process::metrics::{MetricBook, MetricKey};
use crate::process::peers::{self, ControlLink, PeerError, SiteSecret};
use crate::process::settings::CommonSettings;
use crate::process::wire::{
    AccountStatus, AgentOrders, ControlRefusal, ControlStatus, ControlWire, ControlWireClient,
    EntryOrders, Notice, TableStatus,
};
use crate::routing::view::SyncPage;
use crate::table::configuration::ConfigurationRecord;
use crate::table::quota::{QuotaAsk, QuotaGrants};

/// Pause before an asker that knows nothing yet is answered: it asks again at once.
const NOTICE_PAUSE: Duration = Duration::from_millis(100);
/// Hosts that enrolled, remembered until the hosts that keep the log are known.
const MAX_ENROLLED: usize = 64;
/// Time without word of a leader until the relay is not ready, in milliseconds.
const STALE_MS: u64 = 10_000;
/// How long a host that keeps the log may hold a question, in milliseconds.
const WATCH_WAIT_MS: u64 = 1_000;
/// Time for such a question.
const WATCH_TIME: Duration = Duration::from_millis(1_600);
/// Pause after a host that did not answer, or that had hosts to tell of.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// A running relay.
pub struct RelayDaemon {
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Where metrics and health are served.
    pub watch: SocketAddr,
    hosts: Arc<HostBook>,
}

impl RelayDaemon {
    /// Starts on the current runtime.
    pub async fn start(settings: CommonSettings, secret: SiteSecret) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.listen).await?;
        Self::start_on(listener, settings, secret).await
    }

    /// Starts on a listener that is bound already.
    pub async fn start_on(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        Self::open(listener, settings, secret, None).await
    }

    /// Starts where the whole site starts for the first time. Only then may it take part
    /// in naming a founder: later it cannot know whom it named before.
    pub async fn start_first(
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let listener = daemon::bind("listen", settings.listen).await?;
        Self::start_first_on(listener, settings, secret).await
    }

    /// [`RelayDaemon::start_first`] on a listener that is bound already.
    pub async fn start_first_on(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
    ) -> Result<Self, DaemonError> {
        let named = settings.control.iter().map(|voter| voter.host.clone());
        let named: BTreeSet<HostName> = named.collect();
        let is_named = named.contains(&settings.host);
        let book = is_named.then(|| NamingBook::new(named, Incarnation(rand::random())));
        Self::open(listener, settings, secret, book).await
    }

    async fn open(
        listener: TcpListener,
        settings: CommonSettings,
        secret: SiteSecret,
        book: Option<NamingBook>,
    ) -> Result<Self, DaemonError> {
        let address = daemon::address_of("listen", &listener)?;
        let named = settings.control.iter();
        let others = named.filter(|voter| voter.host != settings.host);
        let others: Vec<String> = others.map(|voter| voter.address.to_string()).collect();
        let link = Arc::new(ControlLink::new(secret.clone(), Vec::new()));
        let hosts = Arc::new(HostBook {
            own: settings.host.clone(),
            hall: settings.hall.clone(),
            link,
            fresh_ms: AtomicU64::new(0),
        });
        for other in &others {
            hosts.watch(other);
        }
        let relay = RelayServer {
            hosts: hosts.clone(),
            enrolled: Arc::default(),
            naming: Arc::new(Naming {
                others,
                book: book.map(Mutex::new),
                founder: tokio::sync::Mutex::default(),
            }),
        };
        serve(listener, secret, relay);
        let watch = serve_watch(settings.watch, hosts.clone()).await?;
        tracing::info!(%address, %watch, "relay started: no disk, no vote");
        Ok(Self {
            address,
            watch,
            hosts,
        })
    }

    /// Watches further control hosts, after a change of the settings.
    pub fn learn_control(&self, control: &[SocketAddr]) {
        for address in control {
            self.hosts.watch(&address.to_string());
        }
    }

    /// The way to the hosts that keep the log.
    pub fn link(&self) -> &Arc<ControlLink> {
        &self.hosts.link
    }
}

fn serve(listener: TcpListener, secret: SiteSecret, relay: RelayServer) {
    let serve = move |transport| {
        let relay = relay.clone();
        let channel = BaseChannel::with_defaults(transport);
        tokio::spawn(channel.execute(relay.serve()).for_each(|call| async {
            tokio::spawn(call);
        }));
    };
    tokio::spawn(peers::listen(listener, secret, serve));
}

async fn serve_watch(address: SocketAddr, hosts: Arc<HostBook>) -> Result<SocketAddr, DaemonError> {
    let read = move || {
        let stale_ms = hosts.stale_ms();
        let mut book = MetricBook::default();
        book.gauge(MetricKey::new("dunlinspring_relay_stale_ms", &[]), stale_ms);
        let page = daemon::WatchPage {
            ready: stale_ms < STALE_MS,
            metrics: book.render(),
        };
        Box::pin(async move { page }) as daemon::WatchRead
    };
    daemon::serve_watch(address, Arc::new(read)).await
}

/// The control hosts that a relay knows, and how fresh their word of a leader is.
struct HostBook {
    own: HostName,
    hall: HallName,
    link: Arc<ControlLink>,
    /// When a leader was last known to lead, by this host's steady clock.
    fresh_ms: AtomicU64,
}

impl HostBook {
    fn stale_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.fresh_ms.load(Ordering::SeqCst))
    }

    /// Watches a control host, and from then on each that it names.
    fn watch(self: &Arc<Self>, address: &str) {
        if address != self.own.0 && self.link.learn(address) {
            tokio::spawn(watch_host(self.clone(), address.to_owned()));
        }
    }

    async fn ask(&self, address: &str, cursor: Position) -> Result<Notice, PeerError> {
        let context = peers::within(WATCH_TIME);
        let call = |client: ControlWireClient| async move {
            client.notice(context, cursor, WATCH_WAIT_MS).await
        };
        let told = self.link.call_at(address, "notice", call).await?;
        told.map_err(|refusal| PeerError::Refused {
            step: "notice",
            peer: address.to_owned(),
            refusal,
        })
    }
}

/// Boxed, as the hosts that one names are watched in turn.
fn watch_host(hosts: Arc<HostBook>, address: String) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        loop {
            // A relay without a leader wants all names at once; else only whether
            // the host is still there, after the whole wait.
            let cursor = match hosts.stale_ms() {
                stale_ms if stale_ms > 2 * WATCH_WAIT_MS => Position(0),
                _ => Position(u64::MAX),
            };
            let asked_ms = clock::monotonic_ms();
            match hosts.ask(&address, cursor).await {
                Ok(notice) => {
                    for host in &notice.hosts {
                        hosts.watch(host.as_str());
                    }
                    let fresh_ms = asked_ms.saturating_sub(notice.leaderless_ms);
                    hosts.fresh_ms.fetch_max(fresh_ms, Ordering::SeqCst);
                }
                Err(error) => tracing::debug!(%error, "a control host is silent"),
            }
            tokio::time::sleep(WATCH_PAUSE).await;
        }
    })
}

#[derive(Clone)]
struct RelayServer {
    hosts: Arc<HostBook>,
    /// Hosts with a disk that asked to become voters here.
    enrolled: Arc<Mutex<BTreeSet<HostName>>>,
    naming: Arc<Naming>,
}

/// Who founds the site, as far as this relay knows.
struct Naming {
    /// The other named hosts.
    others: Vec<String>,
    /// This relay's part in naming; none where it may have forgotten what it did.
    book: Option<Mutex<NamingBook>>,
    /// The host that was named. Held while it is agreed on, so that one host that asks
    /// waits for the other's try.
    founder: tokio::sync::Mutex<Option<HostName>>,
}

impl Naming {
    /// One try to have `host` named; whoever was named before stays so.
    async fn agree(&self, link: &ControlLink, host: &HostName) -> Option<HostName> {
        let book = self.book.as_ref()?;
        let ask = peers::lock(book).begin();
        let promises = self.ask_all(link, book, &ask).await?;
        let founder = naming::name_after(&promises, host);
        let ask = ask.record(founder.clone());
        self.ask_all(link, book, &ask).await.map(|_| founder)
    }

    /// The answers of all named hosts, if a majority granted what was asked.
    async fn ask_all(
        &self,
        link: &ControlLink,
        book: &Mutex<NamingBook>,
        ask: &NamingAsk,
    ) -> Option<Vec<NamingAnswer>> {
        let mut answers = bootstrap::ask_named(link, &self.others, ask).await;
        let mut book = peers::lock(book);
        answers.push(book.answer(ask));
        book.is_granted(&answers).then_some(answers)
    }
}

impl RelayServer {
    fn elsewhere(&self) -> ControlRefusal {
        ControlRefusal::NotLeader(self.hosts.link.confirmed())
    }

    fn known_hosts(&self) -> Notice {
        let known = self.hosts.link.addresses().into_iter().map(HostName);
        let enrolled = peers::lock(&self.enrolled).clone();
        let others = known.chain(enrolled);
        let hosts: BTreeSet<HostName> = others.collect();
        Notice {
            hall: self.hosts.hall.clone(),
            position: Position(0),
            leaderless_ms: clock::monotonic_ms(),
            hosts: hosts.into_iter().collect(),
            proof: None,
        }
    }
}

impl ControlWire for RelayServer {
    async fn raft(self, _: Context, from: NodeId, _: HostName, _: RaftMessage) {
        tracing::debug!(%from, "a voter's message came to a host without a log");
    }

    async fn enroll(self, _: Context, _: NodeId, host: HostName) -> Result<Notice, ControlRefusal> {
        let mut enrolled = peers::lock(&self.enrolled);
        if enrolled.len() < MAX_ENROLLED {
            enrolled.insert(host);
        }
        drop(enrolled);
        Ok(self.known_hosts())
    }

    async fn sync(
        self,
        _: Context,
        _: Position,
        _: u64,
        _: bool,
    ) -> Result<SyncPage, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn propose(self, _: Context, _: Command) -> Result<(Position, Reply), ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn agent_beat(self, _: Context, _: AgentBeat) -> Result<AgentOrders, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn entry_beat(self, _: Context, _: EntryBeat) -> Result<EntryOrders, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn table(self, _: Context) -> Result<TableStatus, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn claim(self, _: Context, _: ClaimKey) -> Result<Option<ClaimRecord>, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn notice(
        self,
        _: Context,
        cursor: Position,
        wait_ms: u64,
    ) -> Result<Notice, ControlRefusal> {
        let wait = Duration::from_millis(wait_ms);
        // Whoever follows the log has nothing to learn here.
        let pause = match cursor {
            Position(0) => NOTICE_PAUSE.min(wait),
            _ => wait,
        };
        tokio::time::sleep(pause).await;
        Ok(self.known_hosts())
    }

    async fn configuration(
        self,
        _: Context,
    ) -> Result<Option<ConfigurationRecord>, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn confirm(self, _: Context) -> Result<u64, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn quota(self, _: Context, _: QuotaAsk) -> Result<QuotaGrants, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn accounts(self, _: Context) -> Result<Vec<AccountStatus>, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn heard(self, _: Context, _: Vec<ReplicaId>) -> Result<(), ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn report(self, _: Context, _: EntryReport) -> Result<ReportReply, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn crowd(self, _: Context, _: CrowdReport) -> Result<WaitingTokens, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn wish(self, _: Context, _: AdapterPlace) -> Result<bool, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn turn(self, _: Context, _: TurnAsk) -> Result<TurnAnswer, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn end_turn(self, _: Context, _: TurnEnd) -> Result<(), ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn permit(self, _: Context, _: PermitRequest) -> Result<PermitReply, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn limits(self, _: Context, _: LimitReport) -> Result<LimitPage, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn contents(self, _: Context) -> Result<CrashBook, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn compare(self, _: Context, _: ReplicaRecord) -> Result<BeatNews, ControlRefusal> {
        Err(self.elsewhere())
    }

    async fn keeps_log(self, _: Context) -> bool {
        false
    }

    async fn announce(self, _: Context, host: HostName) {
        self.hosts.watch(host.as_str());
    }

    async fn appoint(self, _: Context, host: HostName) -> Result<HostName, ControlRefusal> {
        let link = &self.hosts.link;
        let mut named = self.naming.founder.lock().await;
        if let Some(founder) = &*named {
            return Ok(founder.clone());
        }
        let Some(founder) = self.naming.agree(link, &host).await else {
            let founded = bootstrap::founded_host(link).await.map(Some);
            return Err(founded.map_or(ControlRefusal::NoQuorum, ControlRefusal::NotLeader));
        };
        self.hosts.watch(founder.as_str());
        tracing::info!(%founder, "the founder of the site is named");
        *named = Some(founder.clone());
        Ok(founder)
    }

    async fn naming(self, _: Context, ask: NamingAsk) -> NamingAnswer {
        let book = self.naming.book.as_ref();
        book.map_or(NamingAnswer::Abstains, |book| {
            peers::lock(book).answer(&ask)
        })
    }

    async fn status(self, _: Context) -> ControlStatus {
        ControlStatus::without_log(self.hosts.own.clone())
    }
}
