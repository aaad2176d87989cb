//! The `contents` command: lists contents and prompt parts whose requests were running when replicas
//! crashed, and lifts the quarantine of one.

use crate::cli::{commands, control};
use crate::consensus::crashes::{ContentRecord, ContentStanding, CrashStore};
use crate::consensus::part_crashes::{PartRecord, PartStanding, PartStore};
use crate::consensus::state::{Command, Reply};
use crate::ids::{ContentDigest, ReplicaIncarnation};
use crate::process::peers::ControlLink;
use crate::process::wire::ControlWireClient;

/// `contents` and `contents lift DIGEST`: reads or changes the crash records of the log.
pub async fn contents(args: &[String]) -> Result<i32, String> {
    let matches = commands::parse(&control::options(), args)?;
    let link = control::link(&matches)?;
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => list(&link, matches.opt_present("json")).await,
        ["lift", digest] => lift(&link, digest).await,
        _ => Err("contents takes no argument, or lift DIGEST".to_owned()),
    }
}

async fn list(link: &ControlLink, as_json: bool) -> Result<i32, String> {
    let call = |client: ControlWireClient, context| async move { client.contents(context).await };
    let reply = link
        .call_leader("contents", control::LEADER_TIMEOUT, call)
        .await;
    let store = reply.map_err(|error| error.to_string())?;
    let call = |client: ControlWireClient, context| async move { client.parts(context).await };
    let reply = link
        .call_leader("parts", control::LEADER_TIMEOUT, call)
        .await;
    let parts = reply.map_err(|error| error.to_string())?;
    let rows = rows(&store).into_iter().map(ListRow::Content);
    let part_rows = part_rows(&parts).into_iter().map(ListRow::Part);
    let rows: Vec<ListRow> = rows.chain(part_rows).collect();
    match as_json {
        true => println!("{}", control::json(&rows)?),
        false => print!("{}{}", table(&store), part_table(&parts)),
    }
    Ok(0)
}

async fn lift(link: &ControlLink, text: &str) -> Result<i32, String> {
    let digest = ContentDigest::parse(text);
    let digest = digest.ok_or_else(|| format!("lift: '{text}' is not 32 hexadecimal digits"))?;
    let call = |client: ControlWireClient, context| async move {
        let command = Command::ContentLifted(digest);
        client.propose(context, command).await
    };
    let reply = link
        .call_leader("lift", control::LEADER_TIMEOUT, call)
        .await;
    match reply.map_err(|error| error.to_string())? {
        (_, Reply::Lifted(true)) => {
            println!("{digest} may be sent again; one more crash bars it");
            Ok(0)
        }
        _ => Err(format!("lift: {digest} is not barred")),
    }
}

/// Row of either table.
#[derive(serde::Serialize)]
#[serde(untagged)]
enum ListRow {
    Content(ContentRow),
    Part(PartRow),
}

/// Row of the `contents` table.
#[derive(serde::Serialize)]
struct ContentRow {
    content: String,
    state: &'static str,
    crashes: Vec<String>,
    last_ms: u64,
}

impl ContentRow {
    fn new(content: &ContentDigest, record: &ContentRecord) -> Self {
        Self {
            content: content.to_string(),
            state: match ContentStanding::of(record.count()) {
                ContentStanding::Barred => "barred",
                _ => "suspect",
            },
            crashes: record
                .crashes
                .iter()
                .map(ReplicaIncarnation::to_string)
                .collect(),
            last_ms: record.last_ms,
        }
    }
}

/// Returns the contents, those with the most crashes first.
fn rows(store: &CrashStore) -> Vec<ContentRow> {
    let records = store.records().iter();
    let mut rows: Vec<ContentRow> = records
        .map(|(id, record)| ContentRow::new(id, record))
        .collect();
    rows.sort_by_key(|row| (std::cmp::Reverse(row.crashes.len()), row.last_ms));
    rows
}

/// Formats one line per content.
pub fn table(store: &CrashStore) -> String {
    let mut text = format!(
        "{:<32} {:<8} {:>14} replicas that crashed while running it\n",
        "content", "state", "last, ms"
    );
    for row in rows(store) {
        let incarnations = row.crashes.join(" ");
        let (content, state, last_ms) = (&row.content, row.state, row.last_ms);
        text.push_str(&format!(
            "{content:<32} {state:<8} {last_ms:>14} {incarnations}\n"
        ));
    }
    text
}

/// Row of the table of prompt parts.
#[derive(serde::Serialize)]
struct PartRow {
    part: String,
    state: &'static str,
    crash_count: u32,
    sound_runs: u32,
    /// The latest crashes.
    crashes: Vec<String>,
    last_ms: u64,
}

impl PartRow {
    fn new(part: &ContentDigest, record: &PartRecord) -> Self {
        Self {
            part: part.to_string(),
            state: match record.standing() {
                PartStanding::Barred => "barred",
                PartStanding::Held => "held",
                PartStanding::Suspect => "suspect",
                PartStanding::Watched | PartStanding::Harmless => "watched",
            },
            crash_count: record.crashes(),
            sound_runs: record.sound(),
            crashes: record.known_crashes().map(ToString::to_string).collect(),
            last_ms: record.last_ms(),
        }
    }
}

/// Returns the prompt parts, those with the most crashes first.
fn part_rows(store: &PartStore) -> Vec<PartRow> {
    let records = store.records().iter();
    let mut rows: Vec<PartRow> = records
        .map(|(part, record)| PartRow::new(part, record))
        .collect();
    rows.sort_by_key(|row| (std::cmp::Reverse(row.crash_count), row.last_ms));
    rows
}

/// Formats one line per prompt part; empty if there is none.
pub fn part_table(store: &PartStore) -> String {
    let rows = part_rows(store);
    if rows.is_empty() {
        return String::new();
    }
    let mut text = format!(
        "\n{:<32} {:<8} {:>7} {:>6} {:>14} replicas that crashed as it began\n",
        "prompt part", "state", "crashes", "sound", "last, ms"
    );
    for row in rows {
        let incarnations = row.crashes.join(" ");
        let (part, state, crashes) = (&row.part, row.state, row.crash_count);
        let (sound, last_ms) = (row.sound_runs, row.last_ms);
        text.push_str(&format!(
            "{part:<32} {state:<8} {crashes:>7} {sound:>6} {last_ms:>14} {incarnations}\n"
        ));
    }
    text
}
