//! Decoder of the chunked transfer coding. Pure: bytes in, bytes out.

use snafu::Snafu;

/// Longest chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Longest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// The chunked coding is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed chunked body"))]
pub struct ChunkError;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
    Done,
}

/// State of a chunked body.
#[derive(Clone, Debug)]
pub struct ChunkDecoder {
    step: Step,
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self { step: Step::Size }
    }
}

impl ChunkDecoder {
    /// Whether the last chunk and the trailers have been decoded.
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Consumes bytes of `input`, appends the decoded body to `output` and returns the number of
    /// bytes consumed.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut taken = 0;
        loop {
            let rest = &input[taken..];
            match self.step {
                Step::Done => return Ok(taken),
                Step::Data(left) => {
                    let len = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    if len == 0 {
                        return Ok(taken);
                    }
                    output.extend_from_slice(&rest[..len]);
                    taken += len;
                    self.step = match left - len as u64 {
                        0 => Step::DataEnd,
                        left => Step::Data(left),
                    };
                }
                Step::Size | Step::DataEnd | Step::Trailers(_) => match line(rest)? {
                    Some((text, len)) => {
                        taken += len;
                        self.step = self.after_line(text, len)?;
                    }
                    None => return Ok(taken),
                },
            }
        }
    }

    fn after_line(&self, text: &[u8], len: usize) -> Result<Step, ChunkError> {
        match self.step {
            Step::Size => match chunk_size(text)? {
                0 => Ok(Step::Trailers(0)),
                size => Ok(Step::Data(size)),
            },
            Step::DataEnd if text.is_empty() => Ok(Step::Size),
            Step::Trailers(_) if text.is_empty() => Ok(Step::Done),
            Step::Trailers(so_far) if so_far + len <= MAX_TRAILER_BYTES && is_header(text) => {
                Ok(Step::Trailers(so_far + len))
            }
            _ => Err(ChunkError),
        }
    }
}

/// Returns the first line without its end, and its length including the end.
fn line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, ChunkError> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        // Refused in whatever pieces it comes.
        Some(end) if end > MAX_LINE_BYTES => Err(ChunkError),
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some((&bytes[..end - 1], end + 1))),
        Some(_) => Err(ChunkError),
        None if bytes.len() > MAX_LINE_BYTES => Err(ChunkError),
        None => Ok(None),
    }
}

fn chunk_size(text: &[u8]) -> Result<u64, ChunkError> {
    let digits = text.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits)
        .map_err(|_| ChunkError)?
        .trim_end();
    let plain = (1..=15).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_hexdigit());
    match plain {
        true => u64::from_str_radix(digits, 16).map_err(|_| ChunkError),
        false => Err(ChunkError),
    }
}

/// Whether a line without its end is one header: not the continuation of the line before, with a name
/// that is a token and a value without control bytes.
fn is_header(text: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let line = [text, b"\r\n\r\n"].concat();
    let parsed = httparse::parse_headers(&line, &mut headers);
    matches!(parsed, Ok(httparse::Status::Complete((len, [_]))) if len == line.len())
}
