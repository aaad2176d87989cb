//! What the entry saw of each arrival of a request at a replica, for the log.

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

use crate::forward::dialect::HeaderNames;
use crate::forward::head::{self, ResponseHead};
use crate::forward::upstream::{ConnectionUse, SendProgress};
use crate::ids::ReplicaId;

/// One arrival of the request at a replica.
#[derive(Debug)]
pub struct ReplicaArrival {
    replica: ReplicaId,
    connection: ConnectionUse,
    /// Length of the request, in bytes.
    size: usize,
    progress: Rc<SendProgress>,
    head: Option<HeadEvidence>,
    /// What was concluded; `None` while it may still be answered.
    end: Option<&'static str>,
}

/// The fields of a response that tell whether its request ran.
#[derive(Debug)]
struct HeadEvidence {
    status: u16,
    not_executed: bool,
    stamped: bool,
}

impl ReplicaArrival {
    /// Records that the request is about to be sent.
    pub(super) fn new(
        replica: &ReplicaId,
        connection: ConnectionUse,
        size: usize,
        progress: Rc<SendProgress>,
    ) -> Self {
        Self {
            replica: replica.clone(),
            connection,
            size,
            progress,
            head: None,
            end: None,
        }
    }

    /// Records the head of the response.
    pub(super) fn record_head(&mut self, head: &ResponseHead, names: &HeaderNames) {
        let has = |name| head::find(&head.headers, name).is_some();
        self.head = Some(HeadEvidence {
            status: head.status,
            not_executed: has(names.not_executed),
            stamped: has(names.stamp),
        });
    }

    /// Records what was concluded, unless that is known.
    pub(super) fn end(&mut self, end: &'static str) {
        self.end.get_or_insert(end);
    }
}

impl Display for ReplicaArrival {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ConnectionUse {
            number,
            age,
            carried,
        } = &self.connection;
        write!(
            f,
            "{} by connection {number} ({carried} requests before, {} ms old), {} of {} bytes",
            self.replica,
            age.as_millis(),
            self.progress.written.get(),
            self.size,
        )?;
        match self.progress.skipped.get() {
            0 => {}
            skipped => write!(f, ", {skipped} answers to others")?,
        }
        if let Some(head) = &self.head {
            write!(f, ", status {}", head.status)?;
            if head.not_executed {
                f.write_str(" not executed")?;
            }
            if head.stamped {
                f.write_str(" stamped")?;
            }
        }
        // Nothing is concluded if the client disconnects first.
        write!(f, ": {}", self.end.unwrap_or("left"))
    }
}
