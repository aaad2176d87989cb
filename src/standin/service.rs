//! Stand-in for a plain service; keeps a record of every call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types};
use serde::{Deserialize, Serialize};

use crate::process::daemon::{self, DaemonError};

/// Path whose calls are recorded and then answered with an error.
const FAILING_PATH: &str = "/failing";

/// Record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
}

struct ServiceShared {
    call_time: Duration,
    calls: Mutex<Vec<ServiceRecord>>,
}

/// A running service stand-in.
pub struct ServiceStandin {
    /// Address on which it serves.
    pub address: SocketAddr,
    shared: Arc<ServiceShared>,
    server: ntex::server::Server,
}

impl ServiceStandin {
    /// Starts on an address; each call takes `call_time`.
    pub async fn start(address: SocketAddr, call_time: Duration) -> Result<Self, DaemonError> {
        let (listener, address) = daemon::bind_http("service", address)?;
        let shared = Arc::new(ServiceShared {
            call_time,
            calls: Mutex::new(Vec::new()),
        });
        let service = shared.clone();
        let app = async move || {
            web::App::new()
                .state(service.clone())
                .route("/record", web::get().to(record))
                .default_service(web::to(call))
        };
        let server = daemon::run_http(listener, 1, app)?;
        Ok(Self {
            address,
            shared,
            server,
        })
    }

    /// Returns all calls so far.
    pub fn record(&self) -> Vec<ServiceRecord> {
        let calls = self.shared.calls.lock();
        calls
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Simulates a crash: stops serving without a graceful shutdown.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

type Service = types::State<Arc<ServiceShared>>;

async fn call(service: Service, request: HttpRequest, body: Bytes) -> HttpResponse {
    let body = String::from_utf8_lossy(&body).into_owned();
    let response = format!("sealed {:08x}", crc32fast::hash(body.as_bytes()));
    let received = ServiceRecord {
        path: request.path().to_owned(),
        body,
    };
    let calls = service.calls.lock();
    calls
        .unwrap_or_else(|poisoned| poisoned.into_inner())
        .push(received);
    tokio::time::sleep(service.call_time).await;
    match request.path() {
        FAILING_PATH => HttpResponse::ServiceUnavailable().body("failed after the fact"),
        _ => HttpResponse::Ok().body(response),
    }
}

async fn record(service: Service) -> HttpResponse {
    let calls = service.calls.lock();
    let calls = calls.unwrap_or_else(|poisoned| poisoned.into_inner());
    HttpResponse::Ok().json(&*calls)
}
