//! Control hosts whose disk is temporarily full, slow or fails, and one whose thread panics at it.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use dunlinspring::consensus::raft::RaftTiming;
use dunlinspring::consensus::state::{Command, ConfigureResult, Reply};
use dunlinspring::control::bootstrap;
use dunlinspring::control::event::{ControlEvent, ControlHandle};
use dunlinspring::control::journal::{DataFolder, DiskCall, DiskCheck, JournalError};
use dunlinspring::control::shell::{ControlDaemon, StartKind};
use dunlinspring::control::voter::ControlLoop;
use dunlinspring::ids::{HallName, HostName};
use dunlinspring::process::daemon::DaemonError;
use dunlinspring::process::peers::{self, ControlLink};
use dunlinspring::process::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::process::wire::ControlWireClient;
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord};
use tempfile::TempDir;
use tokio::net::TcpListener;

mod support_control;
use support_control::{leader_of, listeners, secret, status_where, until};

/// Number of writes that the disk refuses.
const REFUSED_WRITES: u32 = 3;

fn settings(folder: &TempDir) -> ControlSettings {
    let address = "127.0.0.1:1".parse().unwrap();
    let host = HostName("c1".to_owned());
    ControlSettings {
        common: CommonSettings {
            host: host.clone(),
            hall: HallName::from("here"),
            listen: address,
            watch: address,
            control: vec![VoterSettings { host, address }],
            secret_file: PathBuf::new(),
            log: Default::default(),
        },
        data_folder: folder.path().to_owned(),
        timing: RaftTiming {
            election_ms: 50,
            heartbeat_ms: 10,
        },
        duties: Default::default(),
        compact_after: 400,
        platform_url: None,
        open_membership: false,
        bearable_losses: 1,
        fleet: Default::default(),
        site: Default::default(),
    }
}

fn configuration(version: u64) -> Command {
    let configuration = Configuration {
        version,
        ..Configuration::default()
    };
    let record = ConfigurationRecord {
        configuration: configuration.into(),
        source: Default::default(),
    };
    Command::Configure(Box::new(record))
}

/// Proposes a command until the voter commits it.
async fn commit(voter: &RunningVoter, command: &Command) -> Reply {
    loop {
        assert!(!voter.thread.is_finished(), "the voter has ended");
        let propose = |answer| ControlEvent::Propose(command.clone(), answer);
        if let Ok((_, reply)) = voter.handle.request(propose).await {
            return reply;
        }
        tokio::task::yield_now().await;
    }
}

struct RunningVoter {
    handle: ControlHandle,
    thread: JoinHandle<Result<(), JournalError>>,
}

fn start(voter: ControlLoop) -> RunningVoter {
    let (events, inbox) = std::sync::mpsc::channel();
    let handle = ControlHandle(events);
    let thread = thread::spawn(move || voter.run(inbox));
    RunningVoter { handle, thread }
}

/// On the users' platform, a full disk ended the process, which was restarted and ended again.
#[tokio::test]
async fn a_voter_waits_until_its_disk_has_free_space() {
    let folder = TempDir::new().unwrap();
    let settings = settings(&folder);
    bootstrap::bootstrap(&settings).unwrap();
    let mut voter = ControlLoop::open(settings).unwrap();
    let full = Arc::new(AtomicU32::new(0));
    let left = full.clone();
    let refuse =
        move || left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    voter.set_disk_check(Arc::new(move |call| match call {
        DiskCall::Append(..) if refuse().is_ok() => Err(ErrorKind::StorageFull.into()),
        _ => Ok(()),
    }));
    let voter = start(voter);
    let held = Reply::Configured(ConfigureResult::Held);
    assert_eq!(commit(&voter, &configuration(1)).await, held);
    full.store(REFUSED_WRITES, Ordering::SeqCst);
    assert_eq!(commit(&voter, &configuration(2)).await, held);
    assert_eq!(full.load(Ordering::SeqCst), 0, "the disk was not full");
    drop(voter.handle);
    voter.thread.join().unwrap().unwrap();
}

/// A disk may take longer for a write than a voter waits before it stands for election.
#[tokio::test]
async fn a_voter_whose_disk_is_slow_still_leads() {
    let folder = TempDir::new().unwrap();
    let settings = settings(&folder);
    let slow = Duration::from_millis(3 * settings.timing.election_ms);
    bootstrap::bootstrap(&settings).unwrap();
    let mut voter = ControlLoop::open(settings).unwrap();
    voter.set_disk_check(Arc::new(move |call| {
        if let DiskCall::Append(..) = call {
            thread::sleep(slow);
        }
        Ok(())
    }));
    let voter = start(voter);
    let held = Reply::Configured(ConfigureResult::Held);
    assert_eq!(commit(&voter, &configuration(1)).await, held);
    drop(voter.handle);
    voter.thread.join().unwrap().unwrap();
}

/// Returns a data folder on a disk that refuses calls, and the number of calls that it still refuses.
fn refusing_folder(path: &Path, code: i32) -> (DataFolder, Arc<AtomicU32>) {
    let left = Arc::new(AtomicU32::new(REFUSED_WRITES));
    let check_left = left.clone();
    let refuse =
        move || check_left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    let folder = DataFolder::checked(
        path,
        Arc::new(move |call| match call {
            DiskCall::Create(_) | DiskCall::Append(..) if refuse().is_ok() => {
                Err(io::Error::from_raw_os_error(code))
            }
            _ => Ok(()),
        }),
    );
    (folder, left)
}

/// Starts a control host on a disk that refuses its first calls with this error.
async fn start_on_refusing_disk(
    path: &Path,
    code: i32,
    kind: StartKind,
    listener: TcpListener,
) -> ControlDaemon {
    let own = listener.local_addr().unwrap();
    let (folder, left) = refusing_folder(&path.join(own.port().to_string()), code);
    let settings = support_control::settings(path, own, &[own]);
    let started = ControlDaemon::start_in(folder, kind, listener, settings, secret()).await;
    assert_eq!(left.load(Ordering::SeqCst), 0, "the disk refused nothing");
    started.unwrap()
}

/// It ended at each start while the disk was full.
#[ntex::test]
async fn a_host_whose_disk_is_full_at_its_first_start_waits_for_room() {
    let folder = TempDir::new().unwrap();
    let (listener, _) = listeners(1).await.remove(0);
    let (path, kind) = (folder.path(), StartKind::First);
    let daemon = start_on_refusing_disk(path, libc::ENOSPC, kind, listener).await;
    leader_of(std::slice::from_ref(&daemon)).await;
    daemon.stop().await;
}

/// A host that other hosts have counted among the founders, and that does not know it after a restart,
/// would be missing among the voters.
#[ntex::test]
async fn a_host_tells_nobody_that_it_keeps_the_log_before_its_first_start_is_recorded() {
    let folder = TempDir::new().unwrap();
    let (listener, own) = listeners(1).await.remove(0);
    let (data_folder, left) = refusing_folder(&folder.path().join("data"), libc::ENOSPC);
    left.store(u32::MAX, Ordering::SeqCst);
    let settings = support_control::settings(folder.path(), own, &[own]);
    let kind = StartKind::First;
    let started = ControlDaemon::start_in(data_folder, kind, listener, settings, secret());
    let started = ntex::rt::spawn(started);
    until("a call that the disk refuses", async || {
        (left.load(Ordering::SeqCst) < u32::MAX).then_some(())
    })
    .await;
    let link = ControlLink::new(secret(), Vec::new());
    let context = peers::within(Duration::from_millis(300));
    let call = |client: ControlWireClient| async move { client.keeps_log(context).await };
    let told = link.call_at(&own.to_string(), "keeps_log", call).await;
    assert!(told.is_err(), "told {told:?}");
    left.store(0, Ordering::SeqCst);
    let daemon = started.await.unwrap().unwrap();
    leader_of(std::slice::from_ref(&daemon)).await;
    daemon.stop().await;
}

/// It ended at each start for as long as the disk refused to write.
#[ntex::test]
async fn a_host_whose_disk_fails_at_its_start_waits_for_it() {
    let folder = TempDir::new().unwrap();
    let (listener, _) = listeners(1).await.remove(0);
    let (path, kind) = (folder.path(), StartKind::First);
    let daemon = start_on_refusing_disk(path, libc::EIO, kind, listener).await;
    leader_of(std::slice::from_ref(&daemon)).await;
    daemon.stop().await;
}

/// Starts a control host that has founded its site, on a disk with this check, and returns the error
/// with which its voter ends.
async fn end_of_voter(disk_check: DiskCheck) -> DaemonError {
    let folder = TempDir::new().unwrap();
    let (listener, own) = listeners(1).await.remove(0);
    let settings = support_control::settings(folder.path(), own, &[own]);
    bootstrap::bootstrap(&settings).unwrap();
    let data_folder = DataFolder::checked(&settings.data_folder, disk_check);
    let kind = StartKind::Later;
    let started = ControlDaemon::start_in(data_folder, kind, listener, settings, secret());
    started.await.unwrap().ended().await.unwrap_err()
}

/// What the disk holds after a sync that failed is not known, so the voter may say nothing more.
#[ntex::test]
async fn a_voter_whose_sync_failed_ends() {
    let has_appended = AtomicBool::new(false);
    let check = move |call: DiskCall<'_>| match call {
        DiskCall::Append(..) => {
            has_appended.store(true, Ordering::SeqCst);
            Ok(())
        }
        DiskCall::SyncFile(_) if has_appended.load(Ordering::SeqCst) => {
            Err(io::Error::from_raw_os_error(libc::EIO))
        }
        _ => Ok(()),
    };
    let error = end_of_voter(Arc::new(check)).await;
    assert!(error.to_string().contains("cannot sync"), "{error}");
}

/// Setting damaged files aside needs room: the host ended at each start while the disk was full.
#[ntex::test]
async fn a_host_with_damaged_files_on_a_full_disk_waits_for_room() {
    let folder = TempDir::new().unwrap();
    let (listener, own) = listeners(1).await.remove(0);
    let settings = support_control::settings(folder.path(), own, &[own]);
    bootstrap::bootstrap(&settings).unwrap();
    fs::write(settings.data_folder.join("snapshot"), "damaged").unwrap();
    let (path, kind) = (folder.path(), StartKind::Later);
    let daemon = start_on_refusing_disk(path, libc::ENOSPC, kind, listener).await;
    let enrols = status_where(&daemon, "a new disk", |status| status.voters.is_empty());
    enrols.await;
    assert!(settings.data_folder.join("snapshot.damaged").exists());
    daemon.stop().await;
}

/// Its process ended with status 0, as after a planned stop.
#[ntex::test]
async fn a_voter_that_panics_ends_its_process_with_an_error() {
    let check = |call: DiskCall<'_>| match call {
        DiskCall::Append(..) => panic!("a test"),
        _ => Ok(()),
    };
    let error = end_of_voter(Arc::new(check)).await;
    assert_eq!(error.to_string(), "thread voter panicked");
}
