//! The agent beside a replica: datagrams of entries, and a replica written here.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinspring::admission::quote::{AgentRequest, PromptPart, QuoteReply, RunOutline};
use dunlinspring::admission::replica_load::{ReplicaReport, ReportedRun};
use dunlinspring::agent::replica_agent::{ReplicaAgent, ReplicaAgentSettings, ReportDialect};
use dunlinspring::agent::report_connection::RECONNECT_INTERVAL;
use dunlinspring::ids::{HallName, HostName, ModelName, ReplicaId};
use dunlinspring::process::datagram::{self, DATAGRAM_VERSION};
use dunlinspring::process::peers::SiteSecret;
use dunlinspring::process::settings::LogSettings;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet};

/// Longest wait for a condition; reaching it fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a missing reply is asked for again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Report in the format of this test: a JSON object, with runs as pairs of id and tokens.
fn read_report(body: &[u8]) -> Result<ReplicaReport, serde_json::Error> {
    let body: Value = serde_json::from_slice(body)?;
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    let runs = body["runs"].as_array().cloned().unwrap_or_default();
    let runs = runs.iter().map(|run| ReportedRun {
        request: run[0].as_str().unwrap_or_default().to_owned(),
        tokens: run[1].as_u64().unwrap_or(0) as u32,
        events: 1,
    });
    let name = body["model"].as_str().unwrap_or_default();
    Ok(ReplicaReport {
        orders: number("orders"),
        models: vec![ModelName::from(name)],
        queued: number("queued") as u32,
        running: number("running") as u32,
        used_tokens: 0,
        total_tokens: 100_000,
        next_tokens: 0,
        runs: runs.collect(),
    })
}

fn idle() -> Value {
    json!({"orders": 5, "model": "m", "queued": 0, "running": 0, "runs": []})
}

/// What the replica does with a request for its report.
#[derive(Clone, Debug)]
enum Behavior {
    Report(Value),
    /// Sends these bytes as the body.
    Body(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Never responds.
    Silence,
}

#[derive(Debug)]
struct ReplicaState {
    behavior: Behavior,
    connections: u32,
    reports: u32,
}

/// Replica that gives its report by HTTP.
struct TestReplica {
    address: SocketAddr,
    state: Rc<RefCell<ReplicaState>>,
    task: JoinHandle<()>,
}

impl TestReplica {
    async fn start(address: &str, behavior: Behavior) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(RefCell::new(ReplicaState {
            behavior,
            connections: 0,
            reports: 0,
        }));
        let shared = state.clone();
        let task = tokio::task::spawn_local(async move {
            // Ends with the replica, so that its connections are closed.
            let mut served = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                shared.borrow_mut().connections += 1;
                served.spawn_local(serve(stream, shared.clone()));
            }
        });
        Self {
            address,
            state,
            task,
        }
    }

    fn behave(&self, behavior: Behavior) {
        self.state.borrow_mut().behavior = behavior;
    }

    fn connections(&self) -> u32 {
        self.state.borrow().connections
    }

    /// Waits until this many further reports were given.
    async fn give(&self, reports: u32) {
        let goal = self.state.borrow().reports + reports;
        wait_for("reports", || self.state.borrow().reports >= goal).await;
    }

    /// Ends the process: its port refuses connections afterwards.
    async fn kill(self) -> SocketAddr {
        self.task.abort();
        let _ = self.task.await;
        self.address
    }
}

async fn serve(mut stream: TcpStream, state: Rc<RefCell<ReplicaState>>) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.ends_with(b"\r\n\r\n") {
            match stream.read_buf(&mut buffer).await {
                Ok(1..) => {}
                _ => return,
            }
        }
        assert!(buffer.starts_with(b"GET /report HTTP/1.1\r\n"));
        buffer.clear();
        let behavior = state.borrow().behavior.clone();
        let (body, chunked) = match behavior {
            // Every other response is chunked.
            Behavior::Report(report) => (report.to_string(), state.borrow().reports % 2 == 1),
            Behavior::Body(body) => (body.to_owned(), false),
            Behavior::Close => return,
            Behavior::Silence => std::future::pending().await,
        };
        let length = body.len();
        let response = match chunked {
            true => format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
            ),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
        };
        state.borrow_mut().reports += 1;
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, poll).await;
    waited.unwrap_or_else(|_| panic!("still no {what}"));
}

fn secret() -> SiteSecret {
    SiteSecret::new("secret of the site")
}

/// A running agent, and the socket of an entry.
struct TestAgent {
    address: SocketAddr,
    entry: UdpSocket,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl TestAgent {
    async fn start(replica: SocketAddr) -> Self {
        Self::start_with(replica, RECONNECT_INTERVAL).await
    }

    async fn start_with(replica: SocketAddr, reconnect_interval: Duration) -> Self {
        let settings = ReplicaAgentSettings {
            host: HostName::from("h"),
            hall: HallName::from("z"),
            listen: "127.0.0.1:0".parse().unwrap(),
            replica,
            reconnect_interval,
            service: None,
            log: LogSettings::default(),
        };
        let dialect = ReportDialect {
            path: "/report",
            read: read_report,
        };
        let agent = ReplicaAgent::bind(settings, secret(), dialect).await;
        let agent = agent.unwrap();
        let address = agent.address;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::task::spawn_local(agent.run(async {
            let _ = stopped.await;
        }));
        let entry = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self {
            address,
            entry,
            stop,
            task,
        }
    }

    async fn send(&self, request: &AgentRequest) {
        let bytes = datagram::encode(&secret(), request).unwrap();
        self.send_bytes(&bytes).await;
    }

    async fn send_bytes(&self, bytes: &[u8]) {
        self.entry.send_to(bytes, self.address).await.unwrap();
    }

    async fn announce(&self, run: RunOutline) {
        let replica = ReplicaId::from("i-1");
        self.send(&AgentRequest::Sent { replica, run }).await;
    }

    /// Receives one reply, if one comes.
    async fn receive(&self) -> Option<QuoteReply> {
        let mut buffer = [0; 2_048];
        let received = self.entry.recv_from(&mut buffer);
        let (length, from) = tokio::time::timeout(REPLY_TIMEOUT, received)
            .await
            .ok()?
            .unwrap();
        assert_eq!(from, self.address);
        Some(datagram::decode(&secret(), &buffer[..length]).unwrap())
    }

    async fn ask(&self, query: u64, run: RunOutline) {
        let replica = ReplicaId::from("i-1");
        let quote = AgentRequest::Quote {
            query,
            replica,
            run,
        };
        self.send(&quote).await;
    }

    /// Asks for quotes until one is as expected.
    async fn quote_until(
        &self,
        run: &RunOutline,
        what: &str,
        expected: impl Fn(&QuoteReply) -> bool,
    ) -> QuoteReply {
        let poll = async {
            for query in 1.. {
                self.ask(query, run.clone()).await;
                let reply = self.receive().await;
                match reply.filter(|reply| expected(reply)) {
                    Some(reply) => return reply,
                    None => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
            unreachable!()
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, poll).await;
        waited.unwrap_or_else(|_| panic!("still no quote with {what}"))
    }

    async fn stop(self) {
        self.stop.send(()).unwrap();
        self.task.await.unwrap();
    }
}

fn outline(request: &str) -> RunOutline {
    RunOutline {
        request: request.to_owned(),
        model: ModelName::from("m"),
        adapter: None,
        parts: vec![PromptPart {
            chain: 77,
            end_tokens: 600,
        }],
        prompt_tokens: 1_000,
        answer_tokens: 50,
        urgency: 1,
        max_gap_ms: 500,
        deadline_ms: 60_000,
    }
}

/// Whether the reply is based on a recent report.
fn is_fresh(reply: &QuoteReply) -> bool {
    reply.report_age_ms < 1_000
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against quotes that miss what entries announced or what the replica reports, and against
/// a connection for each report.
#[test]
fn quotes_follow_notices_and_reports_over_one_connection() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        // The first reply is without a report: it makes the agent read one.
        agent.ask(9, outline("own")).await;
        let first = agent.receive().await.unwrap();
        assert_eq!((first.query, first.report_age_ms), (9, u32::MAX));
        let idle = agent
            .quote_until(&outline("own"), "a report", is_fresh)
            .await;
        assert_eq!((idle.waiting, idle.uncached_tokens), (0, 1_000));
        assert_eq!(idle.free_tokens, 100_000);

        replica.behave(Behavior::Report(json!(
            {"orders": 5, "model": "m", "queued": 0, "running": 1, "runs": []}
        )));
        agent.announce(outline("a")).await;
        let has_run = |reply: &QuoteReply| reply.waiting == 1;
        let waiting = agent.quote_until(&outline("own"), "a run", has_run).await;
        // The shared part of the other request is cached once this one is prefilled.
        assert_eq!(waiting.uncached_tokens, 400);

        replica.behave(Behavior::Report(json!(
            {"orders": 5, "model": "m", "queued": 0, "running": 1, "runs": [["a", 1_005]]}
        )));
        let runs = |reply: &QuoteReply| reply.running == 1 && reply.waiting == 0;
        agent.quote_until(&outline("own"), "a stream", runs).await;
        replica.give(30).await;
        agent
            .send(&AgentRequest::Ended {
                replica: ReplicaId::from("i-1"),
                request: "a".to_owned(),
            })
            .await;
        replica.give(30).await;
        assert_eq!(replica.connections(), 1);
        agent.stop().await;
    });
}

/// Guards against an agent that reads reports while nobody needs them, and one that is deaf to the
/// next need.
#[test]
fn reports_are_read_only_while_they_are_needed() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(replica.state.borrow().reports, 0);
        let run = RunOutline {
            deadline_ms: 300,
            ..outline("a")
        };
        agent.announce(run).await;
        replica.give(2).await;
        // The lease ends, or the report shows that the run is not there; then there is no need.
        let quiet = async {
            loop {
                let before = replica.state.borrow().reports;
                tokio::time::sleep(Duration::from_millis(300)).await;
                if replica.state.borrow().reports == before {
                    return;
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, quiet).await.unwrap();
        agent.ask(1, outline("own")).await;
        replica.give(2).await;
        assert_eq!(replica.connections(), 1);
        agent.stop().await;
    });
}

/// Guards against certainty about a replica that gives no report: the reply tells the age of what
/// it is based on, and announced runs still end.
#[test]
fn replies_tell_the_age_of_a_lost_report() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        let own = outline("own");
        agent.quote_until(&own, "a report", is_fresh).await;
        for lost in [
            Behavior::Silence,
            Behavior::Body("{\"orders\": "),
            Behavior::Close,
        ] {
            replica.behave(lost);
            let is_old = |reply: &QuoteReply| reply.report_age_ms >= 1_000;
            let old = agent.quote_until(&own, "an old report", is_old).await;
            // It did not restart, so the report before is not forgotten.
            assert_ne!(old.report_age_ms, u32::MAX);
            let run = RunOutline {
                deadline_ms: 200,
                ..outline("a")
            };
            agent.announce(run).await;
            let counts = |reply: &QuoteReply| reply.waiting == 1;
            agent.quote_until(&own, "an announced run", counts).await;
            let is_over = |reply: &QuoteReply| reply.waiting == 0;
            agent.quote_until(&own, "an expired lease", is_over).await;
            replica.behave(Behavior::Report(idle()));
            agent.quote_until(&own, "a new report", is_fresh).await;
        }
        agent.stop().await;
    });
}

/// Guards against a replica that gets a connection for each report if it closes them all.
#[test]
fn a_replica_that_closes_connections_gets_few() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Close).await;
        let hour = Duration::from_secs(3_600);
        let agent = TestAgent::start_with(replica.address, hour).await;
        agent.announce(outline("a")).await;
        wait_for("connection", || replica.connections() >= 1).await;
        // Many intervals of reports, during which entries get replies.
        for query in 0..100 {
            agent.ask(query, outline("own")).await;
            assert!(agent.receive().await.is_some());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(replica.connections(), 1);
        agent.stop().await;
        // Without the interval, it gets one for each report.
        let agent = TestAgent::start_with(replica.address, Duration::ZERO).await;
        agent.announce(outline("a")).await;
        wait_for("further connections", || replica.connections() >= 5).await;
        agent.stop().await;
    });
}

/// Guards against runs, cached parts and measurements that outlive the replica.
#[test]
fn everything_is_forgotten_when_the_replica_restarts() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        let own = outline("own");
        let is_cached = |reply: &QuoteReply| is_fresh(reply) && reply.uncached_tokens == 400;
        let is_forgotten = |reply: &QuoteReply| is_fresh(reply) && reply.uncached_tokens == 1_000;
        agent.quote_until(&own, "a report", is_fresh).await;
        agent.announce(outline("a")).await;
        agent.quote_until(&own, "a cached part", is_cached).await;
        // The count of orders goes back.
        let restarted = json!({"orders": 1, "model": "m", "queued": 0, "running": 0});
        replica.behave(Behavior::Report(restarted.clone()));
        agent
            .quote_until(&own, "no cached part", is_forgotten)
            .await;

        agent.announce(outline("b")).await;
        agent.quote_until(&own, "a cached part", is_cached).await;
        // Its address refuses connections.
        let address = replica.kill().await;
        let is_unknown = |reply: &QuoteReply| reply.report_age_ms == u32::MAX;
        let unknown = agent.quote_until(&own, "no report", is_unknown).await;
        assert_eq!((unknown.waiting, unknown.uncached_tokens), (0, 1_000));
        let address = address.to_string();
        let replica = TestReplica::start(&address, Behavior::Report(restarted)).await;
        agent
            .quote_until(&own, "no cached part", is_forgotten)
            .await;
        assert_eq!(replica.connections(), 1);
        agent.stop().await;
    });
}

/// Guards against an agent that obeys another site or version, or stops at a bad datagram.
#[test]
fn datagrams_of_others_are_dropped() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        let quote = AgentRequest::Quote {
            query: 1,
            replica: ReplicaId::from("i-1"),
            run: outline("own"),
        };
        let other = SiteSecret::new("secret of another site");
        let forged = datagram::encode(&other, &quote).unwrap();
        let version = datagram::encode_as(&secret(), DATAGRAM_VERSION + 1, &quote).unwrap();
        let message = datagram::encode(&secret(), &"another message").unwrap();
        for bytes in [&forged[..], &version, &message, b"", &[7; 3], &[0; 1_400]] {
            agent.send_bytes(bytes).await;
            assert_eq!(agent.receive().await, None);
        }
        assert_eq!(replica.state.borrow().reports, 0);
        agent.send(&quote).await;
        assert!(agent.receive().await.is_some());
        agent.stop().await;
    });
}

/// Guards against an entry that is told about a replica which does not hold the model: another
/// service may have the address.
#[test]
fn a_quote_for_a_model_that_is_not_held_gets_no_reply() {
    run_local(async {
        let replica = TestReplica::start("127.0.0.1:0", Behavior::Report(idle())).await;
        let agent = TestAgent::start(replica.address).await;
        agent
            .quote_until(&outline("own"), "a report", is_fresh)
            .await;
        let other = RunOutline {
            model: ModelName::from("other"),
            ..outline("own")
        };
        agent.ask(70, other).await;
        assert_eq!(agent.receive().await, None);
        agent.ask(71, outline("own")).await;
        assert_eq!(agent.receive().await.map(|reply| reply.query), Some(71));
        agent.stop().await;
    });
}
