//! Subcommands of the `dunlinspring` program. Each returns the exit status, or an error that says
//! why it could not run.

use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::path::Path;
use std::time::Duration;

use getopts::{Matches, Options};
use ntex::client::{Client, ClientRequest};
use serde_json::{Value, json};

use crate::cli::demo::{self, DemoConfig, DemoSite, KEYS};
use crate::cli::explain_target;
use crate::cli::load::{self, LoadMix, LoadPlan, LoadReport};
use crate::ids::ReplicaId;
use crate::process::read_limit;
use crate::process::settings::{
    self, AgentSettings, ControlSettings, EntrySettings, ValidatedSettings,
};

/// Help text.
pub const USAGE: &str = "\
Usage: dunlinspring COMMAND [OPTIONS]

  table get [--csv]                  print the table
  table put ID --version N FILE      create (version 0) or replace a row
  table delete ID --version N        remove a row
  status                             control hosts and this entry
  accounts --control IP:PORT --secret-file FILE [--json]
                                     limits and usage of client accounts
  contents --control IP:PORT --secret-file FILE [--json]
                                     contents whose requests crashed replicas
  contents lift DIGEST --control IP:PORT --secret-file FILE
                                     allow a barred content to be sent again
  halls --control IP:PORT --secret-file FILE [--json]
                                     data halls, and which are evacuated
  halls evacuate NAME --control IP:PORT --secret-file FILE
  halls restore NAME --control IP:PORT --secret-file FILE
                                     stop or resume sending requests to a data hall
  versions --control IP:PORT --secret-file FILE [--json]
                                     software versions of each service
  explain ID FILE...                 timeline of a request, from the logs of all processes
  explain --day FILE...              counts of late, refused and lost requests
  explain --target ID [--lease-ms N] FILE...
                                     orders to a target, and rules they violate
  check --role ROLE FILE             check settings: control, entry, agent, load
  demo [--seconds N] [--seed N] [--json] [--serve]
                                     run a small complete site in one process
  load --mix FILE [--seconds N] [--seed N] [--json] [--check-standin]
                                     send a mix of requests, check the responses

table, status and load take --entry IP:PORT, and table and status --key-file FILE.";

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Default of `--lease-ms`: time after an order during which no other sender may send one.
const DEFAULT_LEASE_MS: u64 = 3_000;
const EXPLAIN_USAGE: &str =
    "explain ID FILE..., explain --day FILE..., or explain --target ID FILE...";

/// `explain`: prints the timeline of one request or of one target, or the tables of all requests.
pub fn explain(args: &[String]) -> CommandResult {
    if args.iter().any(|arg| is_target_option(arg)) {
        return explain_target(args);
    }
    let [id, files @ ..] = args else {
        return Err(EXPLAIN_USAGE.to_owned());
    };
    let text = read_logs(files)?;
    if id == "--day" {
        let tables = crate::cli::daily_summary::daily_summary(text.lines());
        println!("{}", tables.ok_or("no line records a request")?);
        return Ok(0);
    }
    let timeline = crate::cli::explain::explain(id, text.lines());
    for line in &timeline {
        println!("{line}");
    }
    match timeline.is_empty() {
        true => Err(format!("no line names request {id}")),
        false => Ok(0),
    }
}

fn is_target_option(arg: &str) -> bool {
    let name = arg.split('=').next().unwrap_or(arg);
    matches!(name, "--target" | "--lease-ms")
}

/// Prints the timeline of one target's orders. The exit status is 1 if there are findings.
fn explain_target(args: &[String]) -> CommandResult {
    let mut options = Options::new();
    options.reqopt("", "target", "a target's id", "ID");
    options.optopt("", "lease-ms", "time between orders of two senders", "N");
    let matches = parse(&options, args)?;
    let target = matches.opt_str("target").unwrap_or_default();
    let lease_ms = match number(&matches, "lease-ms", DEFAULT_LEASE_MS)? {
        0 => return Err("--lease-ms must be at least 1".to_owned()),
        lease_ms => lease_ms,
    };
    let files = &matches.free;
    if files.is_empty() {
        return Err(format!("explain --target {target}: no FILE to read"));
    }
    let text = read_logs(files)?;
    let target = ReplicaId(target);
    let timeline = explain_target::explain_target(&target, lease_ms, text.lines());
    let no_order = || {
        let files = files.join(", ");
        format!("--target: no line of {files} is about an order to '{target}'")
    };
    let timeline = timeline.ok_or_else(no_order)?;
    print!("{timeline}");
    Ok(i32::from(!timeline.findings.is_empty()))
}

/// Reads all files and concatenates their lines.
fn read_logs(files: &[String]) -> Result<String, String> {
    let mut text = String::new();
    for file in files {
        let read = std::fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        text.push_str(&String::from_utf8_lossy(&read));
        text.push('\n');
    }
    Ok(text)
}

type CommandResult = Result<i32, String>;

pub(super) fn parse(options: &Options, args: &[String]) -> Result<Matches, String> {
    options.parse(args).map_err(|error| error.to_string())
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, String> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: '{text}' is not a number")),
    }
}

fn entry_options() -> Options {
    let mut options = Options::new();
    options.reqopt("e", "entry", "an entry", "IP:PORT");
    options.reqopt("k", "key-file", "file with the operator's key", "FILE");
    options
}

struct EntryClient {
    client: Client,
    base: String,
    key: String,
}

impl EntryClient {
    async fn new(matches: &Matches) -> Result<Self, String> {
        let file = matches.opt_str("key-file").unwrap_or_default();
        let key = std::fs::read_to_string(&file).map_err(|error| format!("{file}: {error}"))?;
        Ok(Self {
            client: read_limit::client().await,
            base: format!("http://{}", matches.opt_str("entry").unwrap_or_default()),
            key: key.trim().to_owned(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Sends a request and prints the response. The exit status is 1 if the response is an error.
    async fn show(&self, call: ClientRequest, body: Option<String>) -> CommandResult {
        let call = call.bearer_auth(&self.key);
        let sent = match body {
            Some(body) => call.content_type("application/json").send_body(body).await,
            None => call.send().await,
        };
        let response = sent.map_err(|error| format!("{}: {error}", self.base))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| format!("{}: {error}", self.base))?;
        let text = String::from_utf8_lossy(&body);
        match serde_json::from_str::<Value>(&text) {
            Ok(value) => println!("{value:#}"),
            Err(_) => print!("{text}"),
        }
        Ok(if status.is_success() { 0 } else { 1 })
    }
}

/// `table get`, `put` and `delete`.
pub async fn table(args: &[String]) -> CommandResult {
    let mut options = entry_options();
    options.optflag("", "csv", "as comma-separated values");
    options.optopt("v", "version", "the row's version, 0 for a new row", "N");
    options.optopt(
        "i",
        "edit-id",
        "the edit's id; a resend must repeat it",
        "ID",
    );
    let matches = parse(&options, args)?;
    let call = EntryClient::new(&matches).await?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["get"] => {
            let form = match matches.opt_present("csv") {
                true => "text/csv",
                false => "application/json",
            };
            let request = call.client.get(call.url("/v1/table"));
            call.show(request.header("accept", form), None).await
        }
        ["put", id, file] => {
            let fields = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
            let request = call.client.put(call.url(&format!("/v1/table/rows/{id}")));
            call.show(edit_headers(request, &matches)?, Some(fields))
                .await
        }
        ["delete", id] => {
            let request = call
                .client
                .delete(call.url(&format!("/v1/table/rows/{id}")));
            call.show(edit_headers(request, &matches)?, None).await
        }
        _ => Err(format!("table get, put ID FILE or delete ID\n{USAGE}")),
    }
}

fn edit_headers(call: ClientRequest, matches: &Matches) -> Result<ClientRequest, String> {
    let version = matches.opt_str("version").ok_or("--version is missing")?;
    let fresh = || format!("{:032x}", rand::random::<u128>());
    let id = matches.opt_str("edit-id").unwrap_or_else(fresh);
    eprintln!("edit id {id}");
    Ok(call
        .header("if-match", version)
        .header("idempotency-key", id))
}

/// `status`.
pub async fn status(args: &[String]) -> CommandResult {
    let matches = parse(&entry_options(), args)?;
    let call = EntryClient::new(&matches).await?;
    let request = call.client.get(call.url("/v1/status"));
    call.show(request, None).await
}

/// `check`: prints the effective settings.
pub fn check(args: &[String]) -> CommandResult {
    let mut options = Options::new();
    options.reqopt("r", "role", "control, entry, agent or load", "ROLE");
    let matches = parse(&options, args)?;
    let [file] = matches.free.as_slice() else {
        return Err("check takes one file".to_owned());
    };
    let path = Path::new(file);
    match matches.opt_str("role").as_deref() {
        Some("control") => print_settings::<ControlSettings>(path),
        Some("entry") => print_settings::<EntrySettings>(path),
        Some("agent") => print_settings::<AgentSettings>(path),
        Some("load") => print_settings::<LoadMix>(path),
        _ => Err("--role is control, entry, agent or load".to_owned()),
    }
}

fn print_settings<S: ValidatedSettings>(path: &Path) -> CommandResult {
    let settings: S = settings::load(path).map_err(|error| error.to_string())?;
    println!("{}", settings::show(&settings));
    Ok(0)
}

/// `load`.
pub async fn load(args: &[String]) -> CommandResult {
    let mut options = Options::new();
    options.reqopt("e", "entry", "entries, separated by commas", "IP:PORT");
    options.reqopt("m", "mix", "request mix, JSON with comments", "FILE");
    options.optopt("", "seconds", "duration of the run", "N");
    options.optopt("", "seed", "seed of arrivals", "N");
    options.optflag("", "json", "as JSON");
    options.optflag(
        "",
        "check-standin",
        "compare texts with those of the stand-in",
    );
    let matches = parse(&options, args)?;
    let path = matches.opt_str("mix").unwrap_or_default();
    let mix = load::load_mix(Path::new(&path)).map_err(|error| error.to_string())?;
    let entries = matches.opt_str("entry").unwrap_or_default();
    let report = load::run(LoadPlan {
        entries: entries.split(',').map(str::to_owned).collect(),
        mix,
        seconds: number(&matches, "seconds", 10.0)?,
        seed: number(&matches, "seed", 1)?,
        check_standin_text: matches.opt_present("check-standin"),
    })
    .await;
    match matches.opt_present("json") {
        true => println!("{:#}", report.json()),
        false => print!("{}", report.text()),
    }
    for violation in &report.violations {
        eprintln!("broken: {violation}");
    }
    Ok(i32::from(!report.violations.is_empty()))
}

/// `demo`.
pub async fn demo(args: &[String]) -> CommandResult {
    let mut options = Options::new();
    options.optopt("", "seconds", "time during which requests are sent", "N");
    options.optopt("", "seed", "seed of arrivals", "N");
    options.optflag("", "json", "as JSON");
    options.optflag("", "serve", "print addresses and run until stopped");
    let matches = parse(&options, args)?;
    let seconds: f64 = number(&matches, "seconds", 10.0)?;
    let seed = number(&matches, "seed", 1)?;
    let site = DemoSite::start(DemoConfig::default()).await;
    let site = site.map_err(|error| error.to_string())?;
    if matches.opt_present("serve") {
        serve(&site).await;
        site.clean_up();
        return Ok(0);
    }
    let plan = LoadPlan {
        entries: site.entries.iter().map(ToString::to_string).collect(),
        mix: demo::mix(1.0),
        seconds,
        seed,
        check_standin_text: true,
    };
    let before = site.moves().await;
    let disturbance = async {
        tokio::time::sleep(Duration::from_secs_f64(seconds * 0.3)).await;
        let edits = edit_rows(&site, seconds * 0.3).await;
        site.kill_engine("t0").await;
        edits
    };
    let (report, edits, ()) = futures::join!(load::run(plan), disturbance, show_progress(seconds));
    let moves = site.moves().await - before;
    let violations = find_violations(&site, &report);
    print_demo(
        &site,
        &report,
        &violations,
        edits,
        moves,
        matches.opt_present("json"),
    );
    site.clean_up();
    Ok(i32::from(!violations.is_empty()))
}

async fn serve(site: &DemoSite) {
    for (entry, address) in site.entries.iter().enumerate() {
        println!("entry {entry}: http://{address}");
    }
    let (_, caller, operator) = KEYS[0];
    let at = site.entries[0];
    println!("curl -N http://{at}/v1/completions -H 'authorization: Bearer {caller}' \\");
    println!("  -H 'x-request-class: filing-review' -H 'content-type: application/json' \\");
    println!("  -d '{{\"model\":\"m0\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}}'");
    println!("curl http://{at}/v1/table -H 'authorization: Bearer {operator}'");
    crate::process::daemon::stop_signal().await;
}

async fn show_progress(seconds: f64) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    for second in 0..seconds as u64 {
        eprint!("\r{second} of {seconds} s ");
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
    eprintln!("\rwaiting for the last responses");
}

/// Edits each row as its partner while requests run. Returns the number of edits accepted.
async fn edit_rows(site: &DemoSite, seconds: f64) -> usize {
    let Some(table) = site.table().await else {
        return 0;
    };
    let mut edits = 0;
    for row in table["rows"].as_array().into_iter().flatten() {
        let (Some(id), Some(version)) = (row["id"].as_str(), row["version"].as_u64()) else {
            continue;
        };
        let partner = KEYS.iter().position(|(name, _, _)| row["partner"] == *name);
        let mut fields = row["fields"].clone();
        fields["weight"] = json!(20);
        let edit = site
            .put_row(partner.unwrap_or(0), id, version, &fields)
            .await;
        edits += usize::from(edit.is_ok());
        tokio::time::sleep(Duration::from_secs_f64(seconds / 20.0)).await;
    }
    edits
}

/// Compares the outcomes reported to callers with the records of the targets.
pub fn find_violations(site: &DemoSite, report: &LoadReport) -> Vec<String> {
    let mut violations = report.violations.clone();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (name, record) in site.engine_records() {
        if record.overcommits > 0 {
            violations.push(format!(
                "{name}: memory was overcommitted {} times",
                record.overcommits
            ));
        }
        for run in record.runs {
            *runs.entry(run.prompt).or_default() += 1;
        }
    }
    for call in site.service_record() {
        *runs.entry(call.body).or_default() += 1;
    }
    let once: BTreeSet<&str> = ["notice-draft", "timestamp-seal"].into();
    for request in &report.records {
        let count = runs.get(&request.prompt).copied().unwrap_or(0);
        let violation = match request.outcome.as_str() {
            "not-run" if count > 0 => Some("reported as not run, but ran"),
            "done" if count == 0 => Some("reported as done, but no target ran it"),
            _ if once.contains(request.class.as_str()) && count > 1 => Some("ran more than once"),
            _ => None,
        };
        if let Some(violation) = violation {
            violations.push(format!(
                "{}: {violation}: {}",
                request.class, request.prompt
            ));
        }
    }
    violations
}

fn print_demo(
    site: &DemoSite,
    report: &LoadReport,
    violations: &[String],
    edits: usize,
    moves: u64,
    as_json: bool,
) {
    let per_accelerator = report.within() as f64 / site.accelerators() as f64;
    if as_json {
        let mut value = report.json();
        value["edits"] = json!(edits);
        value["moves"] = json!(moves);
        value["attained_per_accelerator"] = json!(per_accelerator);
        value["broken"] = json!(violations);
        println!("{value:#}");
        return;
    }
    print!("{}", report.text());
    println!("edits accepted during the run: {edits}; one engine was killed");
    println!("done before their deadlines, per accelerator: {per_accelerator:.1}");
    println!("moves: {moves}");
    match violations {
        [] => println!("every response agrees with the records of the targets"),
        lines => lines.iter().for_each(|line| println!("broken: {line}")),
    }
}
