//! Cuts a stream of server-sent events at event borders, so that a caller
//! never gets a part of an event whose rest may not come.

/// Longest event that is held back for its end, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// The events that have come whole, and the start of the next one.
#[derive(Clone, Debug, Default)]
pub struct EventCutter {
    held: Vec<u8>,
    last_id: Option<String>,
    count: u64,
}

/// An event grew beyond every bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventCutter {
    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether the stream stands between two events.
    pub fn is_between(&self) -> bool {
        self.held.is_empty()
    }

    /// Forgets the start of an event that breaks off.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }

    /// Takes bytes and returns the whole events among them, with what was held.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        let from = self.held.len().saturating_sub(3);
        self.held.extend_from_slice(bytes);
        let Some(end) = last_border(&self.held, from) else {
            return match self.held.len() {
                0..=MAX_EVENT => Ok(Vec::new()),
                _ => Err(EventTooLong),
            };
        };
        let rest = self.held.split_off(end);
        let whole = std::mem::replace(&mut self.held, rest);
        self.note(&whole);
        Ok(whole)
    }

    fn note(&mut self, whole: &[u8]) {
        let text = String::from_utf8_lossy(whole);
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
fn last_border(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_at = |end: usize| {
        let head = &bytes[..end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(|end| ends_at(*end))
}
