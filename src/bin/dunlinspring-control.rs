//! The control daemon: the replicated log and the leader's duties.

use dunlinspring::controld::ControlDaemon;
use dunlinspring::settings::ControlSettings;
use dunlinspring::{cli, control, daemon};

const PROGRAM: &str = "dunlinspring-control";

#[ntex::main]
async fn main() {
    let start = cli::start::<ControlSettings>(PROGRAM, |settings| &settings.common);
    if start.found {
        match control::found(&start.settings) {
            Ok(()) => return,
            Err(error) => cli::fail(PROGRAM, error),
        }
    }
    let started = ControlDaemon::start(start.settings, start.secret).await;
    let mut control = match started {
        Ok(control) => control,
        Err(error) => cli::fail(PROGRAM, error),
    };
    let addresses = [("listen", control.address), ("watch", control.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    tokio::select! {
        () = daemon::stop_signal() => control.stop().await,
        ended = control.ended() => {
            if let Err(error) = ended {
                daemon::end_logs();
                eprintln!("{PROGRAM}: {error}");
                std::process::exit(1);
            }
        }
    }
    daemon::end_logs();
}
