//! Files of a voter: an append-only log of records, and the latest snapshot.
//!
//! Each batch of the log begins with a sync mark, which states that all bytes before it were
//! synced. A power loss may keep any part of the writes since the last sync, so a frame that
//! cannot be read begins the unsynced tail, which is cut. If a sync mark follows, the frame was
//! synced before and is corrupted, and the folder is not opened.

mod data_folder;
mod error;
mod frames;
mod set_aside;
mod sync_marks;

use std::collections::VecDeque;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, BufWriter, Read, Seek, SeekFrom, Write};
use std::iter;
use std::path::Path;

use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

pub use self::data_folder::{DataFolder, DiskCall, DiskCheck};
pub use self::error::JournalError;
pub use self::set_aside::{damaged_files, set_aside_damage};

use self::data_folder::DataFile;
use self::error::{IoSnafu, Result, damage_error};
use self::frames::{BUFFER_BYTES, Frame, FrameReader, frame_len, read_framed, write_frame};
use self::sync_marks::{has_sync_mark, sync_mark, sync_mark_len, synced_len};
use crate::consensus::raft::{DiskImage, DiskRecord, LogSnapshot};
use crate::ids::{NodeId, Position, Term};
use crate::process::settings::VoterSettings;

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const FIRST_START_FILE: &str = "first-start";

/// Identity of a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Created once for each folder, so that a new disk never votes under the identity of a
    /// lost one.
    pub node: NodeId,
}

/// Open files of one voter.
pub struct DiskJournal {
    folder: DataFolder,
    log: DataFile,
    identity: DiskIdentity,
    contents: LogContents,
}

impl fmt::Debug for DiskJournal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DiskJournal")
            .field("folder", &self.folder.path())
            .field("identity", &self.identity)
            .field("written", &self.contents.len)
            .finish_non_exhaustive()
    }
}

/// Returns whether a data folder holds neither a snapshot nor a log record.
pub fn is_blank(folder: &Path) -> bool {
    let len = |name: &str| fs::metadata(folder.join(name)).map_or(0, |data| data.len());
    len(SNAPSHOT_FILE) == 0 && len(LOG_FILE) <= sync_mark_len()
}

/// Records in a blank folder that its host takes part in the site's first start, with the
/// control hosts that were configured then. After a restart the host can no longer tell that this
/// was the first start, and may have other hosts in its settings.
pub fn begin_first_start(
    folder: impl Into<DataFolder>,
    configured: &[VoterSettings],
) -> Result<()> {
    let folder = folder.into();
    folder.make()?;
    folder.replace(FIRST_START_FILE, |writer| write_frame(writer, &configured))
}

/// Returns what [`begin_first_start`] recorded, as long as the folder holds no log and no
/// identity other than `bootstrap_id`. A log means that the host has bootstrapped the site;
/// another identity, that it has requested to join it.
pub fn unfinished_first_start(
    folder: impl Into<DataFolder>,
    bootstrap_id: NodeId,
) -> Result<Option<Vec<VoterSettings>>> {
    let folder = folder.into();
    let identity = read_framed::<DiskIdentity>(&folder, IDENTITY_FILE)?;
    let unfinished =
        is_blank(folder.path()) && identity.is_none_or(|known| known.node == bootstrap_id);
    match unfinished {
        true => read_framed(&folder, FIRST_START_FILE),
        false => Ok(None),
    }
}

impl DiskJournal {
    /// Opens a data folder, or creates it: with `bootstrap_id` as its identity at the bootstrap of
    /// the site, otherwise with a random one.
    pub fn open(
        folder: impl Into<DataFolder>,
        bootstrap_id: Option<NodeId>,
    ) -> Result<(Self, DiskImage)> {
        let folder = folder.into();
        folder.make()?;
        let identity = load_identity(&folder, bootstrap_id)?;
        let mut image = DiskImage::default();
        load_snapshot(&folder.file(SNAPSHOT_FILE), &mut image)?;
        let contents = load_log(&folder.file(LOG_FILE), &mut image)?;
        let log = folder.open_append(LOG_FILE)?;
        log.truncate(contents.len)?;
        log.sync()?;
        folder.sync()?;
        let mut journal = Self {
            folder,
            log,
            identity,
            contents,
        };
        journal.mark_synced()?;
        Ok((journal, image))
    }

    /// Ends the use of the folder. Damage of the log shows at its next use, also in the last batch.
    pub fn close(mut self) -> Result<()> {
        self.mark_synced()
    }

    /// Marks the end of the log as synced, if it is not; every log begins with a mark. One that a
    /// full disk refuses is written with the next batch.
    fn mark_synced(&mut self) -> Result<()> {
        if !self.contents.is_unmarked() && self.contents.len == self.contents.marked {
            return Ok(());
        }
        match self.append(&[]) {
            Err(error) if error.is_full() => Ok(()),
            result => result,
        }
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> DiskIdentity {
        self.identity
    }

    /// Returns the length of the log file in bytes.
    pub fn written(&self) -> u64 {
        self.contents.len
    }

    /// Installs a check of each call on the disk, for tests of failing disks.
    pub fn set_disk_check(&mut self, disk_check: DiskCheck) {
        self.folder.set_check(disk_check.clone());
        self.log.set_check(disk_check);
    }

    /// Writes and syncs records. Once this returns, they survive a crash.
    ///
    /// After an error the content of the files is unknown and the voter must stop, unless the
    /// disk is full. Then the records that were saved before remain, and none of the others is
    /// kept.
    pub fn save(&mut self, records: &[DiskRecord]) -> Result<()> {
        let mut left = records;
        while !left.is_empty() {
            let saved = self.save_prefix(left)?;
            left = &left[saved..];
        }
        Ok(())
    }

    /// Saves at least one of the records, from the first on, and returns their number: a single
    /// snapshot, or all records before the next snapshot.
    pub fn save_prefix(&mut self, records: &[DiskRecord]) -> Result<usize> {
        if let Some(DiskRecord::Install(snapshot)) = records.first() {
            self.install(snapshot)?;
            return Ok(1);
        }
        let is_snapshot = |record: &DiskRecord| matches!(record, DiskRecord::Install(_));
        let next_snapshot = records.iter().position(is_snapshot);
        let count = next_snapshot.unwrap_or(records.len());
        self.append(&records[..count])?;
        Ok(count)
    }

    fn append(&mut self, records: &[DiskRecord]) -> Result<()> {
        let mark = sync_mark(self.contents.len);
        let batch = || iter::once(&mark).chain(records);
        let appended = self.try_append(batch());
        match &appended {
            Ok(()) => batch().for_each(|record| self.contents.add(record)),
            Err(error) if error.is_full() => self.log.truncate(self.contents.len)?,
            // After a failed sync the system may show bytes that never reach the disk. They must
            // not be taken for saved by the next start.
            Err(_) => self.log.truncate(self.contents.len).unwrap_or_default(),
        }
        appended
    }

    fn try_append<'a>(
        &mut self,
        mut batch: impl Iterator<Item = &'a DiskRecord> + Clone,
    ) -> Result<()> {
        let len: u64 = batch.clone().map(frame_len).sum();
        let buffer_len = len.min(BUFFER_BYTES as u64) as usize;
        let mut writer = BufWriter::with_capacity(buffer_len, &mut self.log);
        let written = batch
            .try_for_each(|record| write_frame(&mut writer, record))
            .and_then(|()| writer.flush());
        // A writer that is dropped after an error would try to write its rest again.
        let _ = writer.into_parts();
        written.context(IoSnafu {
            step: "append to",
            path: self.folder.file(LOG_FILE),
        })?;
        self.log.sync()
    }

    /// Replaces the snapshot first: until the log is rewritten, reading skips the entries that
    /// the snapshot includes. The frames of later entries are copied without being decoded.
    fn install(&mut self, snapshot: &LogSnapshot) -> Result<()> {
        let write = |writer: &mut BufWriter<DataFile>| write_frame(writer, snapshot);
        self.folder.replace(SNAPSHOT_FILE, write)?;
        let path = self.folder.file(LOG_FILE);
        let kept = self.contents.after(snapshot.last.index);
        let vote = DiskRecord::Vote(kept.vote.0, kept.vote.1);
        let commit = DiskRecord::Commit(kept.commit);
        let mut old_log = File::open(&path).context(IoSnafu {
            step: "open",
            path: &path,
        })?;
        let mut rewritten = kept.clone().rewritten(&vote, &commit);
        let mark = sync_mark(rewritten.len);
        self.folder.replace_unsynced(LOG_FILE, |writer| {
            write_frame(writer, &vote)?;
            for frame in &kept.frames {
                copy_frame(&mut old_log, frame, writer)?;
            }
            write_frame(writer, &commit)?;
            // The file replaces the log only after it was synced.
            write_frame(writer, &mark)
        })?;
        // The new file is the log from here on, even if the folder cannot be synced yet.
        self.log = self.folder.open_append(LOG_FILE)?;
        rewritten.add(&mark);
        self.contents = rewritten;
        self.folder.sync()
    }
}

/// Place of an entry in the log file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EntryFrame {
    index: Position,
    offset: u64,
    len: u64,
}

/// What the log file holds, without the payloads of its entries.
#[derive(Clone, Debug, Default)]
struct LogContents {
    vote: (Term, Option<NodeId>),
    commit: Position,
    /// Entries that are not truncated, in order.
    frames: VecDeque<EntryFrame>,
    /// Length of the file in bytes.
    len: u64,
    /// End of the last sync mark; 0 if there is none.
    marked: u64,
}

impl LogContents {
    /// Adds a record that was appended.
    fn add(&mut self, record: &DiskRecord) {
        let len = frame_len(record);
        match record {
            DiskRecord::Vote(term, vote) => self.vote = (*term, *vote),
            DiskRecord::Commit(index) => self.commit = self.commit.max(*index),
            DiskRecord::Truncate(from) => self.frames.retain(|frame| frame.index < *from),
            DiskRecord::Append(entry) => self.frames.push_back(EntryFrame {
                index: entry.mark.index,
                offset: self.len,
                len,
            }),
            DiskRecord::Install(_) => {}
        }
        self.len += len;
        if synced_len(record).is_some() {
            self.marked = self.len;
        }
    }

    /// Whether the log was begun by a version that writes no sync marks.
    fn is_unmarked(&self) -> bool {
        self.marked == 0
    }

    /// Returns the contents that remain after a snapshot of the entries up to `index`.
    fn after(&self, index: Position) -> Self {
        let later = self.frames.iter().filter(|frame| frame.index > index);
        Self {
            frames: later.copied().collect(),
            ..self.clone()
        }
    }

    /// Returns the same contents in a file that has the entries between two records.
    fn rewritten(mut self, first: &DiskRecord, last: &DiskRecord) -> Self {
        self.len = frame_len(first);
        for frame in &mut self.frames {
            frame.offset = self.len;
            self.len += frame.len;
        }
        self.len += frame_len(last);
        self.marked = 0;
        self
    }
}

/// Copies a frame from the log to `writer`, a buffer at a time.
fn copy_frame(log: &mut File, frame: &EntryFrame, writer: &mut impl Write) -> io::Result<()> {
    log.seek(SeekFrom::Start(frame.offset))?;
    let copied = io::copy(&mut log.take(frame.len), writer)?;
    match copied == frame.len {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}
/// Replays the log into `image`, one frame at a time, and returns its contents.
fn load_log(path: &Path, image: &mut DiskImage) -> Result<LogContents> {
    let mut contents = LogContents::default();
    let Some(mut reader) = FrameReader::open(path)? else {
        return Ok(contents);
    };
    while !reader.is_at_end() {
        let offset = reader.offset as usize;
        match reader.read_frame()? {
            // A log that is not longer than its first mark may be a torn one.
            Frame::Damaged(what) if contents.is_unmarked() && reader.len > sync_mark_len() => {
                return damage_error(path, offset, what);
            }
            frame @ (Frame::Torn | Frame::Damaged(_)) => {
                let what = match frame {
                    Frame::Damaged(what) => what,
                    _ => "incomplete record",
                };
                if has_sync_mark(path, reader.offset)? {
                    return damage_error(path, offset, what);
                }
                let cut_bytes = reader.len - reader.offset;
                let path = path.display();
                tracing::warn!(%path, offset, cut_bytes, what, "unsynced tail of the log cut");
                break;
            }
            Frame::Complete(body) => {
                let Ok(record) = bincode::deserialize(&body) else {
                    return damage_error(path, offset, "record cannot be decoded");
                };
                drop(body);
                contents.add(&record);
                if synced_len(&record).is_none() {
                    replay(image, record);
                }
            }
        }
    }
    let first = image.entries.first().map(|entry| entry.mark.index.0);
    if first.is_some_and(|first| first != image.snapshot.last.index.0 + 1) {
        return damage_error(path, 0, "the snapshot before its first entry is missing");
    }
    Ok(contents.after(image.snapshot.last.index))
}

/// the snapshot.
fn replay(image: &mut DiskImage, record: DiskRecord) {
    match record {
        DiskRecord::Append(entry) if entry.mark.index <= image.snapshot.last.index => {}
        record => image.apply(record),
    }
}

/// Loads the snapshot. It is replaced atomically, so an incomplete one is corruption too.
fn load_snapshot(path: &Path, image: &mut DiskImage) -> Result<()> {
    let Some(mut reader) = FrameReader::open(path)?.filter(|reader| !reader.is_at_end()) else {
        return Ok(());
    };
    match reader.read_frame()? {
        Frame::Complete(body) => match bincode::deserialize(&body) {
            Ok(snapshot) => image.snapshot = snapshot,
            Err(_) => return damage_error(path, 0, "snapshot cannot be decoded"),
        },
        Frame::Torn => return damage_error(path, 0, "snapshot is truncated"),
        Frame::Damaged(what) => return damage_error(path, 0, what),
    }
    Ok(())
}

fn load_identity(folder: &DataFolder, bootstrap_id: Option<NodeId>) -> Result<DiskIdentity> {
    if let Some(identity) = read_framed(folder, IDENTITY_FILE)? {
        return Ok(identity);
    }
    let identity = bootstrap_id.map_or_else(new_identity, |node| DiskIdentity { node });
    save_identity(folder, identity)?;
    Ok(identity)
}

fn new_identity() -> DiskIdentity {
    let node = NodeId(rand::rng().random());
    DiskIdentity { node }
}

fn save_identity(folder: &DataFolder, identity: DiskIdentity) -> Result<()> {
    folder.replace(IDENTITY_FILE, |writer| write_frame(writer, &identity))
}
