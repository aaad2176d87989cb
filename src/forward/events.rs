//! Cuts a stream of server-sent events at event borders, so that a caller
//! never gets a part of an event whose rest may not come.

/// Longest event that is held back for its end, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The events that have come whole, and the start of the next one.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    last_id: Option<String>,
    count: u64,
}

/// An event grew beyond every bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Forgets the start of an event that breaks off.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes and returns the whole events among them, with what was held.
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
        let complete = std::mem::replace(&mut self.buffer, rest);
        self.observe(&complete);
        Ok(complete)
    }

    fn observe(&mut self, complete: &[u8]) {
        let text = String::from_utf8_lossy(complete);
        let mut blank = true;
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                self.last_id = Some(id.trim().to_owned());
            }
            if line.is_empty() && !blank {
                self.count += 1;
            }
            blank = line.is_empty();
        }
    }
}

/// The end of the last event, looked for from `from` on.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_at = |end: usize| {
        let head = &bytes[..end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(|end| ends_at(*end))
}
