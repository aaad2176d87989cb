//! Changes of a voter's data folder. Each one is a call that a check may watch or refuse.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use snafu::ResultExt;

use super::error::{IoSnafu, Result};
use super::frames::BUFFER_BYTES;

/// A call that changes the data folder, before it is made, or a sync, once it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCall<'a> {
    /// Creates a folder whose parent exists.
    MakeFolder(&'a Path),
    /// Creates an empty file, or empties it.
    Create(&'a Path),
    /// Writes to the end of a file.
    Append(&'a Path, &'a [u8]),
    /// Truncates a file to this length, in bytes.
    SetLen(&'a Path, u64),
    /// Syncs the content of a file.
    SyncFile(&'a Path),
    /// Renames the first file to the second.
    Rename(&'a Path, &'a Path),
    /// Removes a file.
    Remove(&'a Path),
    /// Syncs the names in a folder.
    SyncFolder(&'a Path),
}

/// Is shown each call on the disk; its error is handled like an error of the disk.
pub type DiskCheck = Arc<dyn Fn(DiskCall<'_>) -> io::Result<()> + Send + Sync>;

fn show(disk_check: &Option<DiskCheck>, call: DiskCall<'_>) -> io::Result<()> {
    match disk_check {
        Some(disk_check) => disk_check(call),
        None => Ok(()),
    }
}

/// A data folder and the check of its calls, if there is one.
#[derive(Clone)]
pub struct DataFolder {
    path: PathBuf,
    disk_check: Option<DiskCheck>,
}

impl From<&Path> for DataFolder {
    fn from(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            disk_check: None,
        }
    }
}

impl From<&PathBuf> for DataFolder {
    fn from(path: &PathBuf) -> Self {
        Self::from(path.as_path())
    }
}

impl From<&DataFolder> for DataFolder {
    fn from(folder: &DataFolder) -> Self {
        folder.clone()
    }
}

impl DataFolder {
    /// Returns the folder at a path, each call on which is checked.
    pub fn checked(path: &Path, disk_check: DiskCheck) -> Self {
        Self {
            path: path.to_owned(),
            disk_check: Some(disk_check),
        }
    }

    /// Replaces the check. Files that are open keep theirs.
    pub(super) fn set_check(&mut self, disk_check: DiskCheck) {
        self.disk_check = Some(disk_check);
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn check(&self, call: DiskCall<'_>) -> io::Result<()> {
        show(&self.disk_check, call)
    }

    /// Creates the folder and syncs the names of all folders that it creates, and of the last one that
    /// exists: an earlier process may have ended between creating and syncing it. Without the sync,
    /// the folder could be missing after a power loss, and its host would pass for one with a new
    /// disk although it had acknowledged entries.
    pub(super) fn make(&self) -> Result<()> {
        let is_missing = |path: &&Path| !path.as_os_str().is_empty() && !path.exists();
        let missing = self.path.ancestors().take_while(is_missing);
        let missing: Vec<&Path> = missing.collect();
        let existing = self.path.ancestors().nth(missing.len());
        match existing
            .and_then(Path::parent)
            .map(|up| self.sync_names(up))
        {
            // A folder that this user may not list is not one in which it creates others.
            Some(Err(error)) if !error.is_permission_denied() => return Err(error),
            _ => {}
        }
        for folder in missing.into_iter().rev() {
            let made = self.check(DiskCall::MakeFolder(folder));
            made.and_then(|()| fs::create_dir_all(folder))
                .context(IoSnafu {
                    step: "create",
                    path: folder,
                })?;
            self.sync_names(folder.parent().unwrap_or(folder))?;
        }
        Ok(())
    }

    /// Syncs the names in this folder.
    pub(super) fn sync(&self) -> Result<()> {
        self.sync_names(&self.path)
    }

    fn sync_names(&self, folder: &Path) -> Result<()> {
        let is_relative = folder.as_os_str().is_empty();
        let path = if is_relative { Path::new(".") } else { folder };
        let synced = File::open(path).and_then(|handle| handle.sync_all());
        let synced = synced.and_then(|()| self.check(DiskCall::SyncFolder(path)));
        synced.context(IoSnafu { step: "sync", path })
    }

    /// Opens a file to append to it; creates it if there is none.
    pub(super) fn open_append(&self, name: &str) -> Result<DataFile> {
        let path = self.file(name);
        let opened = match path.exists() {
            true => Ok(()),
            false => self.check(DiskCall::Create(&path)),
        };
        let opened = opened.and_then(|()| {
            OpenOptions::new()
                .create(true)
                .append(true)
                .read(true)
                .open(&path)
        });
        let file = opened.context(IoSnafu {
            step: "open",
            path: &path,
        })?;
        Ok(self.data_file(path, file))
    }

    fn data_file(&self, path: PathBuf, file: File) -> DataFile {
        DataFile {
            path,
            file,
            disk_check: self.disk_check.clone(),
        }
    }

    /// Creates an empty file, or empties it.
    fn create(&self, name: &str) -> Result<DataFile> {
        let path = self.file(name);
        let created = self.check(DiskCall::Create(&path));
        let created = created.and_then(|()| File::create(&path));
        let file = created.context(IoSnafu {
            step: "create",
            path: &path,
        })?;
        Ok(self.data_file(path, file))
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    pub(super) fn replace(
        &self,
        name: &str,
        write: impl FnOnce(&mut BufWriter<DataFile>) -> io::Result<()>,
    ) -> Result<()> {
        self.replace_unsynced(name, write)?;
        self.sync()
    }

    /// Replaces a file by one whose content is synced. A loss of power may undo this until the
    /// folder is synced.
    pub(super) fn replace_unsynced(
        &self,
        name: &str,
        write: impl FnOnce(&mut BufWriter<DataFile>) -> io::Result<()>,
    ) -> Result<()> {
        let temp_name = format!("{name}.new");
        let file = self.create(&temp_name)?;
        let mut writer = BufWriter::with_capacity(BUFFER_BYTES, file);
        let written = write(&mut writer).and_then(|()| writer.flush());
        let (file, _) = writer.into_parts();
        written.context(IoSnafu {
            step: "write",
            path: &file.path,
        })?;
        file.sync()?;
        self.rename(&temp_name, name)
    }

    pub(super) fn rename(&self, from: &str, to: &str) -> Result<()> {
        let (from, to) = (self.file(from), self.file(to));
        let renamed = self.check(DiskCall::Rename(&from, &to));
        let renamed = renamed.and_then(|()| fs::rename(&from, &to));
        renamed.context(IoSnafu {
            step: "rename",
            path: &from,
        })
    }

    pub(super) fn remove(&self, name: &str) -> Result<()> {
        let path = self.file(name);
        let removed = self.check(DiskCall::Remove(&path));
        let removed = removed.and_then(|()| fs::remove_file(&path));
        removed.context(IoSnafu {
            step: "remove",
            path: &path,
        })
    }
}

/// A file of the data folder that is open for appending.
pub(super) struct DataFile {
    path: PathBuf,
    file: File,
    disk_check: Option<DiskCheck>,
}

impl DataFile {
    pub(super) fn set_check(&mut self, disk_check: DiskCheck) {
        self.disk_check = Some(disk_check);
    }

    fn check(&self, call: DiskCall<'_>) -> io::Result<()> {
        show(&self.disk_check, call)
    }

    /// Truncates the file to a length in bytes.
    pub(super) fn truncate(&self, len: u64) -> Result<()> {
        let truncated = self.check(DiskCall::SetLen(&self.path, len));
        let truncated = truncated.and_then(|()| self.file.set_len(len));
        truncated.context(IoSnafu {
            step: "truncate the torn tail of",
            path: &self.path,
        })
    }

    /// Syncs the content and the length.
    pub(super) fn sync(&self) -> Result<()> {
        let synced = self.file.sync_data();
        let synced = synced.and_then(|()| self.check(DiskCall::SyncFile(&self.path)));
        synced.context(IoSnafu {
            step: "sync",
            path: &self.path,
        })
    }
}

impl Write for DataFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.check(DiskCall::Append(&self.path, bytes))?;
        self.file.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}
