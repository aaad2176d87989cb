//! Frames: values with their length and checksums.
//!
//! A frame is `length | crc of length | crc of body | body`, with all lengths and checksums as
//! little-endian `u32`.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::data_folder::DataFolder;
use super::error::{IoSnafu, JournalError, Result, damage_error};

const HEADER_BYTES: usize = 12;
/// Maximum length of a frame body: the largest snapshot fits, and a corrupted length does not
/// allocate more.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Size of the buffer of a file that is read or written, in bytes.
pub(super) const BUFFER_BYTES: usize = 64 * 1024;

/// Returns the length of the frame of a value, in bytes.
pub(super) fn frame_len<T: Serialize>(value: &T) -> u64 {
    let body_len = bincode::serialized_size(value).expect("records encode");
    HEADER_BYTES as u64 + body_len
}

/// Writes a frame. Its body is encoded twice, for the checksum and for the file, rather than held
/// in memory: snapshots and entries may be as large as the state.
pub(super) fn write_frame<T: Serialize>(writer: &mut impl Write, value: &T) -> io::Result<()> {
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

/// What stands at an offset of a file.
pub(super) enum Frame {
    Complete(Vec<u8>),
    /// The file ends before the frame, or holds only zeros from there on.
    Torn,
    Damaged(&'static str),
}

/// Reads the frames of a file one after the other.
pub(super) struct FrameReader<'a> {
    path: &'a Path,
    file: BufReader<File>,
    pub(super) len: u64,
    /// Offset of the next frame.
    pub(super) offset: u64,
}

impl<'a> FrameReader<'a> {
    /// Opens a file; returns `None` if there is none.
    pub(super) fn open(path: &'a Path) -> Result<Option<Self>> {
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

    pub(super) fn is_at_end(&self) -> bool {
        self.offset >= self.len
    }

    pub(super) fn read_frame(&mut self) -> Result<Frame> {
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

/// Reads the value of a small file that is replaced atomically; returns `None` if there is no
/// file.
pub(super) fn read_framed<T: DeserializeOwned>(
    folder: &DataFolder,
    name: &str,
) -> Result<Option<T>> {
    let path = folder.file(name);
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
