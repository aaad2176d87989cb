//! The thread that writes a voter's records, so that the voter goes on while its disk is slow.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::clock;
use crate::consensus::raft::DiskRecord;
use crate::consensus::write_queue::WriteBatch;
use crate::control::journal::{DiskCheck, DiskJournal, JournalError};
use crate::ids::NodeId;
use crate::process::daemon;

/// Delay before a write to a full disk is retried.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Duration of a write from which it is logged, in milliseconds.
const SLOW_WRITE_MS: u64 = 100;

/// Progress of the writes.
#[derive(Debug)]
pub enum WriteProgress {
    /// All batches up to this number are on disk.
    Saved(u64),
    /// The disk is full; the write is retried until it has free space.
    DiskFull,
    /// The disk failed, and nothing more is written.
    Failed(JournalError),
}

/// Writes batches of records in order, those that queue up with one sync.
pub struct LogWriter {
    node: NodeId,
    /// The journal, until the thread starts.
    journal: Option<DiskJournal>,
    thread: Option<WriterThread>,
}

struct WriterThread {
    batches: Sender<WriteBatch>,
    progress: Receiver<WriteProgress>,
    handle: JoinHandle<()>,
}

impl LogWriter {
    /// Creates a writer whose thread is not started yet.
    pub fn new(journal: DiskJournal) -> Self {
        Self {
            node: journal.identity().node,
            journal: Some(journal),
            thread: None,
        }
    }

    /// Returns the identity of the disk.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Installs a check of each call on the disk, for tests of failing disks. Has no effect once the
    /// thread is started.
    pub fn set_disk_check(&mut self, disk_check: DiskCheck) {
        if let Some(journal) = &mut self.journal {
            journal.set_disk_check(disk_check);
        }
    }

    /// Starts the thread.
    pub fn start(&mut self) {
        let Some(journal) = self.journal.take() else {
            return;
        };
        let (batches, inbox) = mpsc::channel();
        let (outbox, progress) = mpsc::channel();
        let handle = thread::spawn(move || {
            daemon::enter_log_span();
            if let Err(error) = write_batches(journal, &inbox, &outbox) {
                let _ = outbox.send(WriteProgress::Failed(error));
            }
        });
        self.thread = Some(WriterThread {
            batches,
            progress,
            handle,
        });
    }

    /// Hands over a batch.
    pub fn write(&self, batch: WriteBatch) {
        if let Some(thread) = &self.thread {
            let _ = thread.batches.send(batch);
        }
    }

    /// Waits up to `wait` for progress; `None` if there is none by then.
    pub fn progress(&self, wait: Duration) -> Option<WriteProgress> {
        let thread = self.thread.as_ref()?;
        match thread.progress.recv_timeout(wait) {
            Ok(progress) => Some(progress),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                unreachable!("the thread reports its failure before it ends")
            }
        }
    }
}

impl Drop for LogWriter {
    /// Waits until all batches are written: the folder may be opened again at once.
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            drop(thread.batches);
            drop(thread.progress);
            let _ = thread.handle.join();
        }
    }
}

/// Writes batches until the voter ends.
fn write_batches(
    mut journal: DiskJournal,
    inbox: &Receiver<WriteBatch>,
    outbox: &Sender<WriteProgress>,
) -> Result<(), JournalError> {
    while let Ok(first) = inbox.recv() {
        let mut number = first.number;
        let mut records = first.records;
        for batch in inbox.try_iter() {
            number = batch.number;
            records.extend(batch.records);
        }
        let began_ms = clock::monotonic_ms();
        if save(&mut journal, &records, outbox)? == Saving::VoterEnded {
            return Ok(());
        }
        let write_ms = clock::monotonic_ms().saturating_sub(began_ms);
        if write_ms >= SLOW_WRITE_MS {
            let records = records.len();
            tracing::info!(write_ms, records, "slow write of the log");
        }
        // A voter that has ended still has its last batches written.
        let _ = outbox.send(WriteProgress::Saved(number));
    }
    journal.close()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Saving {
    Done,
    /// The disk is full, and the voter no longer waits for the write.
    VoterEnded,
}

/// Saves all records, and retries while the disk is full.
fn save(
    journal: &mut DiskJournal,
    records: &[DiskRecord],
    outbox: &Sender<WriteProgress>,
) -> Result<Saving, JournalError> {
    let mut left = records;
    let mut full_since_ms = None;
    while !left.is_empty() {
        match journal.save_prefix(left) {
            Ok(saved) => left = &left[saved..],
            Err(error) if error.is_full() => {
                if full_since_ms.is_none() {
                    tracing::warn!(%error, "disk is full; the voter waits for free space");
                    full_since_ms = Some(clock::monotonic_ms());
                }
                if outbox.send(WriteProgress::DiskFull).is_err() {
                    return Ok(Saving::VoterEnded);
                }
                thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            Err(error) => return Err(error),
        }
    }
    if let Some(since_ms) = full_since_ms {
        let waited_ms = clock::monotonic_ms() - since_ms;
        tracing::info!(waited_ms, "disk has free space again");
    }
    Ok(Saving::Done)
}
