//! Replicas that crash when they receive a certain request body or part of a prompt, and then
//! restart.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinspring::consensus::directory::ReplicaRecord;
use dunlinspring::control::registry::Registry;
use dunlinspring::ids::ReplicaId;
use futures::future::{AbortHandle, abortable};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{
    ForwardSite, ReceivedRequest, Response, RouteShape, TIMEOUT_MS, event_chunks, loopback,
    read_request, ready_replica, unless_no_quorum, wait_for,
};

/// Request body that crashes the replica that runs it.
pub const CRASHING: &str = "deadly";
/// Id of a part of prompts that crashes the replica that begins to answer them.
pub const CRASHING_PART: &str = "dead";
/// Request body that runs until its replica crashes or releases it.
pub const LONG_RUNNING: &str = "lasting";
/// Request body whose response has neither length nor chunks and ends with its connection.
pub const CLOSING: &str = "closing";
/// The same, but the replica crashes after the first event.
pub const CUT_BY_CRASH: &str = "cut by a crash";
/// Time between a crash and the restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between the arrival of a [`CRASHING`] request and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// A replica across all its incarnations.
pub struct CrashingReplica {
    name: String,
    address: Cell<Option<SocketAddr>>,
    incarnation: Cell<u32>,
    /// Whether it runs and has registered with the control host.
    is_registered: Cell<bool>,
    crash_count: Cell<u32>,
    crash: Notify,
    release: Notify,
    seen: RefCell<Vec<ReceivedRequest>>,
}

impl CrashingReplica {
    fn id(&self) -> ReplicaId {
        ReplicaId(format!("{}-{}", self.name, self.incarnation.get()))
    }

    /// Returns the number of crashes so far.
    pub fn crash_count(&self) -> u32 {
        self.crash_count.get()
    }

    /// Returns how often it has started to run a body.
    pub fn run_count(&self, body: &str) -> usize {
        let seen = self.seen.borrow();
        seen.iter().filter(|seen| seen.body == body).count()
    }

    /// Crashes the replica whatever it runs, as an external kill does.
    pub fn kill(&self) {
        self.crash.notify_one();
    }

    /// Lets all [`LONG_RUNNING`] requests complete.
    pub fn release(&self) {
        self.release.notify_waiters();
    }
}

impl ForwardSite {
    /// Starts a site with this number of entries and four replicas that crash.
    pub async fn start_crashing(routes: &[RouteShape], entries: usize) -> Self {
        let mut site = Self::start(routes).await;
        for _ in 1..entries {
            site.add_entry().await;
        }
        for name in ["r1", "r2", "r3", "r4"] {
            site.add_crashing(name).await;
        }
        site
    }

    /// Starts a replica that crashes on [`CRASHING`] requests and prompts with [`CRASHING_PART`],
    /// and restarts under another id at the same address. Waits until all entries know it.
    pub async fn add_crashing(&mut self, name: &str) -> Rc<CrashingReplica> {
        let replica = Rc::new(CrashingReplica {
            name: name.to_owned(),
            address: Cell::new(None),
            incarnation: Cell::new(0),
            is_registered: Cell::new(false),
            crash_count: Cell::new(0),
            crash: Notify::new(),
            release: Notify::new(),
            seen: RefCell::default(),
        });
        ntex::rt::spawn(run_incarnations(replica.clone(), self.registry.clone()));
        self.crashing_replicas.push(replica.clone());
        self.wait_for_restarts().await;
        replica
    }

    /// Waits until all crashing replicas run and all entries know them.
    pub async fn wait_for_restarts(&self) {
        wait_for("all replicas to restart", async || {
            let known = |replica: &Rc<CrashingReplica>| {
                let id = replica.id();
                replica.is_registered.get() && self.entries.iter().all(|entry| entry.knows(&id))
            };
            self.crashing_replicas.iter().all(known).then_some(())
        })
        .await;
    }

    /// Returns the number of crashes of all replicas together.
    pub fn crash_count(&self) -> u32 {
        self.crashing_replicas
            .iter()
            .map(|replica| replica.crash_count())
            .sum()
    }
}

async fn run_incarnations(replica: Rc<CrashingReplica>, registry: Rc<Registry>) {
    loop {
        let address = replica.address.get().unwrap_or_else(loopback);
        let listener = wait_for("address", async || TcpListener::bind(address).await.ok()).await;
        replica.address.set(Some(listener.local_addr().unwrap()));
        replica.incarnation.set(replica.incarnation.get() + 1);
        register(&replica, &registry).await;
        replica.is_registered.set(true);
        let runs = RefCell::new(Vec::new());
        let serves = accept(listener, &replica, &runs);
        tokio::select! {
            () = serves => {}
            () = replica.crash.notified() => {}
        }
        replica.is_registered.set(false);
        replica.crash_count.set(replica.crash_count.get() + 1);
        // The kernel closes the sockets of a process that ended.
        for run in runs.take() {
            AbortHandle::abort(&run);
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

async fn register(replica: &CrashingReplica, registry: &Registry) {
    let record = ReplicaRecord {
        address: replica.address.get().unwrap(),
        slots: 8,
        ..ready_replica(replica.id(), "plain")
    };
    let registered = async || unless_no_quorum(registry.heartbeat(record.clone()).await);
    wait_for("a quorum", registered).await.unwrap();
}

async fn accept(
    listener: TcpListener,
    replica: &Rc<CrashingReplica>,
    runs: &RefCell<Vec<AbortHandle>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (run, handle) = abortable(serve(stream, replica.clone()));
        runs.borrow_mut().push(handle);
        ntex::rt::spawn(async move {
            let _ = run.await;
        });
    }
}

async fn serve(mut stream: TcpStream, replica: Rc<CrashingReplica>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let (id, body) = (
            seen.header("request-id").unwrap_or_default().to_owned(),
            seen.body.clone(),
        );
        let prompt = seen.header("prefix").unwrap_or_default();
        let mut parts = prompt.split(',').map(|part| part.split(':').next());
        let crashes = body == CRASHING || parts.any(|part| part == Some(CRASHING_PART));
        replica.seen.borrow_mut().push(seen);
        let stamp = replica.id();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        match body.as_str() {
            _ if crashes => {
                tokio::time::sleep(CRASH_DELAY).await;
                replica.crash.notify_one();
                std::future::pending::<()>().await;
            }
            CLOSING | CUT_BY_CRASH => {
                let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\n\r\n");
                let events = "id: 1\ndata: 1\n\n";
                let _ = stream.write_all((head + events).as_bytes()).await;
                if body == CLOSING {
                    let _ = stream.write_all(b"id: 2\ndata: 2\n\n").await;
                    return;
                }
                replica.crash.notify_one();
                std::future::pending::<()>().await;
            }
            LONG_RUNNING => replica.release.notified().await,
            _ => {}
        }
        let text = head + &event_chunks(1, 2) + "0\r\n\r\n";
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

impl ForwardSite {
    /// Sends a request whose prompt has these parts, and one of its own.
    pub async fn send_prompt(
        &self,
        entry: usize,
        target: &str,
        id: &str,
        parts: &[&str],
    ) -> Response {
        let prompt: String = parts.iter().map(|part| format!("{part}:10,")).collect();
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {TIMEOUT_MS}\r\nConnection: close\r\nPrefix: {prompt}ff:5\r\n\
             Content-Length: {}\r\n\r\n{id}",
            id.len()
        );
        self.send_raw_at(entry, &text).await
    }
}
