//! The entry daemon: serves callers and operators.

use dunlinspring::entry::shell::EntryDaemon;
use dunlinspring::process::settings::EntrySettings;
use dunlinspring::process::{arguments, daemon};

const PROGRAM: &str = "dunlinspring-entry";

#[ntex::main]
async fn main() {
    let start = arguments::start::<EntrySettings>(PROGRAM, |settings| &settings.common);
    let entry = match EntryDaemon::start(start.settings, start.secret).await {
        Ok(entry) => entry,
        Err(error) => arguments::fail(PROGRAM, error),
    };
    let addresses = [("callers", entry.callers), ("watch", entry.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    daemon::stop_signal().await;
    entry.stop().await;
    daemon::flush_logs();
}
