//! HTTP interface for callers: OpenAI-compatible completions and plain services.

use std::sync::Arc;

use ntex::http::{HeaderMap, StatusCode};
use ntex::server::Server;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{self, HttpRequest, HttpResponse, types};
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use crate::admission::controller::EngineCall;
use crate::entry::operator;
use crate::entry::request_driver::{self, CallerRequest, ResponsePart};
use crate::entry::shell::{self, EntryShared, InFlightGuard};
use crate::ids::{CallKey, ContentDigest, ModelName, PartnerName};
use crate::process::auth;
use crate::process::daemon::{self, DaemonError};
use crate::routing::content;
use crate::routing::lifecycle::{DEFAULT_RETRY_MS, EndCause, RequestOutcome};
use crate::table::rows::Row;
use crate::table::site::ModelKind;

/// Number of pieces to generate if a request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Most messages of a conversation that are told apart when an engine crashes.
const MAX_SHARED_PARTS: usize = 16;
/// Maximum `max_tokens` of a request.
const MAX_TOKENS: u32 = 32_768;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Number of prompt bytes that are estimated as one token of KV memory.
const BYTES_PER_TOKEN: u64 = 4;

/// Serves callers and operators until the returned server is stopped.
pub fn serve(
    entry: Arc<EntryShared>,
    listener: std::net::TcpListener,
) -> Result<Server, DaemonError> {
    let workers = entry.settings.workers;
    let app = async move || {
        // Runs once on each HTTP thread.
        daemon::enter_log_span();
        web::App::new()
            .state(entry.clone())
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/models", web::get().to(models))
            .route("/services/{name}/{path}*", web::post().to(service))
            .configure(operator::routes)
    };
    daemon::run_http(listener, workers, app)
}

type Entry = types::State<Arc<EntryShared>>;

#[derive(Deserialize)]
struct ChatBody {
    model: ModelName,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: ModelName,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Format of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseFormat {
    Chat,
    Completion,
    Service,
}

#[derive(Clone, Debug)]
struct ResponseHead {
    format: ResponseFormat,
    stream: bool,
    id: String,
    model: ModelName,
}

/// Error response to a request that was not run.
pub(crate) struct CallerError {
    pub status: StatusCode,
    pub code: &'static str,
    pub field: Option<&'static str>,
    pub message: String,
}

impl CallerError {
    pub fn new(
        status: StatusCode,
        code: &'static str,
        field: Option<&'static str>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            field,
            message: message.into(),
        }
    }

    fn invalid(field: &'static str, message: impl Into<String>) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            Some(field),
            message,
        )
    }

    pub fn response(&self) -> HttpResponse {
        let error = json!({
            "message": self.message,
            "type": self.code,
            "param": self.field,
            "code": self.code,
        });
        HttpResponse::build(self.status)
            .header("x-outcome", "not-run")
            .json(&json!({ "error": error }))
    }
}

/// Reads a body of up to `max_body` bytes. A longer one is refused without reading the rest.
pub(crate) async fn read_body(
    entry: &EntryShared,
    payload: types::Payload,
) -> Result<Bytes, CallerError> {
    let limit = entry.settings.max_body;
    let mut payload = payload.into_inner();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| CallerError::invalid("body", error.to_string()))?;
        if body.len() + chunk.len() > limit {
            let message = format!("is longer than {limit} bytes");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(CallerError::new(
                status,
                "body_too_large",
                Some("body"),
                message,
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

async fn chat(entry: Entry, request: HttpRequest, payload: types::Payload) -> HttpResponse {
    let body = match read_body(&entry, payload).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let parsed = parse::<ChatBody>(&body).and_then(|chat| {
        if chat.messages.is_empty() {
            return Err(CallerError::invalid("messages", "must not be empty"));
        }
        let prompt = SharedPrompt::of_messages(&chat.messages);
        Ok((chat.model, prompt, chat.max_tokens, chat.stream))
    });
    generate(&entry, &request, &body, parsed, ResponseFormat::Chat).await
}

async fn complete(entry: Entry, request: HttpRequest, payload: types::Payload) -> HttpResponse {
    let body = match read_body(&entry, payload).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let parsed = parse::<CompletionBody>(&body).map(|call| {
        (
            call.model,
            SharedPrompt::of_text(call.prompt),
            call.max_tokens,
            call.stream,
        )
    });
    generate(&entry, &request, &body, parsed, ResponseFormat::Completion).await
}

/// Model, prompt, maximum number of tokens, and whether the response is streamed.
type ParsedBody = (ModelName, SharedPrompt, Option<u32>, bool);

/// A prompt, and the digests of its parts that other requests may share.
struct SharedPrompt {
    text: String,
    parts: Vec<ContentDigest>,
}

impl SharedPrompt {
    /// A conversation: its messages but for the last one may be shared.
    fn of_messages(messages: &[ChatMessage]) -> Self {
        let lines = messages.iter();
        let lines = lines.map(|message| format!("{}: {}\n", message.role, message.content));
        let lines: Vec<String> = lines.collect();
        let shared = lines.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().take(MAX_SHARED_PARTS);
        Self {
            parts: parts.map(|part| content::part_digest("", part)).collect(),
            text: lines.concat(),
        }
    }

    /// A text: what precedes its first empty line may be shared.
    fn of_text(text: String) -> Self {
        let leading = text.split_once("\n\n").map(|(leading, _)| leading);
        let parts = leading.map(|part| content::part_digest("", part));
        Self {
            parts: parts.into_iter().collect(),
            text,
        }
    }
}

async fn generate(
    entry: &Entry,
    request: &HttpRequest,
    body: &[u8],
    parsed: Result<ParsedBody, CallerError>,
    format: ResponseFormat,
) -> HttpResponse {
    let prepared = authorize(entry, request.headers()).and_then(|partner| {
        let (model, prompt, max_tokens, stream) = parsed?;
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS {
            return Err(CallerError::invalid(
                "max_tokens",
                "must be from 1 to 32768",
            ));
        }
        let kv_mib = kv_mib(entry, &model, prompt.text.len(), max_tokens);
        let call = EngineCall {
            model: model.clone(),
            prompt: prompt.text,
            path: None,
            max_tokens,
            given: 0,
            kv_mib,
        };
        let mut caller = prepare(entry, request.headers(), partner, call, body)?;
        caller.parts = prompt.parts;
        let head = ResponseHead {
            format,
            stream,
            id: caller.id.clone(),
            model,
        };
        Ok((caller, head))
    });
    match prepared {
        Ok((caller, head)) => run(entry, caller, head).await,
        Err(error) => error.response(),
    }
}

async fn service(
    entry: Entry,
    request: HttpRequest,
    path: types::Path<(String, String)>,
    payload: types::Payload,
) -> HttpResponse {
    let body = match read_body(&entry, payload).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let prepared = authorize(&entry, request.headers()).and_then(|partner| {
        let (name, path) = path.into_inner();
        let model = ModelName(name);
        let prompt = String::from_utf8(body.to_vec())
            .map_err(|_| CallerError::invalid("body", "must be UTF-8 text"))?;
        let call = EngineCall {
            model: model.clone(),
            prompt,
            path: Some(path),
            max_tokens: 1,
            given: 0,
            kv_mib: 0,
        };
        let caller = prepare(&entry, request.headers(), partner, call, &body)?;
        let head = ResponseHead {
            format: ResponseFormat::Service,
            stream: false,
            id: caller.id.clone(),
            model,
        };
        Ok((caller, head))
    });
    match prepared {
        Ok((caller, head)) => run(&entry, caller, head).await,
        Err(error) => error.response(),
    }
}

async fn models(entry: Entry, request: HttpRequest) -> HttpResponse {
    let partner = match authorize(&entry, request.headers()) {
        Ok(partner) => partner,
        Err(error) => return error.response(),
    };
    let view = entry.follower.view();
    let rows = view.rows.values().filter(|row| row.partner == partner);
    let names: std::collections::BTreeSet<&str> =
        rows.map(|row| row.fields.model.as_str()).collect();
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({ "id": name, "object": "model", "owned_by": partner.as_str() }))
        .collect();
    HttpResponse::Ok().json(&json!({ "object": "list", "data": data }))
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CallerError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let message = format!("field {}: {}", error.path(), error.inner());
        CallerError::new(StatusCode::BAD_REQUEST, "invalid_json", None, message)
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the bearer key of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    header(headers, "authorization")?.strip_prefix("Bearer ")
}

fn authorize(entry: &EntryShared, headers: &HeaderMap) -> Result<PartnerName, CallerError> {
    let key = bearer(headers);
    let partner = key.and_then(|key| auth::caller(&entry.settings, key));
    partner.cloned().ok_or_else(|| {
        let message = "a caller's key is needed as 'Authorization: Bearer KEY'";
        let field = Some("authorization");
        CallerError::new(StatusCode::UNAUTHORIZED, "invalid_key", field, message)
    })
}

fn kv_mib(entry: &EntryShared, model: &ModelName, prompt: usize, max_tokens: u32) -> u64 {
    let view = entry.follower.view();
    let models = &view.site.models;
    let spec = models.get(model);
    // An adapter needs as much KV memory per token as its base model.
    let spec = match spec.map(|spec| &spec.kind) {
        Some(ModelKind::Adapter(base)) => models.get(base),
        _ => spec,
    };
    let tokens = prompt as u64 / BYTES_PER_TOKEN + u64::from(max_tokens);
    let kib = spec.map_or(0, |spec| spec.kv_kib_per_token) * tokens;
    kib.div_ceil(1024)
}

fn prepare(
    entry: &EntryShared,
    headers: &HeaderMap,
    partner: PartnerName,
    call: EngineCall,
    body: &[u8],
) -> Result<CallerRequest, CallerError> {
    let (row, fields) = find_row(entry, headers, &partner, &call.model)?;
    let key = find_key(headers, &fields)?;
    let id = header(headers, "x-request-id").map(str::to_owned);
    let mut digest = Sha256::new();
    digest.update(call.path.as_deref().unwrap_or("").as_bytes());
    digest.update([0]);
    digest.update(body);
    Ok(CallerRequest {
        partner,
        row,
        fields,
        key,
        digest: digest.finalize().into(),
        parts: Vec::new(),
        call,
        id: id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
    })
}

fn find_row(
    entry: &EntryShared,
    headers: &HeaderMap,
    partner: &PartnerName,
    model: &ModelName,
) -> Result<(crate::ids::RowId, Row), CallerError> {
    let view = entry.follower.view();
    let class = header(headers, "x-request-class");
    let found = match class {
        Some(class) => view.find_row(partner, model, class),
        None => {
            let mut rows = view.rows.iter();
            rows.find(|(_, row)| row.partner == *partner && row.fields.model == *model)
        }
    };
    let known = || {
        let mut rows = view.rows.values();
        rows.any(|row| row.partner == *partner && row.fields.model == *model)
    };
    match found {
        Some((id, row)) => Ok((id.clone(), row.clone())),
        None if known() => Err(CallerError::new(
            StatusCode::NOT_FOUND,
            "unknown_class",
            Some("x-request-class"),
            format!("no row of {partner} has model {model} in this class"),
        )),
        None => Err(CallerError::new(
            StatusCode::NOT_FOUND,
            "unknown_model",
            Some("model"),
            format!("no row of {partner} names model {model}"),
        )),
    }
}

fn find_key(headers: &HeaderMap, row: &Row) -> Result<Option<CallKey>, CallerError> {
    let key = header(headers, "idempotency-key");
    match key {
        _ if !row.fields.at_most_once => Ok(None),
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(CallKey::from(key))),
        _ => Err(CallerError::invalid(
            "idempotency-key",
            "this class may not be repeated: a key of 1 to 256 bytes is needed",
        )),
    }
}

async fn run(entry: &Entry, request: CallerRequest, head: ResponseHead) -> HttpResponse {
    let guard = match entry.admit() {
        Ok(guard) => guard,
        Err(cause) => {
            let retry_after_ms = DEFAULT_RETRY_MS;
            let outcome = RequestOutcome::NotRun {
                cause,
                retry_after_ms,
            };
            entry.record(&request, &outcome, tokio::time::Instant::now());
            return failure(&head, &outcome);
        }
    };
    let whole = request.fields.fields.whole || !head.stream;
    let parts = spawn_driver(entry, request, guard);
    match whole {
        true => collect_response(head, parts).await,
        false => stream_response(head, parts).await,
    }
}

/// Starts the driver of a request as a separate task. If the caller disconnects, the driver
/// continues until it has ended the attempt that it started.
fn spawn_driver(
    entry: &Entry,
    request: CallerRequest,
    guard: InFlightGuard,
) -> mpsc::Receiver<ResponsePart> {
    let (sender, parts) = mpsc::channel(request_driver::MAX_PENDING_PARTS);
    let entry = Arc::clone(entry);
    ntex::rt::spawn(request_driver::drive(entry, request, sender, guard));
    parts
}

async fn collect_response(
    head: ResponseHead,
    mut parts: mpsc::Receiver<ResponsePart>,
) -> HttpResponse {
    let mut text = String::new();
    while let Some(part) = parts.recv().await {
        match part {
            ResponsePart::Pieces(pieces) => pieces.iter().for_each(|piece| text.push_str(piece)),
            ResponsePart::End(RequestOutcome::Done) => return render(&head, &text),
            ResponsePart::End(RequestOutcome::Replayed(Some(text))) => return render(&head, &text),
            ResponsePart::End(outcome) => return failure(&head, &outcome),
        }
    }
    failure(&head, &RequestOutcome::Unknown(EndCause::TargetLost))
}

fn render(head: &ResponseHead, text: &str) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response.header("x-outcome", "done");
    response.header("x-request-id", head.id.as_str());
    match head.format {
        ResponseFormat::Service => response.body(text.to_owned()),
        _ if head.stream => {
            let mut events = chunk(head, text);
            events.push_str(&outcome_event(&RequestOutcome::Done));
            response.content_type("text/event-stream").body(events)
        }
        ResponseFormat::Chat => response.json(&json!({
            "id": head.id,
            "object": "chat.completion",
            "model": head.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
        })),
        ResponseFormat::Completion => response.json(&json!({
            "id": head.id,
            "object": "text_completion",
            "model": head.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
        })),
    }
}

/// Streams the response. Waits for its first part, so that a request that fails before its first
/// piece gets an HTTP error instead of a stream.
async fn stream_response(
    head: ResponseHead,
    mut parts: mpsc::Receiver<ResponsePart>,
) -> HttpResponse {
    let first = match parts.recv().await {
        Some(ResponsePart::End(outcome)) if outcome != RequestOutcome::Done => {
            return match outcome {
                RequestOutcome::Replayed(Some(text)) => render(&head, &text),
                outcome => failure(&head, &outcome),
            };
        }
        Some(part) => part,
        None => return failure(&head, &RequestOutcome::Unknown(EndCause::TargetLost)),
    };
    let id = head.id.clone();
    let events = futures::stream::unfold(
        (Some(first), parts, head),
        |(first, mut parts, head)| async move {
            let part = match first {
                Some(part) => Some(part),
                None => parts.recv().await,
            };
            let text = match part? {
                ResponsePart::Pieces(pieces) => {
                    pieces.iter().map(|piece| chunk(&head, piece)).collect()
                }
                ResponsePart::End(outcome) => outcome_event(&outcome),
            };
            let bytes = Ok::<_, std::io::Error>(Bytes::from(text));
            Some((bytes, (None, parts, head)))
        },
    );
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("x-request-id", id)
        .streaming(Box::pin(events))
}

fn chunk(head: &ResponseHead, text: &str) -> String {
    let choice = match head.format {
        ResponseFormat::Chat => json!({ "index": 0, "delta": { "content": text } }),
        ResponseFormat::Completion | ResponseFormat::Service => json!({ "index": 0, "text": text }),
    };
    let object = match head.format {
        ResponseFormat::Chat => "chat.completion.chunk",
        ResponseFormat::Completion | ResponseFormat::Service => "text_completion",
    };
    let event = json!({
        "id": head.id,
        "object": object,
        "model": head.model,
        "choices": [choice],
    });
    format!("data: {event}\n\n")
}

/// Formats the outcome as the last event of a stream. The customary end marker follows only a
/// complete response.
fn outcome_event(outcome: &RequestOutcome) -> String {
    let (name, cause) = shell::outcome_names(outcome);
    let event = json!({ "outcome": name, "cause": cause });
    let end = match name {
        "done" => "data: [DONE]\n\n",
        _ => "",
    };
    format!("event: outcome\ndata: {event}\n\n{end}")
}

/// Builds the response to a request for which there is no complete result to return.
fn failure(head: &ResponseHead, outcome: &RequestOutcome) -> HttpResponse {
    let (name, cause) = shell::outcome_names(outcome);
    let status = match outcome {
        RequestOutcome::Done => StatusCode::OK,
        // The request ran, but its response was too long to be recorded.
        RequestOutcome::Replayed(_) => StatusCode::GONE,
        RequestOutcome::NotRun { cause, .. } => match cause {
            EndCause::KeyReused => StatusCode::CONFLICT,
            EndCause::Limit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
        RequestOutcome::Unknown(EndCause::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        RequestOutcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    };
    let mut response = HttpResponse::build(status);
    response.header("x-outcome", name);
    response.header("x-request-id", head.id.as_str());
    let retry_ms = match outcome {
        RequestOutcome::NotRun {
            cause: EndCause::KeyReused,
            ..
        } => None,
        RequestOutcome::NotRun { retry_after_ms, .. } => Some(*retry_after_ms),
        RequestOutcome::Unknown(_) => Some(DEFAULT_RETRY_MS),
        RequestOutcome::Done | RequestOutcome::Replayed(_) => None,
    };
    if let Some(ms) = retry_ms {
        response.header("retry-after", ms.div_ceil(1000).max(1).to_string());
        response.header("retry-after-ms", ms.to_string());
    }
    let message = match outcome {
        RequestOutcome::NotRun { .. } => format!("the request was not run: {cause}"),
        RequestOutcome::Unknown(_) => format!("the request may have run: {cause}"),
        _ => "the request ran earlier; its answer is no longer kept".to_owned(),
    };
    response.json(&json!({
        "error": { "message": message, "type": name, "param": null, "code": cause },
    }))
}
