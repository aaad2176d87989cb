//! Sync marks: records which state that all bytes of the log before them were synced.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;

use snafu::ResultExt;

use super::error::{IoSnafu, Result};
use super::frames::{BUFFER_BYTES, frame_len, write_frame};
use crate::consensus::raft::DiskRecord;
use crate::ids::Position;

/// Length of the part of a frame that is the same for all sync marks: the length and its checksum.
const MARK_HEAD_BYTES: usize = 8;
/// Distinguishes sync marks among truncations; no entry has a position as high.
const SYNC_MARK_BIT: u64 = 1 << 63;

/// Returns a record which states that the first `len` bytes of the log are synced. Versions that
/// write none take it for a truncation without an effect.
pub(super) fn sync_mark(len: u64) -> DiskRecord {
    DiskRecord::Truncate(Position(SYNC_MARK_BIT | len))
}

/// Returns the length that a sync mark states.
pub(super) fn synced_len(record: &DiskRecord) -> Option<u64> {
    match record {
        DiskRecord::Truncate(Position(from)) if from & SYNC_MARK_BIT != 0 => {
            Some(from & !SYNC_MARK_BIT)
        }
        _ => None,
    }
}

/// Whether a sync mark stands behind an offset of the log, at whatever byte.
pub(super) fn has_sync_mark(path: &Path, offset: u64) -> Result<bool> {
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
pub(super) fn sync_mark_len() -> u64 {
    frame_len(&sync_mark(0))
}

/// Returns the frame of the sync mark at an offset.
fn encoded_mark(offset: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &sync_mark(offset)).expect("a vector takes all bytes");
    bytes
}
