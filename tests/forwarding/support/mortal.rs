//! Replicas that end as processes do, and start again: what they are asked decides it.

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
    ForwardSite, Seen, answered, event_chunks, loopback, past_quorum, read_request, ready_replica,
};

/// A body under which a replica ends.
pub const DEADLY: &str = "deadly";
/// A body that is at work until its replica ends or is let go.
pub const LASTING: &str = "lasting";
/// How long a replica that has ended is away.
const AWAY: Duration = Duration::from_millis(300);
/// How long it is at work before it ends.
const AT_WORK: Duration = Duration::from_millis(20);

/// A replica in all its lives.
pub struct MortalReplica {
    name: String,
    address: Cell<Option<SocketAddr>>,
    life: Cell<u32>,
    /// It runs, and has told the control host so.
    is_back: Cell<bool>,
    ended: Cell<u32>,
    ends: Notify,
    let_go: Notify,
    seen: RefCell<Vec<Seen>>,
}

impl MortalReplica {
    fn id(&self) -> ReplicaId {
        ReplicaId(format!("{}-{}", self.name, self.life.get()))
    }

    /// How often it has ended.
    pub fn ended(&self) -> u32 {
        self.ended.get()
    }

    /// How often it began to run a body.
    pub fn ran(&self, body: &str) -> usize {
        let seen = self.seen.borrow();
        seen.iter().filter(|seen| seen.body == body).count()
    }

    /// Ends it from outside.
    pub fn kill(&self) {
        self.ends.notify_one();
    }

    /// Lets lasting runs go on to their end.
    pub fn let_go(&self) {
        self.let_go.notify_waiters();
    }
}

impl ForwardSite {
    /// Starts a replica that ends under [`DEADLY`] requests and starts again under another
    /// id at the same address, and waits until all entries know it.
    pub async fn add_mortal(&mut self, name: &str) -> Rc<MortalReplica> {
        let replica = Rc::new(MortalReplica {
            name: name.to_owned(),
            address: Cell::new(None),
            life: Cell::new(0),
            is_back: Cell::new(false),
            ended: Cell::new(0),
            ends: Notify::new(),
            let_go: Notify::new(),
            seen: RefCell::default(),
        });
        ntex::rt::spawn(live_on(replica.clone(), self.registry.clone()));
        self.mortals.push(replica.clone());
        self.all_back().await;
        replica
    }

    /// Waits until all replicas that can end run, and all entries know them.
    pub async fn all_back(&self) {
        answered("all replicas to be back", async || {
            let known = |replica: &Rc<MortalReplica>| {
                let id = replica.id();
                replica.is_back.get() && self.entries.iter().all(|entry| entry.knows(&id))
            };
            self.mortals.iter().all(known).then_some(())
        })
        .await;
    }

    /// How often replicas have ended, all together.
    pub fn ended(&self) -> u32 {
        self.mortals.iter().map(|replica| replica.ended()).sum()
    }
}

async fn live_on(replica: Rc<MortalReplica>, registry: Rc<Registry>) {
    loop {
        let address = replica.address.get().unwrap_or_else(loopback);
        let listener = answered("an address", async || TcpListener::bind(address).await.ok()).await;
        replica.address.set(Some(listener.local_addr().unwrap()));
        replica.life.set(replica.life.get() + 1);
        register(&replica, &registry).await;
        replica.is_back.set(true);
        let runs = RefCell::new(Vec::new());
        let serves = accept(listener, &replica, &runs);
        tokio::select! {
            () = serves => {}
            () = replica.ends.notified() => {}
        }
        replica.is_back.set(false);
        replica.ended.set(replica.ended.get() + 1);
        // As a kernel closes what an ended process had open.
        for run in runs.take() {
            AbortHandle::abort(&run);
        }
        tokio::time::sleep(AWAY).await;
    }
}

async fn register(replica: &MortalReplica, registry: &Registry) {
    let record = ReplicaRecord {
        address: replica.address.get().unwrap(),
        slots: 8,
        ..ready_replica(replica.id(), "plain")
    };
    let told = async || past_quorum(registry.heartbeat(record.clone()).await);
    answered("a quorum", told).await.unwrap();
}

async fn accept(
    listener: TcpListener,
    replica: &Rc<MortalReplica>,
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

async fn serve(mut stream: TcpStream, replica: Rc<MortalReplica>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let (id, body) = (
            seen.header("request-id").unwrap_or_default().to_owned(),
            seen.body.clone(),
        );
        replica.seen.borrow_mut().push(seen);
        let stamp = replica.id();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        match body.as_str() {
            DEADLY => {
                tokio::time::sleep(AT_WORK).await;
                replica.ends.notify_one();
                std::future::pending::<()>().await;
            }
            LASTING => replica.let_go.notified().await,
            _ => {}
        }
        let text = head + &event_chunks(1, 2) + "0\r\n\r\n";
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
