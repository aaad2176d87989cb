//! Options and connection shared by the commands that query the leader through a control host.

use std::time::Duration;

use getopts::{Matches, Options};
use serde::Serialize;

use crate::process::pages;
use crate::process::peers::ControlLink;
use crate::process::settings;
use crate::routing::view::SiteView;

/// Time limit of a call to the leader, over all attempts.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the options shared by these commands.
pub(super) fn options() -> Options {
    let mut options = Options::new();
    options.reqopt("c", "control", "a control host", "IP:PORT");
    options.reqopt("s", "secret-file", "file with the site's secret", "FILE");
    options.optflag("j", "json", "print JSON");
    options
}

/// Creates a link to the control host named by the options.
pub(super) fn link(matches: &Matches) -> Result<ControlLink, String> {
    let file = matches.opt_str("secret-file").unwrap_or_default();
    let secret = settings::load_secret(file.as_ref()).map_err(|error| error.to_string())?;
    let control = matches.opt_str("control").unwrap_or_default();
    Ok(ControlLink::new(secret, vec![control]))
}

/// Reads the whole state that members follow, as the leader has it.
pub(super) async fn read_view(link: &ControlLink) -> Result<SiteView, String> {
    let page = pages::read_newest(link, LEADER_TIMEOUT).await;
    let page = page.map_err(|error| error.to_string())?;
    let mut view = SiteView::default();
    view.follow(&page);
    Ok(view)
}

/// Formats a value as indented JSON.
pub(super) fn json(value: &impl Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|error| error.to_string())
}
