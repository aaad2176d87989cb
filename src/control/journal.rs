//! Files of a voter: an append-only log of records, and the latest snapshot.
//!
//! A frame is `length | crc of length | crc of body | body`, with all lengths and checksums as
//! little-endian `u32`.
//!
//! Each batch of the log begins with a sync mark, which states that all bytes before it were
//! synced. A power loss may keep any part of the writes since the last sync, so a frame that
//! cannot be read begins the unsynced tail, which is cut. If a sync mark follows, the frame was
//! synced before and is corrupted, and the folder is not opened.

use std::collections::VecDeque;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, BufWriter, Read, Seek, SeekFrom, Write};
use std::iter;
use std::path::{Path, PathBuf};

use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::consensus::raft::{DiskImage, DiskRecord, LogSnapshot};
use crate::ids::{NodeId, Position, Term};
use crate::process::daemon::DaemonError;
use crate::process::settings::VoterSettings;

const HEADER_BYTES: usize = 12;
/// Length of the part of a frame that is the same for all sync marks: the length and its checksum.
const MARK_HEAD_BYTES: usize = 8;
/// Maximum length of a frame body: the largest snapshot fits, and a corrupted length does not
/// allocate more.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Size of the buffer of a file that is read or written, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// Distinguishes sync marks among truncations; no entry has a position as high.
const SYNC_MARK_BIT: u64 = 1 << 63;
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const FIRST_START_FILE: &str = "first-start";
/// Files that are set aside if one of them is damaged.
const SET_ASIDE_FILES: [&str; 3] = [LOG_FILE, SNAPSHOT_FILE, FIRST_START_FILE];

/// Reason why the files cannot be used.
#[derive(Debug, Snafu)]
pub enum JournalError {
    /// The operating system refused an operation.
    #[snafu(display("cannot {step} {}: {source}", path.display()))]
    Io {
        /// The operation.
        step: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is corrupted.
    #[snafu(display("{} is damaged at byte {offset}: {what}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the frame, in bytes.
        offset: usize,
        /// The check that failed.
        what: &'static str,
    },
}

impl From<JournalError> for DaemonError {
    fn from(error: JournalError) -> Self {
        Self::Storage {
            source: Box::new(error),
        }
    }
}

impl JournalError {
    /// Returns whether the disk is full. Nothing that was saved before is lost, and the write
    /// may be retried.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            Self::Damaged { .. } => false,
        }
    }
}

type Result<T> = std::result::Result<T, JournalError>;

/// Called before each write with its number of bytes; its error is handled like an error of the
/// disk.
pub type WriteCheck = Box<dyn FnMut(usize) -> io::Result<()> + Send>;

/// Identity of a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Created once for each folder, so that a new disk never votes under the identity of a
    /// lost one.
    pub node: NodeId,
}

/// Open files of one voter.
pub struct DiskJournal {
    folder: PathBuf,
    log: File,
    identity: DiskIdentity,
    contents: LogContents,
    write_check: Option<WriteCheck>,
}

impl fmt::Debug for DiskJournal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DiskJournal")
            .field("folder", &self.folder)
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
pub fn begin_first_start(folder: &Path, configured: &[VoterSettings]) -> Result<()> {
    make_folder(folder)?;
    replace(folder, FIRST_START_FILE, |writer| {
        write_frame(writer, &configured)
    })
}

/// Returns what [`begin_first_start`] recorded, as long as the folder holds no log and no
/// identity other than `bootstrap_id`. A log means that the host has bootstrapped the site;
/// another identity, that it has requested to join it.
pub fn unfinished_first_start(
    folder: &Path,
    bootstrap_id: NodeId,
) -> Result<Option<Vec<VoterSettings>>> {
    let identity = read_framed::<DiskIdentity>(folder, IDENTITY_FILE)?;
    let unfinished = is_blank(folder) && identity.is_none_or(|known| known.node == bootstrap_id);
    match unfinished {
        true => read_framed(folder, FIRST_START_FILE),
        false => Ok(None),
    }
}

/// Runs `open` on a data folder. If it finds damage, sets the files aside and runs it again: the
/// host then continues as one with a new disk, which the other voters bear as a lost one.
pub fn set_aside_damage<T>(folder: &Path, open: impl Fn() -> Result<T>) -> Result<T> {
    match open() {
        Err(error @ JournalError::Damaged { .. }) => {
            tracing::error!(%error, "damaged files set aside; the host starts with a new disk");
            set_aside(folder)?;
            open()
        }
        opened => opened,
    }
}

/// Sets all files of a folder aside. The new identity is saved first, so that neither a vote nor
/// an entry is ever lost under the former one. Files that were set aside before are kept: they may
/// be all that is left of the site's state.
fn set_aside(folder: &Path) -> Result<()> {
    let identity = folder.join(IDENTITY_FILE);
    let kept_identity = folder.join(damaged_name(IDENTITY_FILE));
    if identity.exists() && !kept_identity.exists() {
        fs::copy(&identity, &kept_identity).context(IoSnafu {
            step: "copy",
            path: &identity,
        })?;
        File::open(&kept_identity)
            .and_then(|file| file.sync_all())
            .context(IoSnafu {
                step: "sync",
                path: &kept_identity,
            })?;
    }
    save_identity(folder, new_identity())?;
    for name in SET_ASIDE_FILES {
        let path = folder.join(name);
        let kept_path = folder.join(damaged_name(name));
        let moved = match kept_path.exists() {
            true => fs::remove_file(&path),
            false => fs::rename(&path, &kept_path),
        };
        match moved {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            moved => moved.context(IoSnafu {
                step: "set aside",
                path: &path,
            })?,
        }
        // Each name would be kept or lost by itself.
        sync_folder(folder)?;
    }
    Ok(())
}

/// Returns the number of files that were set aside and not removed since.
pub fn damaged_files(folder: &Path) -> usize {
    let names = SET_ASIDE_FILES.iter().copied();
    names
        .filter(|name| folder.join(damaged_name(name)).exists())
        .count()
}

fn damaged_name(name: &str) -> String {
    format!("{name}.damaged")
}

impl DiskJournal {
    /// Opens a data folder, or creates it: with `bootstrap_id` as its identity at the bootstrap of
    /// the site, otherwise with a random one.
    pub fn open(folder: &Path, bootstrap_id: Option<NodeId>) -> Result<(Self, DiskImage)> {
        make_folder(folder)?;
        let identity = load_identity(folder, bootstrap_id)?;
        let mut image = DiskImage::default();
        load_snapshot(folder, &mut image)?;
        let path = folder.join(LOG_FILE);
        let contents = load_log(&path, &mut image)?;
        let log = open_log(&path)?;
        log.set_len(contents.len).context(IoSnafu {
            step: "truncate the torn tail of",
            path: &path,
        })?;
        log.sync_all().context(IoSnafu {
            step: "sync",
            path: &path,
        })?;
        sync_folder(folder)?;
        let mut journal = Self {
            folder: folder.to_owned(),
            log,
            identity,
            contents,
            write_check: None,
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

    /// Installs a check before each write, for tests of failing disks.
    pub fn set_write_check(&mut self, check: WriteCheck) {
        self.write_check = Some(check);
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
            Err(error) if error.is_full() => self.truncate_torn_tail()?,
            Err(_) => {}
        }
        appended
    }

    fn try_append<'a>(
        &mut self,
        mut batch: impl Iterator<Item = &'a DiskRecord> + Clone,
    ) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        let len: u64 = batch.clone().map(frame_len).sum();
        self.check_write(len).context(IoSnafu {
            step: "append to",
            path: &path,
        })?;
        let buffer_len = len.min(BUFFER_BYTES as u64) as usize;
        let mut writer = BufWriter::with_capacity(buffer_len, &self.log);
        let written = batch
            .try_for_each(|record| write_frame(&mut writer, record))
            .and_then(|()| writer.flush());
        // A writer that is dropped after an error would try to write its rest again.
        let _ = writer.into_parts();
        written.context(IoSnafu {
            step: "append to",
            path: &path,
        })?;
        self.log.sync_data().context(IoSnafu {
            step: "sync",
            path: &path,
        })
    }

    /// Removes the partial write that a full disk has left at the end of the log.
    fn truncate_torn_tail(&mut self) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        self.log.set_len(self.contents.len).context(IoSnafu {
            step: "truncate the torn tail of",
            path: &path,
        })
    }

    fn check_write(&mut self, len: u64) -> io::Result<()> {
        match &mut self.write_check {
            Some(check) => check(len as usize),
            None => Ok(()),
        }
    }

    /// Replaces the snapshot first: until the log is rewritten, reading skips the entries that
    /// the snapshot includes. The frames of later entries are copied without being decoded.
    fn install(&mut self, snapshot: &LogSnapshot) -> Result<()> {
        self.check_write(frame_len(snapshot)).context(IoSnafu {
            step: "write",
            path: self.folder.join(SNAPSHOT_FILE),
        })?;
        replace(&self.folder, SNAPSHOT_FILE, |writer| {
            write_frame(writer, snapshot)
        })?;
        let path = self.folder.join(LOG_FILE);
        let kept = self.contents.after(snapshot.last.index);
        let vote = DiskRecord::Vote(kept.vote.0, kept.vote.1);
        let commit = DiskRecord::Commit(kept.commit);
        let mut old_log = File::open(&path).context(IoSnafu {
            step: "open",
            path: &path,
        })?;
        let mut rewritten = kept.clone().rewritten(&vote, &commit);
        let mark = sync_mark(rewritten.len);
        replace(&self.folder, LOG_FILE, |writer| {
            write_frame(writer, &vote)?;
            for frame in &kept.frames {
                copy_frame(&mut old_log, frame, writer)?;
            }
            write_frame(writer, &commit)?;
            // The file replaces the log only after it was synced.
            write_frame(writer, &mark)
        })?;
        self.log = open_log(&path)?;
        rewritten.add(&mark);
        self.contents = rewritten;
        Ok(())
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

/// Returns a record which states that the first `len` bytes of the log are synced. Versions that
/// write none take it for a truncation without an effect.
fn sync_mark(len: u64) -> DiskRecord {
    DiskRecord::Truncate(Position(SYNC_MARK_BIT | len))
}

/// Returns the length that a sync mark states.
fn synced_len(record: &DiskRecord) -> Option<u64> {
    match record {
        DiskRecord::Truncate(Position(from)) if from & SYNC_MARK_BIT != 0 => {
            Some(from & !SYNC_MARK_BIT)
        }
        _ => None,
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

fn open_log(path: &Path) -> Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .read(true)
        .open(path)
        .context(IoSnafu { step: "open", path })
}

/// Returns the length of the frame of a value, in bytes.
fn frame_len<T: Serialize>(value: &T) -> u64 {
    let body_len = bincode::serialized_size(value).expect("records encode");
    HEADER_BYTES as u64 + body_len
}

/// Writes a frame. Its body is encoded twice, for the checksum and for the file, rather than held
/// in memory: snapshots and entries may be as large as the state.
fn write_frame<T: Serialize>(writer: &mut impl Write, value: &T) -> io::Result<()> {
    let body_len = frame_len(value) - HEADER_BYTES as u64;
    let len = (body_len as u32).to_le_bytes();
    let mut checksum = ChecksumWriter::default();
    encode_into(&mut checksum, value)?;
    writer.write_all(&len)?;
    writer.write_all(&crc32fast::hash(&len).to_le_bytes())?;
    writer.write_all(&checksum.0.finalize().to_le_bytes())?;
    encode_into(writer, value)
}

fn encode_into<T: Serialize>(writer: &mut impl Write, value: &T) -> io::Result<()> {
    bincode::serialize_into(writer, value).map_err(|error| match *error {
        bincode::ErrorKind::Io(source) => source,
        other => unreachable!("records encode: {other}"),
    })
}

/// Computes the checksum of what is written to it.
#[derive(Default)]
struct ChecksumWriter(crc32fast::Hasher);

impl Write for ChecksumWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

enum Frame {
    Complete(Vec<u8>),
    /// The file ends before the frame, or holds only zeros from there on.
    Torn,
    Damaged(&'static str),
}

/// Reads the frames of a file one after the other.
struct FrameReader<'a> {
    path: &'a Path,
    file: BufReader<File>,
    len: u64,
    /// Offset of the next frame.
    offset: u64,
}

impl<'a> FrameReader<'a> {
    /// Opens a file; returns `None` if there is none.
    fn open(path: &'a Path) -> Result<Option<Self>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => {
                return Err(JournalError::Io {
                    step: "open",
                    path: path.to_owned(),
                    source,
                });
            }
        };
        let metadata = file.metadata().context(IoSnafu { step: "read", path })?;
        Ok(Some(Self {
            path,
            file: BufReader::with_capacity(BUFFER_BYTES, file),
            len: metadata.len(),
            offset: 0,
        }))
    }

    fn is_at_end(&self) -> bool {
        self.offset >= self.len
    }

    fn read_frame(&mut self) -> Result<Frame> {
        let path = self.path;
        self.try_read_frame()
            .context(IoSnafu { step: "read", path })
    }

    fn try_read_frame(&mut self) -> io::Result<Frame> {
        let left = self.len - self.offset;
        if left < HEADER_BYTES as u64 {
            return Ok(Frame::Torn);
        }
        let mut header = [0; HEADER_BYTES];
        self.file.read_exact(&mut header)?;
        // A file that was extended by a write that never reached the disk reads as zeros.
        if header == [0; HEADER_BYTES] && self.rest_is_zero()? {
            return Ok(Frame::Torn);
        }
        let len = read_u32(&header, 0) as usize;
        if crc32fast::hash(&header[..4]) != read_u32(&header, 4) || len > MAX_FRAME_BYTES {
            return Ok(Frame::Damaged("length checksum mismatch"));
        }
        let next = (HEADER_BYTES + len) as u64;
        if left < next {
            return Ok(Frame::Torn);
        }
        let mut body = vec![0; len];
        self.file.read_exact(&mut body)?;
        match crc32fast::hash(&body) == read_u32(&header, 8) {
            true => {
                self.offset += next;
                Ok(Frame::Complete(body))
            }
            false if left == next && body.iter().all(|byte| *byte == 0) => Ok(Frame::Torn),
            false => Ok(Frame::Damaged("record checksum mismatch")),
        }
    }

    fn rest_is_zero(&mut self) -> io::Result<bool> {
        loop {
            let bytes = self.file.fill_buf()?;
            let len = bytes.len();
            if len == 0 || bytes.iter().any(|byte| *byte != 0) {
                return Ok(len == 0);
            }
            self.file.consume(len);
        }
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut le_bytes = [0; 4];
    le_bytes.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(le_bytes)
}

fn damage_error<T>(path: &Path, offset: usize, what: &'static str) -> Result<T> {
    Err(JournalError::Damaged {
        path: path.to_owned(),
        offset,
        what,
    })
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

/// Whether a sync mark stands behind an offset of the log, at whatever byte.
fn has_sync_mark(path: &Path, offset: u64) -> Result<bool> {
    find_sync_mark(path, offset).context(IoSnafu { step: "read", path })
}

fn find_sync_mark(path: &Path, offset: u64) -> io::Result<bool> {
    let mark_len = sync_mark_len() as usize;
    let head = &encoded_mark(0)[..MARK_HEAD_BYTES];
    let mut start = offset + 1;
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(start))?;
    let mut bytes = Vec::new();
    loop {
        let read = (&file).take(BUFFER_BYTES as u64).read_to_end(&mut bytes)?;
        let is_mark = |(at, window): (usize, &[u8])| {
            window.starts_with(head) && window == encoded_mark(start + at as u64)
        };
        if bytes.windows(mark_len).enumerate().any(is_mark) {
            return Ok(true);
        }
        if read == 0 {
            return Ok(false);
        }
        let searched = bytes.len().saturating_sub(mark_len - 1);
        bytes.drain(..searched);
        start += searched as u64;
    }
}

/// Returns the length of the frame of a sync mark, in bytes.
fn sync_mark_len() -> u64 {
    frame_len(&sync_mark(0))
}

/// Returns the frame of the sync mark at an offset.
fn encoded_mark(offset: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &sync_mark(offset)).expect("a vector takes all bytes");
    bytes
}

/// Applies a record, except for entries that the snapshot includes: the log may be older than
/// the snapshot.
fn replay(image: &mut DiskImage, record: DiskRecord) {
    match record {
        DiskRecord::Append(entry) if entry.mark.index <= image.snapshot.last.index => {}
        record => image.apply(record),
    }
}

/// Loads the snapshot. It is replaced atomically, so an incomplete one is corruption too.
fn load_snapshot(folder: &Path, image: &mut DiskImage) -> Result<()> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(mut reader) = FrameReader::open(&path)?.filter(|reader| !reader.is_at_end()) else {
        return Ok(());
    };
    match reader.read_frame()? {
        Frame::Complete(body) => match bincode::deserialize(&body) {
            Ok(snapshot) => image.snapshot = snapshot,
            Err(_) => return damage_error(&path, 0, "snapshot cannot be decoded"),
        },
        Frame::Torn => return damage_error(&path, 0, "snapshot is truncated"),
        Frame::Damaged(what) => return damage_error(&path, 0, what),
    }
    Ok(())
}

/// Creates a folder and syncs its parents. Without the sync, the folder could be missing after
/// a power loss, and its host would pass for one with a new disk although it had acknowledged
/// entries.
fn make_folder(folder: &Path) -> Result<()> {
    let created = folder.ancestors().take_while(|ancestor| !ancestor.exists());
    let created: Vec<&Path> = created.collect();
    fs::create_dir_all(folder).context(IoSnafu {
        step: "create",
        path: folder,
    })?;
    let parents = created.into_iter().filter_map(Path::parent);
    for parent in parents {
        let is_relative = parent.as_os_str().is_empty();
        sync_folder(if is_relative { Path::new(".") } else { parent })?;
    }
    Ok(())
}

/// Reads the value of a small file that is replaced atomically; returns `None` if there is no
/// file.
fn read_framed<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<Option<T>> {
    let path = folder.join(name);
    let Some(mut reader) = FrameReader::open(&path)?.filter(|reader| !reader.is_at_end()) else {
        return Ok(None);
    };
    match reader.read_frame()? {
        Frame::Complete(body) => match bincode::deserialize(&body) {
            Ok(value) => Ok(Some(value)),
            Err(_) => damage_error(&path, 0, "value cannot be decoded"),
        },
        _ => damage_error(&path, 0, "value is truncated or corrupted"),
    }
}

fn load_identity(folder: &Path, bootstrap_id: Option<NodeId>) -> Result<DiskIdentity> {
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

fn save_identity(folder: &Path, identity: DiskIdentity) -> Result<()> {
    replace(folder, IDENTITY_FILE, |writer| {
        write_frame(writer, &identity)
    })
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
fn replace(
    folder: &Path,
    name: &str,
    write: impl FnOnce(&mut BufWriter<File>) -> io::Result<()>,
) -> Result<()> {
    let path = folder.join(name);
    let temp_path = folder.join(format!("{name}.new"));
    let file = File::create(&temp_path).context(IoSnafu {
        step: "create",
        path: &temp_path,
    })?;
    let mut writer = BufWriter::with_capacity(BUFFER_BYTES, file);
    let written = write(&mut writer).and_then(|()| writer.flush());
    let (file, _) = writer.into_parts();
    written.context(IoSnafu {
        step: "write",
        path: &temp_path,
    })?;
    file.sync_all().context(IoSnafu {
        step: "sync",
        path: &temp_path,
    })?;
    fs::rename(&temp_path, &path).context(IoSnafu {
        step: "rename",
        path: &temp_path,
    })?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<()> {
    let handle = File::open(folder).context(IoSnafu {
        step: "open",
        path: folder,
    })?;
    handle.sync_all().context(IoSnafu {
        step: "sync",
        path: folder,
    })
}
