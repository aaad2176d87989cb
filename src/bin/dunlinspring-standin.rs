//! Stand-ins for an engine or a plain service, each run as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dunlinspring::process::{arguments, daemon};
use dunlinspring::standin::{EngineStandin, EngineTraits, ServiceStandin};
use getopts::Options;

const PROGRAM: &str = "dunlinspring-standin";

#[ntex::main]
async fn main() {
    let mut options = Options::new();
    options.optopt(
        "a",
        "announce",
        "write the chosen address to this file",
        "FILE",
    );
    options.optopt("l", "listen", "address", "IP:PORT");
    options.optopt("t", "traits", "an engine's traits as JSON", "JSON");
    options.optopt(
        "",
        "service-ms",
        "run a plain service; each call takes this time",
        "MS",
    );
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => arguments::fail(PROGRAM, error),
    };
    let listen = matches
        .opt_str("listen")
        .unwrap_or("127.0.0.1:0".to_owned());
    let listen: SocketAddr = match listen.parse() {
        Ok(listen) => listen,
        Err(error) => arguments::fail(PROGRAM, format!("--listen: {error}")),
    };
    let announce = matches.opt_str("announce").map(PathBuf::from);
    let address = match (matches.opt_str("traits"), matches.opt_str("service-ms")) {
        (Some(traits), _) => {
            let traits: EngineTraits = match serde_json::from_str(&traits) {
                Ok(traits) => traits,
                Err(error) => arguments::fail(PROGRAM, format!("--traits: {error}")),
            };
            EngineStandin::start(listen, traits)
                .await
                .map(|engine| engine.address)
        }
        (None, Some(ms)) => match ms.parse() {
            Ok(ms) => {
                let service = ServiceStandin::start(listen, Duration::from_millis(ms)).await;
                service.map(|service| service.address)
            }
            Err(error) => arguments::fail(PROGRAM, format!("--service-ms: {error}")),
        },
        (None, None) => arguments::fail(PROGRAM, "--traits or --service-ms is missing"),
    };
    match address {
        Ok(address) => daemon::announce(announce.as_deref(), &[("listen", address)]),
        Err(error) => arguments::fail(PROGRAM, error),
    }
    daemon::stop_signal().await;
}
