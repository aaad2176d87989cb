//! Setting damaged files aside.

use std::fs::File;
use std::io;
use std::path::Path;

use super::data_folder::DataFolder;
use super::error::{JournalError, Result};
use super::{
    FIRST_START_FILE, IDENTITY_FILE, LOG_FILE, SNAPSHOT_FILE, new_identity, save_identity,
};

/// Files that are set aside if one of them is damaged.
const SET_ASIDE_FILES: [&str; 3] = [LOG_FILE, SNAPSHOT_FILE, FIRST_START_FILE];

/// Runs `open` on a data folder. If it finds damage, sets the files aside and runs it again: the
/// host then continues as one with a new disk, which the other voters bear as a lost one.
pub fn set_aside_damage<T>(
    folder: impl Into<DataFolder>,
    open: impl Fn() -> Result<T>,
) -> Result<T> {
    match open() {
        Err(error @ JournalError::Damaged { .. }) => {
            tracing::error!(%error, "damaged files set aside; the host starts with a new disk");
            set_aside(&folder.into())?;
            open()
        }
        opened => opened,
    }
}

/// Sets all files of a folder aside. The new identity is saved first, so that neither a vote nor
/// an entry is ever lost under the former one. Files that were set aside before are kept: they may
/// be all that is left of the site's state.
fn set_aside(folder: &DataFolder) -> Result<()> {
    let identity = folder.file(IDENTITY_FILE);
    let kept_identity = damaged_name(IDENTITY_FILE);
    if identity.exists() && !folder.file(&kept_identity).exists() {
        folder.replace(&kept_identity, |writer| {
            io::copy(&mut File::open(&identity)?, writer).map(drop)
        })?;
    }
    save_identity(folder, new_identity())?;
    for name in SET_ASIDE_FILES {
        let kept_name = damaged_name(name);
        match folder.file(&kept_name).exists() {
            _ if !folder.file(name).exists() => {}
            true => folder.remove(name)?,
            false => folder.rename(name, &kept_name)?,
        }
        // Each name would be kept or lost by itself.
        folder.sync()?;
    }
    Ok(())
}

/// Returns the number of files that were set aside and not removed since.
pub fn damaged_files(folder: &Path) -> usize {
    let names = SET_ASIDE_FILES.iter().copied();
    names
        .filter(|name| folder.join(damaged_name(name)).exists())
        .count()
}

fn damaged_name(name: &str) -> String {
    format!("{name}.damaged")
}
