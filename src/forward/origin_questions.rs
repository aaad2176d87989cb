//! Questions of an entry on what began streams: to the leader, which versions a service runs, and to
//! control hosts, which origins they have stored. Searches that run at once ask together.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::oneshot;

use crate::clock;
use crate::consensus::software_versions::VersionMix;
use crate::forward::daemon::EntryCore;
use crate::forward::stream_origins::{CALL_TIMEOUT, MAX_BATCH_STREAMS};
use crate::ids::ServiceName;
use crate::process::wire::ControlWireClient;
use crate::process::{daemon, peers};
use crate::routing::question_queue::QuestionQueue;
use crate::routing::stream_origins::{StreamKey, StreamOrigin};

/// Delay before control hosts are asked once more for an origin that may still be in transit.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for the replies of control hosts before they are asked once more.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Question to the leader, for one service.
#[derive(Debug)]
struct MixQuestion {
    timeout: Duration,
    reply: oneshot::Sender<Option<VersionMix>>,
}

/// Question to a control host.
#[derive(Debug)]
struct OriginQuestion {
    key: StreamKey,
    reply: oneshot::Sender<Option<StreamOrigin>>,
}

/// Questions that wait to be sent.
#[derive(Debug, Default)]
pub struct OriginQuestions {
    /// To the leader, by service.
    mixes: RefCell<BTreeMap<ServiceName, QuestionQueue<MixQuestion>>>,
    /// To control hosts.
    origins: RefCell<BTreeMap<String, QuestionQueue<OriginQuestion>>>,
}

impl OriginQuestions {
    /// Takes the questions about a service that are sent now.
    fn take_mixes(&self, service: &ServiceName) -> Vec<MixQuestion> {
        let mut queues = self.mixes.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        let is_open = |question: &MixQuestion| !question.reply.is_closed();
        let (questions, _) = queue.take(clock::monotonic_ms(), usize::MAX, is_open);
        questions
    }

    /// Takes the questions to a control host that are sent now. Also returns the delay in
    /// milliseconds after which others are to be taken; `None` if none wait.
    fn take_origins(&self, host: &str) -> (Vec<OriginQuestion>, Option<u64>) {
        let mut queues = self.origins.borrow_mut();
        let queue = queues.entry(host.to_owned()).or_default();
        let is_open = |question: &OriginQuestion| !question.reply.is_closed();
        queue.take(clock::monotonic_ms(), MAX_BATCH_STREAMS, is_open)
    }
}

impl EntryCore {
    /// Returns which versions serve, as the leader knows.
    pub(super) async fn ask_leader(
        self: &Rc<Self>,
        service: &ServiceName,
        timeout: Duration,
    ) -> Option<VersionMix> {
        let replied = self.queue_mix_question(service, timeout);
        let mix = tokio::time::timeout(timeout, replied).await;
        mix.ok()?.ok().flatten()
    }

    fn queue_mix_question(
        self: &Rc<Self>,
        service: &ServiceName,
        timeout: Duration,
    ) -> oneshot::Receiver<Option<VersionMix>> {
        let (reply, replied) = oneshot::channel();
        let mut queues = self.origins.questions.mixes.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        let question = MixQuestion { timeout, reply };
        if let Some(delay_ms) = queue.push(clock::monotonic_ms(), question) {
            let send = send_mix_questions(self.clone(), service.clone(), delay_ms);
            daemon::spawn_local(send);
        }
        replied
    }

    /// Asks control hosts for an origin, up to `rounds` times.
    pub(super) async fn ask_hosts(
        self: &Rc<Self>,
        key: StreamKey,
        rounds: u32,
    ) -> Option<StreamOrigin> {
        for round in 0..rounds {
            if round > 0 {
                tokio::time::sleep(ASK_AGAIN_DELAY).await;
            }
            let hosts = self.link().addresses();
            let asked = key.asked_hosts(&hosts);
            let mut replies: FuturesUnordered<_> =
                asked.map(|host| self.ask_host(host, key)).collect();
            let first_found = async {
                while let Some(reply) = replies.next().await {
                    if let Ok(Some(origin)) = reply {
                        return Some(origin);
                    }
                }
                None
            };
            if let Ok(Some(origin)) = tokio::time::timeout(ASK_TIMEOUT, first_found).await {
                return Some(origin);
            }
        }
        None
    }

    /// Asks one control host for an origin.
    fn ask_host(
        self: &Rc<Self>,
        host: &str,
        key: StreamKey,
    ) -> oneshot::Receiver<Option<StreamOrigin>> {
        let (reply, replied) = oneshot::channel();
        let mut queues = self.origins.questions.origins.borrow_mut();
        let queue = queues.entry(host.to_owned()).or_default();
        let question = OriginQuestion { key, reply };
        if let Some(delay_ms) = queue.push(clock::monotonic_ms(), question) {
            let send = send_origin_questions(self.clone(), host.to_owned(), delay_ms);
            daemon::spawn_local(send);
        }
        replied
    }
}

async fn pause(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Asks the leader which versions a service runs, for all searches that wait for it.
async fn send_mix_questions(core: Rc<EntryCore>, service: ServiceName, delay_ms: u64) {
    pause(delay_ms).await;
    let questions = core.origins.questions.take_mixes(&service);
    let Some(timeout) = questions.iter().map(|question| question.timeout).max() else {
        return;
    };
    core.count("dunlinspring_origin_calls_total", &[("to", "leader")]);
    let call = |client: ControlWireClient, context| {
        let service = service.clone();
        async move { client.version_mix(context, service).await }
    };
    let mix = core.link().call_leader("version_mix", timeout, call).await;
    let mix = mix.ok().flatten();
    for question in questions {
        let _ = question.reply.send(mix.clone());
    }
}

/// Sends the questions to a control host until none wait. A call that the host leaves unanswered
/// does not hold up the next one.
async fn send_origin_questions(core: Rc<EntryCore>, host: String, delay_ms: u64) {
    let mut next_ms = Some(delay_ms);
    while let Some(delay_ms) = next_ms {
        pause(delay_ms).await;
        let questions;
        (questions, next_ms) = core.origins.questions.take_origins(&host);
        if !questions.is_empty() {
            daemon::spawn_local(ask_for_origins(core.clone(), host.clone(), questions));
        }
    }
}

async fn ask_for_origins(core: Rc<EntryCore>, host: String, questions: Vec<OriginQuestion>) {
    core.count("dunlinspring_origin_calls_total", &[("to", "host")]);
    let keys: Vec<StreamKey> = questions.iter().map(|question| question.key).collect();
    let found = core
        .link()
        .call_at(&host, "find_origins", |client| async move {
            client.find_origins(peers::within(CALL_TIMEOUT), keys).await
        });
    // Without a reply, the searches ask again.
    for (question, origin) in questions.into_iter().zip(found.await.unwrap_or_default()) {
        let _ = question.reply.send(origin);
    }
}
