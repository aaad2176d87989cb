//! Code that all daemons share: listeners, health pages, small HTTP calls, signals and logs.

use std::future::Future;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::body::MessageBody;
use ntex::http::{HttpService, Request, Response, ResponseError, StatusCode};
use ntex::server::Server;
use ntex::web::{self, HttpResponse};
use ntex::{IntoServiceFactory, ServiceFactory, chain_factory};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::ids::{HallName, HostName};
use crate::process::log_limit::{self, LineLimiter};
use crate::process::peers::PeerError;
use crate::process::read_limit;
use crate::process::settings::{LogSettings, SettingsError};

/// Exit status of a process whose start failed.
pub const START_FAILED: i32 = 2;
/// Limit on a response of a platform service, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Timeout of a response of a platform service, body included.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a daemon cannot start or continue.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings are not usable.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The field and the fault.
        source: SettingsError,
    },
    /// The data folder is not usable, or a sync failed.
    #[snafu(display("data folder: {source}"))]
    Storage {
        /// The file and the fault.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} (field {field}): {source}"))]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// The address.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread that the daemon cannot do without panicked.
    #[snafu(display("thread {thread} panicked"))]
    ThreadPanicked {
        /// The name of the thread.
        thread: &'static str,
    },
    /// No control host can be reached.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// The peer and the fault.
        source: PeerError,
    },
    /// A call to a target or a platform service failed.
    #[snafu(display("cannot {step} {url}: {reason}"))]
    Http {
        /// The operation.
        step: &'static str,
        /// The URL.
        url: String,
        /// The fault.
        reason: String,
    },
}

/// Opens a listener for peers.
pub async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.context(ListenSnafu {
        field,
        address: address.to_string(),
    })
}

/// Returns the address of a listener, including a port that the system chose.
pub fn address_of(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, DaemonError> {
    listener.local_addr().context(ListenSnafu {
        field,
        address: "a new socket",
    })
}

/// Opens a listener for HTTP.
pub fn bind_http(
    field: &'static str,
    address: SocketAddr,
) -> Result<(StdListener, SocketAddr), DaemonError> {
    let context = |address: SocketAddr| ListenSnafu {
        field,
        address: address.to_string(),
    };
    let listener = StdListener::bind(address).context(context(address))?;
    let bound = listener.local_addr().context(context(address))?;
    Ok((listener, bound))
}

/// Runs a task on this thread until the process ends.
pub fn spawn_local(task: impl Future<Output = ()> + 'static) {
    ntex::rt::spawn(task);
}

/// Serves HTTP on separate threads until the returned server is stopped.
pub fn run_http<F, I, S, B>(
    listener: StdListener,
    workers: usize,
    factory: F,
) -> Result<Server, DaemonError>
where
    F: AsyncFn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: std::fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let server = ntex::server::build().workers(workers).disable_signals();
    let service = async move |_| {
        let http = HttpService::new(factory().await);
        chain_factory(read_limit::acceptor())
            .map_err(|never| match never {})
            .and_then(http)
    };
    let server = server.listen("http", listener, service);
    let server = server.context(ListenSnafu {
        field: "http",
        address: "a new socket",
    })?;
    Ok(server.run())
}

/// Content of the health pages.
pub struct HealthPage {
    /// Whether the process is ready to serve.
    pub ready: bool,
    /// Metrics as text.
    pub metrics: String,
}

/// Future of a [`HealthPage`].
pub type HealthFuture = Pin<Box<dyn Future<Output = HealthPage> + Send>>;
/// Reads the health of a process.
pub type HealthSource = Arc<dyn Fn() -> HealthFuture + Send + Sync>;

/// Serves `/healthz`, `/readyz` (also as `/ready`) and `/metrics`.
pub async fn serve_health(
    address: SocketAddr,
    source: HealthSource,
) -> Result<SocketAddr, DaemonError> {
    let (listener, bound) = bind_http("watch", address)?;
    let app = async move || {
        web::App::new()
            .state(source.clone())
            .route(
                "/healthz",
                web::get().to(async || HttpResponse::Ok().body("ok\n")),
            )
            .route("/readyz", web::get().to(ready))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics))
    };
    run_http(listener, 1, app)?;
    Ok(bound)
}

async fn ready(source: web::types::State<HealthSource>) -> HttpResponse {
    match source().await.ready {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics(source: web::types::State<HealthSource>) -> HttpResponse {
    let page = source().await;
    let dropped = dropped_lines();
    let suppressed = log_limit::suppressed_lines();
    let logs = format!(
        "# TYPE dunlinspring_log_lines_dropped_total counter\n\
         dunlinspring_log_lines_dropped_total {dropped}\n\
         # TYPE dunlinspring_log_lines_passed_over_total counter\n\
         dunlinspring_log_lines_passed_over_total {suppressed}\n"
    );
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(page.metrics + &logs)
}

/// Reads a JSON document of at most `MAX_RESPONSE_BYTES` from a response with status 200.
pub async fn get_json<T: DeserializeOwned>(url: &str) -> Result<T, DaemonError> {
    let failed = |step: &'static str, reason: String| DaemonError::Http {
        step,
        url: url.to_owned(),
        reason,
    };
    let read = async {
        let client = read_limit::client().await;
        let answer = client.get(url).send().await;
        let answer = answer.map_err(|error| failed("get", error.to_string()))?;
        if answer.status() != StatusCode::OK {
            return Err(failed("get", format!("status {}", answer.status())));
        }
        let body = answer.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| failed("read", error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| failed("decode", error.to_string()))
    };
    let late = |_| failed("read", "timed out".to_owned());
    tokio::time::timeout(RESPONSE_TIMEOUT, read)
        .await
        .map_err(late)?
}

/// Initializes logging; every line names the process, host and hall.
pub fn init_logging(settings: &LogSettings, process: &str, host: &HostName, hall: &HallName) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = log_writer(LOG_BUFFER_LINES);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_writer(writer);
    let limiter = || LineLimiter::new(crate::clock::monotonic_ms);
    let started = match settings.json {
        true => builder.json().finish().with(limiter()).try_init(),
        false => builder.finish().with(limiter()).try_init(),
    };
    if started.is_ok() {
        begin_logs(guard, process, host, hall);
    }
}

/// Initializes logging for the agent beside a replica: JSON, with a filter by target and level
/// alone. Filters by the content of spans add 0.7 MB of code, and the larger buffer 0.25 MB.
pub fn init_agent_logging(settings: &LogSettings, process: &str, host: &HostName, hall: &HallName) {
    let info = || Targets::new().with_default(tracing::Level::INFO);
    let filter = settings.filter.parse().unwrap_or_else(|_| info());
    let (writer, guard) = log_writer(AGENT_LOG_BUFFER_LINES);
    let lines = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(writer)
        .json()
        .finish();
    let limiter = LineLimiter::new(crate::clock::monotonic_ms);
    if lines.with(filter).with(limiter).try_init().is_ok() {
        begin_logs(guard, process, host, hall);
    }
}

/// Returns a writer to standard output. If that is not read, lines are dropped rather than blocking
/// the process.
fn log_writer(buffered_lines: usize) -> (NonBlocking, WorkerGuard) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(buffered_lines)
        .finish(std::io::stdout());
    let _ = LOG_DROPPED.set(writer.error_counter());
    (writer, guard)
}

fn begin_logs(guard: WorkerGuard, process: &str, host: &HostName, hall: &HallName) {
    *lock_guard() = Some(guard);
    let span = tracing::error_span!("daemon", process, %host, %hall);
    let _ = LOG_SPAN.set(span);
    enter_log_span();
    log_panics();
    tracing::info!("logs started");
}

/// Capacity of the log buffer in lines; further lines are dropped and counted.
const LOG_BUFFER_LINES: usize = 8_192;
/// The same for the agent beside a replica, which logs a line in 10 s: the buffer is allocated at
/// the start, 32 bytes a line.
const AGENT_LOG_BUFFER_LINES: usize = 256;
/// Counter of dropped lines.
static LOG_DROPPED: OnceLock<ErrorCounter> = OnceLock::new();
/// Keeps the thread of the log writer running.
static LOG_GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

fn lock_guard() -> MutexGuard<'static, Option<WorkerGuard>> {
    LOG_GUARD
        .lock()
        .unwrap_or_else(|broken| broken.into_inner())
}

/// Returns the number of log lines that were dropped because standard output was not read.
pub fn dropped_lines() -> u64 {
    LOG_DROPPED
        .get()
        .map_or(0, |lines| lines.dropped_lines() as u64)
}

/// Writes the buffered lines; nothing is logged afterwards.
pub fn flush_logs() {
    drop(lock_guard().take());
}

/// Logs the reason why the process ends by itself, and writes the buffered lines.
pub fn log_failure(reason: &impl std::fmt::Display) {
    tracing::error!(%reason, "process ends by itself");
    flush_logs();
}

/// Logs panics, which otherwise reach standard error alone.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tracing::error!(%panic, "panic");
        print(panic);
    }));
}

/// Span that names the process, host and hall of a daemon in every log line.
static LOG_SPAN: OnceLock<tracing::Span> = OnceLock::new();

/// Enters the daemon's span on the current thread, until the thread ends.
pub fn enter_log_span() {
    if let Some(span) = LOG_SPAN.get() {
        std::mem::forget(span.clone().entered());
    }
}

/// Waits for SIGTERM or SIGINT, the signals of a planned stop.
pub async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Triggers for reloading the settings: SIGHUP, or an interval that has passed.
pub struct ReloadSignal {
    hangup: Option<tokio::signal::unix::Signal>,
    every: Duration,
}

impl ReloadSignal {
    /// Installs the handler of SIGHUP, which from now on does not end the process.
    pub fn new(every: Duration) -> Self {
        use tokio::signal::unix::{SignalKind, signal};
        Self {
            hangup: signal(SignalKind::hangup()).ok(),
            every,
        }
    }

    /// Waits for the next trigger; returns whether it was a signal.
    pub async fn next(&mut self) -> bool {
        match &mut self.hangup {
            Some(hangup) => tokio::time::timeout(self.every, hangup.recv())
                .await
                .is_ok(),
            None => {
                tokio::time::sleep(self.every).await;
                false
            }
        }
    }
}

/// Writes the listening addresses on one line as `name address` pairs, for a parent process
/// that started this one with port 0.
pub fn announce(path: Option<&Path>, addresses: &[(&str, SocketAddr)]) {
    let pairs = addresses.iter();
    let pairs: Vec<String> = pairs.map(|(name, at)| format!("{name} {at}")).collect();
    let line = pairs.join(" ");
    match path {
        Some(path) => {
            if let Err(error) = std::fs::write(path, format!("{line}\n")) {
                tracing::warn!(%error, "cannot write the addresses");
            }
        }
        None => println!("{line}"),
    }
}
