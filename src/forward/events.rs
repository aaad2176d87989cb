//! Splits a stream of server-sent events at event boundaries, so that a caller never receives part
//! of an event whose rest may not follow.

/// Longest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Counts events that are passed on and buffers the start of the next one.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    last_id: Option<String>,
    /// Whether the last event that was passed on has data and no id.
    ends_unnamed: bool,
    count: u64,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether events were passed on that a continuation would have to follow.
    pub fn has_begun(&self) -> bool {
        self.last_id.is_some() || self.ends_unnamed
    }

    /// Whether a replica can continue after the last event: it has an id, or none was passed on.
    pub fn can_resume(&self) -> bool {
        !self.ends_unnamed
    }

    /// Number of events that were passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether no part of an event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the buffered part of an event that was cut off.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns all events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        let from = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.buffer, from) else {
            return match self.buffer.len() {
                0..=MAX_EVENT_BYTES => Ok(Vec::new()),
                _ => Err(EventTooLong),
            };
        };
        let rest = self.buffer.split_off(end);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Records complete events that are passed on.
    pub fn record(&mut self, complete: &[u8]) {
        let text = String::from_utf8_lossy(complete);
        let (mut has_id, mut has_data) = (false, false);
        let mut blank = true;
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                self.last_id = Some(id.trim().to_owned());
                has_id = true;
            }
            has_data |= line.starts_with("data:");
            if line.is_empty() && !blank {
                self.count += 1;
                // Without data it is a comment, and no event of the stream.
                self.ends_unnamed = match has_id || has_data {
                    true => !has_id,
                    false => self.ends_unnamed,
                };
                (has_id, has_data) = (false, false);
            }
            blank = line.is_empty();
        }
    }
}

/// Returns whether complete blocks of a stream have an event, rather than comments alone.
pub fn has_event(complete: &[u8]) -> bool {
    let mut lines = complete.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"id:") || line.starts_with(b"data:"))
}

/// Returns the end of the last event, searched from `from` on.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_at = |end: usize| {
        let head = &bytes[..end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(|end| ends_at(*end))
}
