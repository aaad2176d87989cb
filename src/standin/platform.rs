//! Stand-ins for the weight store, which limits concurrent reads, and for the platform's list of
//! hosts, which lags behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::{self, HttpResponse, types};

use crate::clock;
use crate::control::shell::PlatformHosts;
use crate::ids::HostName;
use crate::process::daemon::{self, DaemonError};

/// Properties of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreTraits {
    /// Duration of a read, in milliseconds.
    pub read_ms: u64,
    /// Maximum number of concurrent reads; further ones are refused.
    pub max_reads: usize,
}

#[derive(Default)]
struct StoreState {
    reading: usize,
    reads: u64,
    refused: u64,
}

struct StoreShared {
    traits: StoreTraits,
    state: Mutex<StoreState>,
}

impl StoreShared {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running stand-in for the weight store.
pub struct StoreStandin {
    /// Address on which it serves.
    pub address: SocketAddr,
    shared: Arc<StoreShared>,
}

impl StoreStandin {
    /// Starts on an address.
    pub async fn start(address: SocketAddr, traits: StoreTraits) -> Result<Self, DaemonError> {
        let (listener, address) = daemon::bind_http("store", address)?;
        let shared = Arc::new(StoreShared {
            traits,
            state: Mutex::new(StoreState::default()),
        });
        let store = shared.clone();
        let app = async move || {
            web::App::new()
                .state(store.clone())
                .route("/load", web::get().to(load))
        };
        daemon::run_http(listener, 1, app)?;
        Ok(Self { address, shared })
    }

    /// Returns the number of accepted reads and of refused ones.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.shared.state();
        (state.reads, state.refused)
    }
}

async fn load(store: types::State<Arc<StoreShared>>) -> HttpResponse {
    {
        let mut state = store.state();
        if state.reading >= store.traits.max_reads {
            state.refused += 1;
            return HttpResponse::new(StatusCode::TOO_MANY_REQUESTS);
        }
        state.reading += 1;
        state.reads += 1;
    }
    tokio::time::sleep(Duration::from_millis(store.traits.read_ms)).await;
    store.state().reading -= 1;
    HttpResponse::Ok().json(&true)
}

struct PlatformShared {
    lag_ms: u64,
    leaving: Mutex<BTreeMap<HostName, u64>>,
}

/// A running stand-in for the platform's list of hosts.
pub struct PlatformStandin {
    /// Address on which it serves.
    pub address: SocketAddr,
    shared: Arc<PlatformShared>,
}

impl PlatformStandin {
    /// Starts on an address. Changes become visible after `lag_ms`.
    pub async fn start(address: SocketAddr, lag_ms: u64) -> Result<Self, DaemonError> {
        let (listener, address) = daemon::bind_http("platform", address)?;
        let shared = Arc::new(PlatformShared {
            lag_ms,
            leaving: Mutex::new(BTreeMap::new()),
        });
        let platform = shared.clone();
        let app = async move || {
            web::App::new()
                .state(platform.clone())
                .route("/hosts", web::get().to(hosts))
                .route("/leave/{host}", web::post().to(leave))
        };
        daemon::run_http(listener, 1, app)?;
        Ok(Self { address, shared })
    }

    /// Lists a host as leaving.
    pub fn leave(&self, host: HostName) {
        record_leaving(&self.shared, host);
    }
}

fn record_leaving(platform: &PlatformShared, host: HostName) {
    let leaving = platform.leaving.lock();
    let mut leaving = leaving.unwrap_or_else(|poisoned| poisoned.into_inner());
    leaving.insert(host, clock::monotonic_ms());
}

type Platform = types::State<Arc<PlatformShared>>;

async fn hosts(platform: Platform) -> HttpResponse {
    let leaving = platform.leaving.lock();
    let leaving = leaving.unwrap_or_else(|poisoned| poisoned.into_inner());
    let now_ms = clock::monotonic_ms();
    let shown = leaving
        .iter()
        .filter(|(_, at)| **at + platform.lag_ms <= now_ms);
    let list = PlatformHosts {
        leaving: shown.map(|(host, _)| host.clone()).collect(),
    };
    HttpResponse::Ok().json(&list)
}

async fn leave(platform: Platform, host: types::Path<String>) -> HttpResponse {
    record_leaving(&platform, HostName(host.into_inner()));
    HttpResponse::Ok().finish()
}
