//! A voter whose disk is temporarily full, or slow.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use dunlinspring::consensus::raft::RaftTiming;
use dunlinspring::consensus::state::{Command, ConfigureResult, Reply};
use dunlinspring::control::bootstrap;
use dunlinspring::control::event::{ControlEvent, ControlHandle};
use dunlinspring::control::journal::{DiskCall, JournalError};
use dunlinspring::control::voter::ControlLoop;
use dunlinspring::ids::{HallName, HostName};
use dunlinspring::process::settings::{CommonSettings, ControlSettings, VoterSettings};
use dunlinspring::table::configuration::{Configuration, ConfigurationRecord};
use tempfile::TempDir;

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
