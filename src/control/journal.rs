//! Files of a voter: an append-only log of records, and the latest snapshot.
//!
//! A frame is `length | crc of length | crc of body | body`, with all lengths and checksums as
//! little-endian `u32`. An incomplete frame at the end of the file is an unsynced write and is
//! dropped. A complete frame with a wrong checksum is corruption, and the voter refuses to
//! start on it.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::consensus::raft::{DiskImage, DiskRecord, LogSnapshot};
use crate::ids::NodeId;
use crate::process::daemon::DaemonError;
use crate::process::settings::VoterSettings;

const HEADER_BYTES: usize = 12;
/// Maximum length of a frame body: the largest snapshot fits, and a corrupted length does not
/// allocate more.
const MAX_FRAME_BYTES: usize = 1 << 30;
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const FIRST_START_FILE: &str = "first-start";

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
    written: u64,
    write_check: Option<WriteCheck>,
}

impl fmt::Debug for DiskJournal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DiskJournal")
            .field("folder", &self.folder)
            .field("identity", &self.identity)
            .field("written", &self.written)
            .finish_non_exhaustive()
    }
}

/// Returns whether a data folder holds neither a snapshot nor a log record.
pub fn is_blank(folder: &Path) -> bool {
    let is_empty = |name: &str| {
        let data = fs::metadata(folder.join(name));
        data.map_or(true, |data| data.len() == 0)
    };
    is_empty(SNAPSHOT_FILE) && is_empty(LOG_FILE)
}

/// Records in a blank folder that its host takes part in the site's first start, with the
/// control hosts that were configured then. After a restart the host can no longer tell that this
/// was the first start, and may have other hosts in its settings.
pub fn begin_first_start(folder: &Path, configured: &[VoterSettings]) -> Result<()> {
    make_folder(folder)?;
    let mut frame = Vec::new();
    push_frame(&mut frame, &configured);
    replace(folder, FIRST_START_FILE, &frame)
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

impl DiskJournal {
    /// Opens a data folder, or creates it: with `bootstrap_id` as its identity at the bootstrap of
    /// the site, otherwise with a random one.
    pub fn open(folder: &Path, bootstrap_id: Option<NodeId>) -> Result<(Self, DiskImage)> {
        make_folder(folder)?;
        let identity = load_identity(folder, bootstrap_id)?;
        let mut image = DiskImage::default();
        load_snapshot(folder, &mut image)?;
        let path = folder.join(LOG_FILE);
        let valid_len = load_log(&path, &mut image)?;
        let log = open_log(&path)?;
        log.set_len(valid_len as u64).context(IoSnafu {
            step: "truncate the torn tail of",
            path: &path,
        })?;
        log.sync_all().context(IoSnafu {
            step: "sync",
            path: &path,
        })?;
        sync_folder(folder)?;
        let journal = Self {
            folder: folder.to_owned(),
            log,
            identity,
            written: valid_len as u64,
            write_check: None,
        };
        Ok((journal, image))
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> DiskIdentity {
        self.identity
    }

    /// Returns the length of the log file in bytes.
    pub fn written(&self) -> u64 {
        self.written
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
        let appended = records
            .iter()
            .take_while(|record| !matches!(record, DiskRecord::Install(_)));
        let mut bytes = Vec::new();
        let mut count = 0;
        for record in appended {
            push_frame(&mut bytes, record);
            count += 1;
        }
        self.append(&bytes)?;
        Ok(count)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let appended = self.try_append(bytes);
        match &appended {
            Ok(()) => self.written += bytes.len() as u64,
            Err(error) if error.is_full() => self.truncate_torn_tail()?,
            Err(_) => {}
        }
        appended
    }

    fn try_append(&mut self, bytes: &[u8]) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        self.check_write(bytes.len()).context(IoSnafu {
            step: "append to",
            path: &path,
        })?;
        self.log.write_all(bytes).context(IoSnafu {
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
        self.log.set_len(self.written).context(IoSnafu {
            step: "truncate the torn tail of",
            path: &path,
        })
    }

    fn check_write(&mut self, len: usize) -> io::Result<()> {
        match &mut self.write_check {
            Some(check) => check(len),
            None => Ok(()),
        }
    }

    /// Replaces the snapshot first: until the log is rewritten, reading skips the entries that
    /// the snapshot includes.
    fn install(&mut self, snapshot: &LogSnapshot) -> Result<()> {
        let path = self.folder.join(LOG_FILE);
        let mut image = DiskImage::default();
        load_snapshot(&self.folder, &mut image)?;
        load_log(&path, &mut image)?;
        let mut frame = Vec::new();
        push_frame(&mut frame, snapshot);
        self.check_write(frame.len()).context(IoSnafu {
            step: "write",
            path: self.folder.join(SNAPSHOT_FILE),
        })?;
        replace(&self.folder, SNAPSHOT_FILE, &frame)?;
        image.apply(DiskRecord::Install(snapshot.clone()));
        let mut bytes = Vec::new();
        push_frame(&mut bytes, &DiskRecord::Vote(image.vote.0, image.vote.1));
        for entry in image.entries {
            push_frame(&mut bytes, &DiskRecord::Append(entry));
        }
        push_frame(&mut bytes, &DiskRecord::Commit(image.commit));
        replace(&self.folder, LOG_FILE, &bytes)?;
        self.log = open_log(&path)?;
        self.written = bytes.len() as u64;
        Ok(())
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

fn push_frame<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    let body = bincode::serialize(value).expect("records encode into memory");
    let len = (body.len() as u32).to_le_bytes();
    bytes.extend_from_slice(&len);
    bytes.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
}

enum Frame<'a> {
    Complete { body: &'a [u8], next: usize },
    Torn,
    Damaged(&'static str),
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut le_bytes = [0; 4];
    le_bytes.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(le_bytes)
}

fn read_frame(bytes: &[u8], offset: usize) -> Frame<'_> {
    let rest = &bytes[offset..];
    // A file that was extended by a write that never reached the disk reads as zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let len = read_u32(rest, 0) as usize;
    if crc32fast::hash(&rest[..4]) != read_u32(rest, 4) || len > MAX_FRAME_BYTES {
        return Frame::Damaged("length checksum mismatch");
    }
    let next = HEADER_BYTES + len;
    if rest.len() < next {
        return Frame::Torn;
    }
    let body = &rest[HEADER_BYTES..next];
    match crc32fast::hash(body) == read_u32(rest, 8) {
        true => Frame::Complete {
            body,
            next: offset + next,
        },
        false if body.iter().all(|byte| *byte == 0) && rest.len() == next => Frame::Torn,
        false => Frame::Damaged("record checksum mismatch"),
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => {
            file.read_to_end(&mut bytes)
                .context(IoSnafu { step: "read", path })?;
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(source) => {
            return Err(JournalError::Io {
                step: "open",
                path: path.to_owned(),
                source,
            });
        }
    }
    Ok(bytes)
}

fn damage_error<T>(path: &Path, offset: usize, what: &'static str) -> Result<T> {
    Err(JournalError::Damaged {
        path: path.to_owned(),
        offset,
        what,
    })
}

/// Replays the log into `image` and returns the length of its valid part.
fn load_log(path: &Path, image: &mut DiskImage) -> Result<usize> {
    let bytes = read_file(path)?;
    let mut offset = 0;
    while offset < bytes.len() {
        match read_frame(&bytes, offset) {
            Frame::Torn => break,
            Frame::Damaged(what) => return damage_error(path, offset, what),
            Frame::Complete { body, next } => {
                let Ok(record) = bincode::deserialize(body) else {
                    return damage_error(path, offset, "record cannot be decoded");
                };
                replay(image, record);
                offset = next;
            }
        }
    }
    Ok(offset)
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
    let bytes = read_file(&path)?;
    if bytes.is_empty() {
        return Ok(());
    }
    match read_frame(&bytes, 0) {
        Frame::Complete { body, .. } => match bincode::deserialize(body) {
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
    let bytes = read_file(&path)?;
    match bytes.is_empty() {
        true => Ok(None),
        false => match read_frame(&bytes, 0) {
            Frame::Complete { body, .. } => match bincode::deserialize(body) {
                Ok(value) => Ok(Some(value)),
                Err(_) => damage_error(&path, 0, "value cannot be decoded"),
            },
            _ => damage_error(&path, 0, "value is truncated or corrupted"),
        },
    }
}

fn load_identity(folder: &Path, bootstrap_id: Option<NodeId>) -> Result<DiskIdentity> {
    if let Some(identity) = read_framed(folder, IDENTITY_FILE)? {
        return Ok(identity);
    }
    let node = bootstrap_id.unwrap_or_else(|| NodeId(rand::rng().random()));
    let identity = DiskIdentity { node };
    let mut frame = Vec::new();
    push_frame(&mut frame, &identity);
    replace(folder, IDENTITY_FILE, &frame)?;
    Ok(identity)
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let path = folder.join(name);
    let temp_path = folder.join(format!("{name}.new"));
    let mut file = File::create(&temp_path).context(IoSnafu {
        step: "create",
        path: &temp_path,
    })?;
    file.write_all(bytes).context(IoSnafu {
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
