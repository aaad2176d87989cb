//! The agent daemon: manages one target.

use dunlinspring::agent::shell::AgentDaemon;
use dunlinspring::process::settings::AgentSettings;
use dunlinspring::process::{arguments, daemon};

const PROGRAM: &str = "dunlinspring-agent";

#[ntex::main]
async fn main() {
    let start = arguments::start::<AgentSettings>(PROGRAM, |settings| &settings.common);
    let agent = match AgentDaemon::start(start.settings, start.secret).await {
        Ok(agent) => agent,
        Err(error) => arguments::fail(PROGRAM, error),
    };
    let addresses = [("listen", agent.address), ("watch", agent.watch)];
    daemon::announce(start.announce.as_deref(), &addresses);
    daemon::stop_signal().await;
    agent.stop().await;
    daemon::flush_logs();
}
