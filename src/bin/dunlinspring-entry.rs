//! The entry daemon: serves callers and operators.

use dunlinspring::entryd::EntryDaemon;
use dunlinspring::settings::EntrySettings;
use dunlinspring::{cli, daemon};

const PROGRAM: &str = "dunlinspring-entry";

#[ntex::main]
async fn main() {
    let start = cli::start::<EntrySettings>(PROGRAM, |settings| &settings.common);
    let entry = match EntryDaemon::start(start.settings, start.secret).await {
        Ok(entry) => entry,
        Err(error) => cli::fail(PROGRAM, error),
    };
    let addresses = [("callers", entry.callers), ("watch", entry.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    daemon::stop_signal().await;
    entry.stop().await;
    daemon::end_logs();
}
