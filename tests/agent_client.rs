//! The entry's client for agents, over real sockets on loopback, and the pure rule by which silent
//! agents are not asked.

use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dunlinspring::admission::quote::{AgentRequest, PromptPart, QuoteReply, RunOutline};
use dunlinspring::forward::agent_backoff::AgentBackoff;
use dunlinspring::forward::agent_client::{AgentAddress, AgentClient, AskedQuotes};
use dunlinspring::ids::{ModelName, ReplicaId};
use dunlinspring::process::datagram::{self, DATAGRAM_VERSION};
use dunlinspring::process::metrics::MetricRegistry;
use dunlinspring::process::peers::SiteSecret;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

fn secret() -> SiteSecret {
    SiteSecret::new("secret of the site")
}

fn run() -> RunOutline {
    RunOutline {
        request: "request-1".to_owned(),
        model: ModelName::from("m"),
        adapter: Some("a".to_owned()),
        parts: vec![PromptPart {
            chain: 7,
            end_tokens: 100,
        }],
        prompt_tokens: 120,
        answer_tokens: 30,
        urgency: 3,
        max_gap_ms: 400,
        deadline_ms: 2_000,
    }
}

/// A socket that stands in for the agent beside one replica.
struct FakeAgent {
    replica: ReplicaId,
    socket: UdpSocket,
}

impl FakeAgent {
    async fn start(replica: &str) -> Self {
        Self {
            replica: ReplicaId::from(replica),
            socket: UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        }
    }

    fn address(&self) -> AgentAddress {
        AgentAddress {
            replica: self.replica.clone(),
            address: self.socket.local_addr().unwrap(),
        }
    }

    async fn receive(&self) -> (AgentRequest, SocketAddr) {
        let mut buffer = [0; 2_000];
        let (length, from) = self.socket.recv_from(&mut buffer).await.unwrap();
        (
            datagram::decode(&secret(), &buffer[..length]).unwrap(),
            from,
        )
    }

    /// Receives a quote request; returns its number and its sender.
    async fn receive_query(&self) -> (u64, SocketAddr) {
        match self.receive().await {
            (AgentRequest::Quote { query, replica, .. }, from) if replica == self.replica => {
                (query, from)
            }
            (other, _) => panic!("no quote request for {}: {other:?}", self.replica),
        }
    }

    async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        self.socket.send_to(bytes, to).await.unwrap();
    }

    async fn reply(&self, to: SocketAddr, reply: QuoteReply) {
        let bytes = datagram::encode(&secret(), &reply).unwrap();
        self.send(to, &bytes).await;
    }

    /// Replies to one quote request.
    async fn reply_once(&self, first_event_ms: u32, report_age_ms: u32) {
        let (query, from) = self.receive_query().await;
        let reply = QuoteReply {
            report_age_ms,
            ..quote(query, first_event_ms)
        };
        self.reply(from, reply).await;
    }
}

fn quote(query: u64, first_event_ms: u32) -> QuoteReply {
    QuoteReply {
        query,
        first_event_ms: Some(first_event_ms),
        ..QuoteReply::default()
    }
}

/// A client whose receiving task runs on the local set of the test.
struct TestClient {
    client: Rc<AgentClient>,
    metrics: Arc<Mutex<MetricRegistry>>,
}

impl TestClient {
    async fn start() -> Self {
        let metrics: Arc<Mutex<MetricRegistry>> = Arc::default();
        let like = "127.0.0.1".parse().unwrap();
        let client = AgentClient::open(like, secret(), metrics.clone()).await;
        let client = Rc::new(client.unwrap());
        let receiving = client.clone();
        tokio::task::spawn_local(async move { receiving.receive().await });
        Self { client, metrics }
    }

    /// Value of a metric; 0 if it is not there.
    fn count(&self, key: &str) -> u64 {
        let text = self.metrics.lock().unwrap().render();
        let value = text.lines().find_map(|line| line.strip_prefix(key));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }

    fn dropped(&self, cause: &str) -> u64 {
        self.count(&format!(
            "dunlinspring_agent_datagrams_dropped_total{{cause=\"{cause}\"}}"
        ))
    }

    /// Returns once this many datagrams were dropped for a cause.
    async fn await_dropped(&self, cause: &str, count: u64) {
        while self.dropped(cause) < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn quotes(&self, outcome: &str) -> u64 {
        self.count(&format!(
            "dunlinspring_quotes_total{{outcome=\"{outcome}\"}}"
        ))
    }

    async fn ask_until<const N: usize>(
        &self,
        agents: [&FakeAgent; N],
        limit: impl Future<Output = ()>,
    ) -> AskedQuotes {
        let agents = agents.map(FakeAgent::address);
        self.client.ask_until(&agents, &run(), limit).await
    }
}

fn first_events(asked: &AskedQuotes) -> BTreeMap<&str, Option<u32>> {
    let quotes = asked.quotes.iter();
    quotes
        .map(|(replica, quote)| (replica.as_str(), quote.first_event_ms))
        .collect()
}

/// Guards against a client that waits for the limit although all agents have replied, or that
/// mistakes the reply of one agent for that of another. The limit never comes here.
#[tokio::test]
async fn all_replies_end_the_wait_and_belong_to_their_replicas() {
    let test = async {
        let client = TestClient::start().await;
        let (one, two) = (FakeAgent::start("r1").await, FakeAgent::start("r2").await);
        let (asked, ..) = tokio::join!(
            client.ask_until([&one, &two], future::pending()),
            one.reply_once(30, 5),
            two.reply_once(20, 1_000),
        );
        assert_eq!(asked.asked, 2);
        let expected = BTreeMap::from([("r1", Some(30)), ("r2", Some(20))]);
        assert_eq!(first_events(&asked), expected);
        assert_eq!((client.quotes("replied"), client.quotes("none")), (2, 0));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against one silent agent that makes the replies of the others unused.
#[tokio::test]
async fn a_silent_agent_does_not_hold_the_others_beyond_the_limit() {
    let test = async {
        let client = TestClient::start().await;
        let (one, two) = (FakeAgent::start("r1").await, FakeAgent::start("r2").await);
        // The limit passes once the second agent was asked and the reply of the first was read,
        // which the datagram after it shows.
        let limit = async {
            two.receive_query().await;
            let (query, from) = one.receive_query().await;
            one.reply(from, quote(query, 30)).await;
            one.send(from, b"short").await;
            client.await_dropped("malformed", 1).await;
        };
        let asked = client.ask_until([&one, &two], limit).await;
        assert_eq!(asked.asked, 2);
        assert_eq!(first_events(&asked), BTreeMap::from([("r1", Some(30))]));
        assert_eq!((client.quotes("replied"), client.quotes("none")), (1, 1));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against forged, replayed or outdated datagrams that are taken for replies. A valid reply
/// that follows them is still used.
#[tokio::test]
async fn forged_and_unknown_datagrams_and_those_of_other_versions_are_dropped() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        let replies = async {
            let (query, from) = agent.receive_query().await;
            let wrong = quote(query, 1);
            let other_site = SiteSecret::new("secret of another site");
            let forged = datagram::encode(&other_site, &wrong).unwrap();
            agent.send(from, &forged).await;
            let newer = datagram::encode_as(&secret(), DATAGRAM_VERSION + 1, &wrong).unwrap();
            agent.send(from, &newer).await;
            agent.send(from, b"short").await;
            agent.send(from, &[0; 5_000]).await;
            let unknown = quote(query.wrapping_add(1), 1);
            agent.reply(from, unknown).await;
            agent.reply(from, quote(query, 30)).await;
            // The same reply again is late.
            agent.reply(from, quote(query, 1)).await;
        };
        let (asked, ()) = tokio::join!(client.ask_until([&agent], future::pending()), replies);
        assert_eq!(first_events(&asked), BTreeMap::from([("r1", Some(30))]));
        client.await_dropped("unknown_query", 2).await;
        assert_eq!(client.dropped("forged"), 2);
        assert_eq!(client.dropped("version"), 1);
        assert_eq!(client.dropped("malformed"), 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a late reply that is used for the next request.
#[tokio::test]
async fn a_late_reply_is_dropped() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        let mut late = None;
        let limit = async { late = Some(agent.receive_query().await) };
        let asked = client.ask_until([&agent], limit).await;
        assert_eq!((asked.asked, asked.quotes.len()), (1, 0));
        let (query, from) = late.unwrap();
        agent.reply(from, quote(query, 1)).await;
        client.await_dropped("unknown_query", 1).await;
        let (asked, ()) = tokio::join!(
            client.ask_until([&agent], future::pending()),
            agent.reply_once(30, 5)
        );
        assert_eq!(first_events(&asked), BTreeMap::from([("r1", Some(30))]));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an agent without a recent report whose empty picture of its replica attracts all
/// requests, and against such an agent counting as dead.
#[tokio::test]
async fn replies_without_a_recent_report_are_not_used_but_show_that_the_agent_lives() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        for age_ms in [u32::MAX, 1_001, u32::MAX, u32::MAX] {
            let (asked, ()) = tokio::join!(
                client.ask_until([&agent], future::pending()),
                agent.reply_once(0, age_ms)
            );
            assert_eq!((asked.asked, asked.quotes.len()), (1, 0), "{age_ms}");
        }
        assert_eq!((client.quotes("replied"), client.quotes("none")), (0, 4));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against requests that wait again and again for agents that do not reply, and against an
/// abandoned wait that counts as a missed reply.
#[tokio::test]
async fn silent_agents_give_no_quotes_and_are_not_asked_for_a_while() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        let address = [agent.address()];
        for _ in 0..3 {
            // The caller goes away while it waits.
            let run = run();
            let mut asking = Box::pin(client.client.ask_until(&address, &run, future::pending()));
            assert!(futures::poll!(&mut asking).is_pending());
            drop(asking);
        }
        assert!(client.client.may_ask(&agent.replica));
        for _ in 0..2 {
            let asked = client.ask_until([&agent], future::ready(())).await;
            assert_eq!((asked.asked, asked.quotes.len()), (1, 0));
        }
        // Without an agent to be asked, there is nothing to wait for.
        let asked = client.ask_until([&agent], future::pending()).await;
        assert_eq!(asked, AskedQuotes::default());
        assert_eq!((client.quotes("replied"), client.quotes("none")), (0, 2));
        client.client.prune(|_| false);
        assert!(client.client.may_ask(&agent.replica));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against notices that the agent cannot match with what the replica reports.
#[tokio::test]
async fn notices_carry_the_replica_and_the_request() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        client.client.notify_sent(&agent.address(), run());
        client.client.notify_ended(&agent.address(), "request-1");
        let replica = agent.replica.clone();
        let (sent, _) = agent.receive().await;
        let expected = AgentRequest::Sent {
            replica: replica.clone(),
            run: run(),
        };
        assert_eq!(sent, expected);
        let (ended, _) = agent.receive().await;
        let request = "request-1".to_owned();
        assert_eq!(ended, AgentRequest::Ended { replica, request });
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a request with a long id that gets no response because its outline fits into no
/// datagram.
#[tokio::test]
async fn a_request_too_long_for_a_datagram_is_not_asked_for() {
    let test = async {
        let client = TestClient::start().await;
        let agent = FakeAgent::start("r1").await;
        let run = RunOutline {
            request: "x".repeat(2_000),
            ..run()
        };
        let agents = [agent.address()];
        let asked = client.client.ask_until(&agents, &run, future::pending());
        assert_eq!(asked.await, AskedQuotes::default());
        assert_eq!(client.dropped("too_long"), 1);
        assert!(client.client.may_ask(&agent.replica));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an agent that is given up after one lost datagram, or asked at every request
/// while it is gone, or not asked for long after it is back.
#[test]
fn pauses_double_with_each_miss_and_end_with_a_reply() {
    let replica = ReplicaId::from("r1");
    let mut backoff = AgentBackoff::default();
    assert_eq!(backoff.record_miss(8, 0, &replica), None);
    assert!(backoff.may_ask(8, &replica));
    let mut now_ms = 1_000;
    let mut reported = Vec::new();
    for pause_ms in [250, 500, 1_000, 2_000, 4_000, 8_000, 8_000] {
        reported.extend(backoff.record_miss(now_ms, now_ms - 8, &replica));
        assert!(!backoff.may_ask(now_ms + pause_ms - 1, &replica));
        assert!(backoff.may_ask(now_ms + pause_ms, &replica));
        now_ms += pause_ms + 8;
    }
    // Only the first pause is reported: one log line for each time the agent falls silent.
    assert_eq!(reported, [250]);
    assert!(backoff.record_reply(&replica));
    assert!(backoff.is_empty());
    // One miss after a reply does not pause, and replies of agents that were never silent are no
    // news.
    assert_eq!(backoff.record_miss(now_ms, now_ms - 8, &replica), None);
    assert!(backoff.may_ask(now_ms, &replica));
    assert!(!backoff.record_reply(&replica));
}

/// Guards against the longest pause after a single failure, because many quotes were under way.
#[test]
fn quotes_under_way_when_the_pause_began_do_not_lengthen_it() {
    let replica = ReplicaId::from("r1");
    let mut backoff = AgentBackoff::default();
    for sent_ms in 0..8 {
        backoff.record_miss(sent_ms + 8, sent_ms, &replica);
    }
    assert!(!backoff.may_ask(9 + 249, &replica));
    assert!(backoff.may_ask(9 + 250, &replica));
}

/// Guards against memory that grows with the replicas that have come and gone.
#[test]
fn replicas_that_are_gone_are_forgotten() {
    let mut backoff = AgentBackoff::default();
    for number in 0..100 {
        let replica = ReplicaId(format!("r{number}"));
        backoff.record_miss(10, 0, &replica);
    }
    assert_eq!(backoff.len(), 100);
    backoff.prune(|replica| replica.as_str() == "r7");
    assert_eq!(backoff.len(), 1);
}
