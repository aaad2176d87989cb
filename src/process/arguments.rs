//! Command line of the daemons.

use std::path::PathBuf;
use std::process::exit;

use getopts::Options;

use crate::process::daemon::{self, START_FAILED};
use crate::process::peers::SiteSecret;
use crate::process::settings::{self, CommonSettings, ValidatedSettings};

/// Parsed command line and settings of a daemon.
pub struct DaemonStart<S> {
    /// The checked settings.
    pub settings: S,
    /// The site's secret.
    pub secret: SiteSecret,
    /// File for the listening addresses, including ports that the system chose.
    pub announce: Option<PathBuf>,
    /// `--found` was given: bootstrap the site and exit.
    pub bootstrap: bool,
}

/// Exits the process because its start failed for this reason.
pub fn fail(program: &str, reason: impl std::fmt::Display) -> ! {
    daemon::log_failure(&reason);
    eprintln!("{program}: {reason}");
    exit(START_FAILED)
}

/// Reads the command line and the settings of a daemon, and initializes its logs.
pub fn start<S: ValidatedSettings>(
    program: &str,
    common: fn(&S) -> &CommonSettings,
) -> DaemonStart<S> {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file, JSON with comments", "FILE");
    options.optopt(
        "a",
        "announce",
        "write the chosen addresses to this file",
        "FILE",
    );
    options.optflag(
        "",
        "found",
        "bootstrap the site in an empty data folder, and exit",
    );
    options.optflag("h", "help", "show this text");
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        println!(
            "{}",
            options.usage(&format!("Usage: {program} --settings FILE"))
        );
        exit(0);
    }
    let matches = match options.parse(&args) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => fail(
            program,
            format!("unexpected argument '{}'", matches.free[0]),
        ),
        Err(error) => fail(program, error),
    };
    let path = PathBuf::from(matches.opt_str("settings").unwrap_or_default());
    let settings: S = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => fail(program, error),
    };
    let shared = common(&settings);
    let secret = match settings::load_secret(&shared.secret_file) {
        Ok(secret) => secret,
        Err(error) => fail(program, error),
    };
    daemon::init_logging(&shared.log, program, &shared.host, &shared.hall);
    DaemonStart {
        secret,
        announce: matches.opt_str("announce").map(PathBuf::from),
        bootstrap: matches.opt_present("found"),
        settings,
    }
}
