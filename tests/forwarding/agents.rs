//! Requests of a prefill-bound service, with agents beside the replicas that quote, are silent, are
//! gone, or have another version.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;

use dunlinspring::admission::quote::{AgentRequest, QuoteReply};
use dunlinspring::process::datagram::{self, DATAGRAM_VERSION};
use tokio::net::UdpSocket;

use crate::support::{self, Behaviour, ForwardSite, Response, RouteShape, TIMEOUT_MS, wait_for};

const MODEL: RouteShape = RouteShape::model("/llm/");
/// All of 127.0.0.0/8 is local; agents have the same port at different addresses.
const HOMES: [(&str, Ipv4Addr); 2] = [
    ("r1", Ipv4Addr::new(127, 0, 0, 2)),
    ("r2", Ipv4Addr::new(127, 0, 0, 3)),
];

/// How a fake agent handles quote requests.
#[derive(Clone, Copy, Debug)]
enum Mode {
    /// Quotes this time to the first event.
    Quotes(u32),
    /// Receives them and does not reply.
    Silent,
    /// Replies in another version.
    OtherVersion,
}

/// A fake agent, which records what it receives.
#[derive(Clone)]
struct FakeAgent {
    mode: Rc<Cell<Mode>>,
    seen: Rc<RefCell<Vec<AgentRequest>>>,
}

impl FakeAgent {
    fn start(socket: UdpSocket, mode: Mode) -> Self {
        let agent = Self {
            mode: Rc::new(Cell::new(mode)),
            seen: Rc::default(),
        };
        ntex::rt::spawn(agent.clone().serve(socket));
        agent
    }

    async fn serve(self, socket: UdpSocket) {
        let secret = support::secret();
        let mut buffer = [0; 2_000];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let request = datagram::decode(&secret, &buffer[..length]).unwrap();
            let query = match &request {
                AgentRequest::Quote { query, .. } => Some(*query),
                _ => None,
            };
            self.seen.borrow_mut().push(request);
            let reply = |first_event_ms| QuoteReply {
                query: query.unwrap_or_default(),
                first_event_ms: Some(first_event_ms),
                running: 1,
                free_tokens: 1_000,
                ..QuoteReply::default()
            };
            let bytes = match self.mode.get() {
                _ if query.is_none() => continue,
                Mode::Silent => continue,
                Mode::Quotes(first_ms) => datagram::encode(&secret, &reply(first_ms)),
                Mode::OtherVersion => datagram::encode_as(&secret, DATAGRAM_VERSION + 1, &reply(1)),
            };
            let _ = socket.send_to(&bytes.unwrap(), from).await;
        }
    }

    fn quotes(&self) -> usize {
        let seen = self.seen.borrow();
        let quotes = seen
            .iter()
            .filter(|request| matches!(request, AgentRequest::Quote { .. }));
        quotes.count()
    }

    /// Notices about one request: `true` for a sent one, `false` for one that ended.
    fn notices(&self, id: &str) -> Vec<bool> {
        let seen = self.seen.borrow();
        let notices = seen.iter().filter_map(|request| match request {
            AgentRequest::Sent { run, .. } if run.request == id => Some(true),
            AgentRequest::Ended { request, .. } if request == id => Some(false),
            _ => None,
        });
        notices.collect()
    }
}

/// Opens a socket at each home's address, all with the same port.
async fn agent_sockets() -> ([UdpSocket; 2], u16) {
    let [(_, one), (_, two)] = HOMES;
    let open = async || {
        let first = UdpSocket::bind((one, 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let second = UdpSocket::bind((two, port)).await.ok()?;
        Some(([first, second], port))
    };
    wait_for("a port that is free at both addresses", open).await
}

/// A site with two homes of a model.
async fn site(agent_port: u16) -> ForwardSite {
    let mut site = ForwardSite::start_with_agents(&[MODEL], agent_port).await;
    for (name, ip) in HOMES {
        let script = vec![Behaviour::Events(1); 5_000];
        site.add_model_replica_at(ip, name, "m", script).await;
    }
    site
}

/// Sends a request with a large shared part. The number of prompt tokens is small, so that any time
/// to the first event is a slow prefill, and the service counts as prefill-bound from the third
/// request on.
async fn send(site: &ForwardSite, id: &str, part: &str) -> Response {
    let text = format!(
        "POST /llm/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         Model: m\r\nTokens: 4,10\r\nPrefix: {part}:1000000,bb:4\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    site.send_raw(&text).await
}

/// Sends a request that must be served, and returns the home that served it.
async fn served_by(site: &ForwardSite, id: &str) -> usize {
    served_with_part(site, id, "aa").await
}

async fn served_with_part(site: &ForwardSite, id: &str, part: &str) -> usize {
    let answer = send(site, id, part).await;
    assert_eq!((answer.status, answer.complete), (200, true), "{id}");
    let stamp = answer.header("stamp");
    let home = HOMES.iter().position(|(name, _)| stamp == Some(name));
    home.unwrap()
}

/// Returns the home that all requests go to by the known loads, once the service is prefill-bound:
/// the first one in the order of their shared part. Before, no home has that part.
async fn home_by_load(site: &ForwardSite) -> usize {
    for (id, part) in [("warm-1", "01"), ("warm-2", "02")] {
        served_with_part(site, id, part).await;
    }
    served_by(site, "by-load").await
}

/// Guards against an entry that does not use quotes, that does not go back to them once agents
/// reply again, or whose agents do not learn of the requests it sends.
#[ntex::test]
async fn a_request_goes_to_the_replica_that_quotes_less() {
    let (sockets, port) = agent_sockets().await;
    let agents = sockets.map(|socket| FakeAgent::start(socket, Mode::Silent));
    let site = site(port).await;
    let by_load = home_by_load(&site).await;
    let other = 1 - by_load;
    agents[by_load].mode.set(Mode::Quotes(300));
    agents[other].mode.set(Mode::Quotes(100));
    // On a busy machine, replies may be later than the entry waits; then the known loads decide.
    let mut count = 0;
    let id = wait_for("a request by quotes", async || {
        count += 1;
        let id = format!("quoted-{count}");
        (served_by(&site, &id).await == other).then_some(id)
    })
    .await;
    wait_for("the agent to learn of it", async || {
        (agents[other].notices(&id) == [true]).then_some(())
    })
    .await;
    assert!(agents[by_load].notices(&id).is_empty());
    let seen = agents[other].seen.borrow();
    let outline = seen.iter().find_map(|request| match request {
        AgentRequest::Sent { run, .. } if run.request == id => Some(run.clone()),
        _ => None,
    });
    let outline = outline.unwrap();
    assert_eq!((outline.prompt_tokens, outline.answer_tokens), (4, 10));
    assert_eq!(outline.parts.len(), 1);
    assert_eq!(outline.parts[0].end_tokens, 1_000_000);
    // The event gap that the route allows.
    assert_eq!(outline.max_gap_ms, 400);
}

/// Guards against requests that fail, or are served elsewhere than without agents, because agents
/// are frozen or of another version.
#[ntex::test]
async fn without_usable_replies_requests_are_served_by_the_known_loads() {
    for mode in [Mode::Silent, Mode::OtherVersion] {
        let (sockets, port) = agent_sockets().await;
        let agents = sockets.map(|socket| FakeAgent::start(socket, mode));
        let site = site(port).await;
        let by_load = home_by_load(&site).await;
        for number in 0..10 {
            let home = served_by(&site, &format!("served-{number}")).await;
            assert_eq!(home, by_load, "{mode:?}");
        }
        assert!(agents.iter().all(|agent| agent.quotes() > 0), "{mode:?}");
    }
}

/// Guards against requests that fail because no process listens at the agents' port.
#[ntex::test]
async fn without_agents_requests_are_served_by_the_known_loads() {
    let (sockets, port) = agent_sockets().await;
    drop(sockets);
    let site = site(port).await;
    let by_load = home_by_load(&site).await;
    for number in 0..10 {
        let home = served_by(&site, &format!("served-{number}")).await;
        assert_eq!(home, by_load);
    }
}

/// Guards against an agent that counts a refused request until its lease expires, and against one
/// that is told of the end of a request that the replica reports itself.
#[ntex::test]
async fn agents_learn_of_requests_that_their_replica_refused() {
    let (sockets, port) = agent_sockets().await;
    let agents = sockets.map(|socket| FakeAgent::start(socket, Mode::Silent));
    let site = site(port).await;
    let home = home_by_load(&site).await;
    assert_eq!(served_by(&site, "complete").await, home);
    let mut script = vec![Behaviour::Events(1); 5_000];
    script[0] = Behaviour::NotExecuted;
    site.set_script(HOMES[home].0, script);
    assert_ne!(served_by(&site, "refused").await, home);
    wait_for("the notices", async || {
        let counts = [home, 1 - home].map(|home| agents[home].notices("refused").len());
        (counts == [2, 1]).then_some(())
    })
    .await;
    assert_eq!(agents[home].notices("refused"), [true, false]);
    assert_eq!(agents[home].notices("complete"), [true]);
    assert_eq!(agents[1 - home].notices("refused"), [true]);
}

/// Guards against a refused caller that is told to come back long before a replica has capacity.
#[ntex::test]
async fn a_request_without_quoted_capacity_is_refused_with_the_time_until_there_is_some() {
    let (sockets, port) = agent_sockets().await;
    let agents = sockets.map(|socket| FakeAgent::start(socket, Mode::Silent));
    let site = site(port).await;
    home_by_load(&site).await;
    for (agent, first_ms) in agents.iter().zip([3_000, 5_000]) {
        agent.mode.set(Mode::Quotes(first_ms));
    }
    let mut count = 0;
    // A reply that is late on a busy machine leaves the choice to the known loads.
    let refused = wait_for("a request refused by quotes", async || {
        count += 1;
        let answer = send(&site, &format!("refused-{count}"), "aa").await;
        (answer.status == 503).then_some(answer)
    })
    .await;
    let retry_after = refused.header("retry-after").unwrap();
    // The first event is quoted in 3 s, and the latency target is 800 ms.
    assert_eq!(retry_after.parse::<f64>().unwrap(), 2.2);
}
