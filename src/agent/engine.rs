//! The adapter to one target: an engine's or plain service's HTTP interface.

use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{Payload, StatusCode};
use ntex::time::Seconds;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::admission::controller::{EngineOrder, RunDispatch};
use crate::admission::ledger::{EngineReport, OrderSeq};
use crate::ids::{AttemptId, ModelName};
use crate::table::rows::Urgency;

/// Time for an order's answer: a load's answer says that it began.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for a report.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Silence after which a stream counts as lost.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Longest answer of a plain service, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Connections to one engine; runs beyond it wait for one.
const MAX_CONNECTIONS: usize = 1024;

/// Why a call to a target brought nothing.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The target answered that it did nothing, or was never reached.
    #[snafu(display("target {url} refused to {step}: {reason}"))]
    Refused {
        /// What was asked.
        step: &'static str,
        /// The target.
        url: String,
        /// Its reason.
        reason: String,
    },
    /// No answer, or half of one: the target may have acted.
    #[snafu(display("target {url} was lost at {step}: {reason}"))]
    Lost {
        /// What was asked.
        step: &'static str,
        /// The target.
        url: String,
        /// What was seen.
        reason: String,
    },
}

/// The body of a completion call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRun {
    /// Names the run for resuming and cancelling.
    pub request_id: AttemptId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Most pieces to generate, those given included.
    pub max_tokens: u32,
    /// Pieces that exist already; generation goes on after them.
    pub given: u32,
    /// KV memory to set aside, in MiB.
    pub kv_mib: u64,
    /// Lower is more urgent.
    pub priority: u8,
    /// Refused below the engine's run fence.
    pub fence: OrderSeq,
    /// Refused by other lives of the engine.
    pub boot: u64,
}

/// One event of a completion stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnginePiece {
    /// Its index in this run.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// The marker after the last piece.
pub const DONE_MARKER: &str = "[DONE]";

/// Calls to one target.
#[derive(Clone)]
pub struct EngineClient {
    url: String,
    http: Client,
}

/// A stream of pieces.
pub struct EngineStream {
    url: String,
    payload: Payload,
    buffer: Vec<u8>,
}

/// What comes next of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// A piece.
    Piece(u32, String),
    /// The marker of the end.
    End,
}

impl EngineClient {
    /// A client for the target at an HTTP URL without a path.
    pub async fn new(url: &str) -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .keep_alive(Seconds(60));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout();
        let http = client.build(ntex::SharedCfg::default()).await;
        Self {
            url: url.trim_end_matches('/').to_owned(),
            http: http.expect("a client without middleware builds"),
        }
    }

    /// Starts a run.
    pub async fn run(&self, dispatch: &RunDispatch) -> Result<EngineStream, EngineError> {
        let body = EngineRun {
            request_id: dispatch.attempt,
            model: dispatch.call.model.clone(),
            prompt: dispatch.call.prompt.clone(),
            max_tokens: dispatch.call.max_tokens,
            given: dispatch.call.given,
            kv_mib: dispatch.call.kv_mib,
            priority: priority(dispatch.urgency),
            fence: dispatch.fence,
            boot: dispatch.boot,
        };
        let call = self.http.post(self.url_of("/v1/completions"));
        let response = self.call_engine("run", call.send_json(&body)).await?;
        Ok(self.stream(response))
    }

    /// Goes on with a run's stream from a piece.
    pub async fn resume(&self, run: AttemptId, from: u32) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/runs/{run}?from={from}");
        let call = self.http.get(self.url_of(&path));
        let response = self.call_engine("resume", call.send()).await?;
        Ok(self.stream(response))
    }

    /// Cancels a run; once this answers, it uses no memory.
    pub async fn cancel(&self, run: AttemptId) -> Result<(), EngineError> {
        let call = self.http.delete(self.url_of(&format!("/v1/runs/{run}")));
        self.call_engine("cancel", call.send()).await.map(|_| ())
    }

    /// Calls a plain service; its whole answer is one piece.
    pub async fn call_service(&self, dispatch: &RunDispatch) -> Result<String, EngineError> {
        let path = dispatch.call.path.as_deref().unwrap_or("");
        let call = self.http.post(self.url_of(&format!("/{path}")));
        let call = call.header("x-request-id", dispatch.attempt.to_string());
        let sent = call.send_body(dispatch.call.prompt.clone());
        // A service may have acted before it answered with a failure.
        let response = self.classify("serve", sent, |_| false).await?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.lost("serve", error.to_string()))?;
        String::from_utf8(body.to_vec()).map_err(|error| self.lost("serve", error.to_string()))
    }

    /// Gives an order.
    pub async fn order(&self, order: &EngineOrder) -> Result<(), EngineError> {
        let call = self.http.post(self.url_of("/control/orders"));
        let sent = self.call_engine("order", call.send_json(order));
        self.with_timeout("order", ORDER_TIMEOUT, sent)
            .await
            .map(|_| ())
    }

    /// Asks for a report.
    pub async fn report(&self) -> Result<EngineReport, EngineError> {
        let read = async {
            let call = self.http.get(self.url_of("/control/report"));
            let response = self.call_engine("report", call.send()).await?;
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| self.lost("report", error.to_string()))?;
            let report = serde_json::from_slice(&body);
            report.map_err(|error| self.lost("report", error.to_string()))
        };
        self.with_timeout("report", REPORT_TIMEOUT, read).await
    }

    fn url_of(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    fn lost(&self, step: &'static str, reason: String) -> EngineError {
        EngineError::Lost {
            step,
            url: self.url.clone(),
            reason,
        }
    }

    async fn with_timeout<T>(
        &self,
        step: &'static str,
        time: Duration,
        call: impl Future<Output = Result<T, EngineError>>,
    ) -> Result<T, EngineError> {
        let late = |_| self.lost(step, "no answer in time".to_owned());
        tokio::time::timeout(time, call).await.map_err(late)?
    }

    /// The answer of an engine, whose refusals say that it did nothing.
    async fn call_engine(
        &self,
        step: &'static str,
        sent: impl Future<Output = Result<ClientResponse, ClientError>>,
    ) -> Result<ClientResponse, EngineError> {
        self.classify(step, sent, is_refusal).await
    }

    /// Sorts the answer into done, surely not done, and not known.
    async fn classify(
        &self,
        step: &'static str,
        sent: impl Future<Output = Result<ClientResponse, ClientError>>,
        is_refusal: fn(StatusCode) -> bool,
    ) -> Result<ClientResponse, EngineError> {
        let refused = |reason: String| EngineError::Refused {
            step,
            url: self.url.clone(),
            reason,
        };
        match sent.await {
            Ok(response) if response.status().is_success() => Ok(response),
            Ok(response) if is_refusal(response.status()) => {
                Err(refused(format!("status {}", response.status())))
            }
            Ok(response) => Err(self.lost(step, format!("status {}", response.status()))),
            Err(error) if was_never_sent(&error) => Err(refused(error.to_string())),
            Err(error) => Err(self.lost(step, error.to_string())),
        }
    }

    fn stream(&self, response: ClientResponse) -> EngineStream {
        EngineStream {
            url: self.url.clone(),
            payload: response.take_payload(),
            buffer: Vec::new(),
        }
    }
}

impl EngineStream {
    /// The next part. An end without its marker is a loss.
    pub async fn next(&mut self) -> Result<StreamPart, EngineError> {
        loop {
            if let Some(part) = self.take_event()? {
                return Ok(part);
            }
            let chunk = tokio::time::timeout(STREAM_IDLE_TIMEOUT, self.payload.recv()).await;
            match chunk {
                Ok(Some(Ok(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Some(Err(error))) => return Err(self.lost(error.to_string())),
                Ok(None) => return Err(self.lost("the stream ended early".to_owned())),
                Err(_) => return Err(self.lost("the stream fell silent".to_owned())),
            }
        }
    }

    fn take_event(&mut self) -> Result<Option<StreamPart>, EngineError> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            let Some(data) = line.trim().strip_prefix("data:") else {
                continue;
            };
            return match data.trim() {
                DONE_MARKER => Ok(Some(StreamPart::End)),
                data => match serde_json::from_str::<EnginePiece>(data) {
                    Ok(piece) => Ok(Some(StreamPart::Piece(piece.index, piece.text))),
                    Err(error) => Err(self.lost(error.to_string())),
                },
            };
        }
        match self.buffer.len() > MAX_LINE_BYTES {
            true => Err(self.lost("a line is too long".to_owned())),
            false => Ok(None),
        }
    }

    fn lost(&self, reason: String) -> EngineError {
        EngineError::Lost {
            step: "stream",
            url: self.url.clone(),
            reason,
        }
    }
}

/// Only a refused connection proves that nothing was sent. The client also
/// calls it a failure to connect when a connection closes after the request.
fn was_never_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == std::io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// By these the target says that it did nothing.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::CONFLICT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Interactive => 0,
        Urgency::Standard => 1,
        Urgency::Batch => 2,
    }
}
