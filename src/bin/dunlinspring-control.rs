//! The control daemon: runs a voter of the replicated log and, on the leader, the controllers.

use dunlinspring::control::bootstrap;
use dunlinspring::control::shell::ControlDaemon;
use dunlinspring::process::settings::ControlSettings;
use dunlinspring::process::{arguments, daemon, memory};

const PROGRAM: &str = "dunlinspring-control";

#[ntex::main]
async fn main() {
    memory::return_freed_memory();
    let start = arguments::start::<ControlSettings>(PROGRAM, |settings| &settings.common);
    if start.bootstrap {
        match bootstrap::bootstrap(&start.settings) {
            Ok(()) => return,
            Err(error) => arguments::fail(PROGRAM, error),
        }
    }
    let started = ControlDaemon::start(start.settings, start.secret).await;
    let mut control = match started {
        Ok(control) => control,
        Err(error) => arguments::fail(PROGRAM, error),
    };
    let addresses = [("listen", control.address), ("watch", control.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    tokio::select! {
        () = daemon::stop_signal() => control.stop().await,
        ended = control.ended() => {
            if let Err(error) = ended {
                daemon::log_failure(&error);
                eprintln!("{PROGRAM}: {error}");
                std::process::exit(1);
            }
        }
    }
    daemon::flush_logs();
}
