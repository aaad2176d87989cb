//! Errors of a voter's data folder.

use std::io;
use std::path::{Path, PathBuf};

use snafu::Snafu;

use crate::process::daemon::DaemonError;

/// Reason why the files cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
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
    /// Returns whether the disk or a quota is full. Nothing that was saved before is lost, and the
    /// write may be retried.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{QuotaExceeded, StorageFull};
        match self {
            Self::Io { source, .. } => matches!(source.kind(), StorageFull | QuotaExceeded),
            Self::Damaged { .. } => false,
        }
    }

    /// Returns whether the disk refused a call that it may take later: it is full, or it failed.
    pub fn may_pass(&self) -> bool {
        match self {
            Self::Io { source, .. } => self.is_full() || source.raw_os_error() == Some(libc::EIO),
            Self::Damaged { .. } => false,
        }
    }

    pub(super) fn is_permission_denied(&self) -> bool {
        match self {
            Self::Io { source, .. } => source.kind() == io::ErrorKind::PermissionDenied,
            Self::Damaged { .. } => false,
        }
    }
}

pub(super) type Result<T> = std::result::Result<T, JournalError>;

pub(super) fn damage_error<T>(path: &Path, offset: usize, what: &'static str) -> Result<T> {
    Err(JournalError::Damaged {
        path: path.to_owned(),
        offset,
        what,
    })
}
