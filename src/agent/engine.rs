//! HTTP client for one target, which is an engine or a plain service.

use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::{Payload, StatusCode};
use ntex::time::Seconds;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::time::Instant;

use crate::admission::controller::{EngineOrder, EngineProcess, RunDispatch};
use crate::admission::ledger::{EngineReport, OrderSeq};
use crate::consensus::software_versions::version_name;
use crate::ids::{AttemptId, ModelName};
use crate::process::read_limit;
use crate::table::rows::Urgency;

/// Timeout of an order. The engine responds to a load when it begins, not when it is done.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a report request.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a piece after which a stream is considered lost.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes of a stream without a piece: of an incomplete line, or of others.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum size of a response of a plain service, and of a report.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum number of connections to one target; further runs wait for one.
const MAX_CONNECTIONS: usize = 1024;

/// Error of a call to a target.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The target responded that it did nothing, or was never reached.
    #[snafu(display("target {url} refused {step}: {reason}"))]
    Refused {
        /// Kind of call.
        step: &'static str,
        /// URL of the target.
        url: String,
        /// Reason of the refusal.
        reason: String,
    },
    /// No response, an incomplete one or a failure: the target may have acted.
    #[snafu(display("target {url} did not complete {step}: {reason}"))]
    Lost {
        /// Kind of call.
        step: &'static str,
        /// URL of the target.
        url: String,
        /// Error that was observed.
        reason: String,
    },
}

/// Body of a completion call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRun {
    /// Identifies the run when it is resumed or cancelled.
    pub request_id: AttemptId,
    /// Model to run.
    pub model: ModelName,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of pieces, including the `given` ones.
    pub max_tokens: u32,
    /// Number of pieces that exist already; generation continues after them.
    pub given: u32,
    /// KV memory to reserve, in MiB.
    pub kv_mib: u64,
    /// Priority; lower values are more urgent.
    pub priority: u8,
    /// Fence; the engine refuses a run whose fence is below its run fence.
    pub fence: OrderSeq,
    /// Boot ID of the engine that the run is for; an engine with another one refuses it.
    pub boot: u64,
}

/// One event of a completion stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnginePiece {
    /// Index in this run.
    pub index: u32,
    /// Text of the piece.
    pub text: String,
}

/// Header in which an engine names the boot ID of the process that a stream comes from.
pub const BOOT_HEADER: &str = "x-engine-boot";
/// Header in which an engine names the software version of that process.
pub const VERSION_HEADER: &str = "x-engine-version";
/// Marker after the last piece of a stream.
pub const DONE_MARKER: &str = "[DONE]";

/// Client for one target.
#[derive(Clone)]
pub struct EngineClient {
    url: String,
    http: Client,
}

/// Stream of the pieces of a run.
pub struct EngineStream {
    /// Process that it comes from, if the engine names it.
    pub process: Option<EngineProcess>,
    url: String,
    payload: Payload,
    buffer: Vec<u8>,
    /// Bytes since the last piece.
    without_piece: usize,
    /// Time until which the next piece must come.
    idle_until: Instant,
}

/// Part of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Piece with its index and text.
    Piece(u32, String),
    /// End marker.
    End,
}

impl EngineClient {
    /// Creates a client for the target at an HTTP URL without a path.
    pub async fn new(url: &str) -> Self {
        let connector = read_limit::connector()
            .limit(MAX_CONNECTIONS)
            .keep_alive(Seconds(60));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout();
        let http = client.build(ntex::SharedCfg::default()).await;
        Self {
            url: url.trim_end_matches('/').to_owned(),
            http: http.expect("building a client without middleware cannot fail"),
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

    /// Resumes the stream of a run from a piece.
    pub async fn resume(&self, run: AttemptId, from: u32) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/runs/{run}?from={from}");
        let call = self.http.get(self.url_of(&path));
        let response = self.call_engine("resume", call.send()).await?;
        Ok(self.stream(response))
    }

    /// Cancels a run; after this succeeds, the run uses no memory.
    pub async fn cancel(&self, run: AttemptId) -> Result<(), EngineError> {
        let call = self.http.delete(self.url_of(&format!("/v1/runs/{run}")));
        self.call_engine("cancel", call.send()).await.map(|_| ())
    }

    /// Calls a plain service and returns its complete response, which counts as one piece.
    pub async fn call_service(&self, dispatch: &RunDispatch) -> Result<String, EngineError> {
        let path = dispatch.call.path.as_deref().unwrap_or("");
        let call = self.http.post(self.url_of(&format!("/{path}")));
        let call = call.header("x-request-id", dispatch.attempt.to_string());
        let sent = call.send_body(dispatch.call.prompt.clone());
        // A service may have acted before it responded with a failure.
        let response = self.classify("serve", sent, |_| false).await?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.lost("serve", error.to_string()))?;
        String::from_utf8(body.to_vec()).map_err(|error| self.lost("serve", error.to_string()))
    }

    /// Sends an order.
    pub async fn order(&self, order: &EngineOrder) -> Result<(), EngineError> {
        let call = self.http.post(self.url_of("/control/orders"));
        let sent = self.call_engine("order", call.send_json(order));
        self.with_timeout("order", ORDER_TIMEOUT, sent)
            .await
            .map(|_| ())
    }

    /// Requests a report.
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
        let late = |_| self.lost(step, "timed out".to_owned());
        tokio::time::timeout(time, call).await.map_err(late)?
    }

    /// Awaits the response of an engine, whose refusal statuses mean that it did nothing.
    async fn call_engine(
        &self,
        step: &'static str,
        sent: impl Future<Output = Result<ClientResponse, ClientError>>,
    ) -> Result<ClientResponse, EngineError> {
        self.classify(step, sent, is_refusal).await
    }

    /// Classifies a response as success, as a refusal (the target surely did nothing) or as lost
    /// (it may have acted).
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
            process: process_of(&response),
            url: self.url.clone(),
            payload: response.take_payload(),
            buffer: Vec::new(),
            without_piece: 0,
            idle_until: Instant::now() + STREAM_IDLE_TIMEOUT,
        }
    }
}

impl EngineStream {
    /// Returns the next part. A stream that ends without the end marker is an error.
    pub async fn next(&mut self) -> Result<StreamPart, EngineError> {
        loop {
            if let Some(part) = self.take_event()? {
                self.without_piece = 0;
                self.idle_until = Instant::now() + STREAM_IDLE_TIMEOUT;
                return Ok(part);
            }
            if self.without_piece > MAX_LINE_BYTES {
                return Err(self.lost("too many bytes without a piece".to_owned()));
            }
            let chunk = tokio::time::timeout_at(self.idle_until, self.payload.recv()).await;
            match chunk {
                Ok(Some(Ok(bytes))) => {
                    self.without_piece += bytes.len();
                    self.buffer.extend_from_slice(&bytes);
                }
                Ok(Some(Err(error))) => return Err(self.lost(error.to_string())),
                Ok(None) => return Err(self.lost("stream ended without its end marker".to_owned())),
                Err(_) => return Err(self.lost("stream idle past its timeout".to_owned())),
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
        Ok(None)
    }

    fn lost(&self, reason: String) -> EngineError {
        EngineError::Lost {
            step: "stream",
            url: self.url.clone(),
            reason,
        }
    }
}

/// Returns the process that a response names.
fn process_of(response: &ClientResponse) -> Option<EngineProcess> {
    let header = |name| response.headers().get(name)?.to_str().ok();
    Some(EngineProcess {
        boot: header(BOOT_HEADER)?.parse().ok()?,
        version: header(VERSION_HEADER).and_then(version_name),
    })
}

/// Returns whether an error proves that nothing was sent, which only a refused connection does.
/// The client also reports a failure to connect if a connection closes after the request.
fn was_never_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == std::io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Returns whether an engine responds with this status only if it did nothing.
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
