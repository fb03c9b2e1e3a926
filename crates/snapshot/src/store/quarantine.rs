//! Renames unusable files, so that they can be inspected later, and limits their number.

use std::io;

use crate::disk::Disk;

use super::{Quarantine, ReadError, Slot, UnusableFile};

/// Prefix of a quarantined file's name, followed by an increasing number, a dot and the reason.
const PREFIX: &str = "set-aside.";
/// Maximum number of quarantined files. The oldest ones are removed, so that repeated failures do
/// not fill the disk.
pub const MAX_QUARANTINED_FILES: usize = 4;

/// Returns whether this is the name of a quarantined file.
pub(super) fn is_quarantined(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Renames the slot's file to a name that contains the reason why it cannot be used.
pub(super) fn quarantine<D: Disk>(disk: &mut D, slot: Slot, error: ReadError) -> UnusableFile {
    let name = slot.file_name();
    let quarantine = match rename_to_quarantine(disk, name, error.label()) {
        Ok(new_name) => Quarantine::RenamedTo(new_name),
        Err(rename_error) => Quarantine::Failed(rename_error),
    };
    UnusableFile {
        name: name.into(),
        error,
        quarantine,
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QuarantinedFile<'a> {
    /// The number in its name; older files have lower numbers.
    number: u64,
    name: &'a str,
}

fn rename_to_quarantine<D: Disk>(disk: &mut D, name: &str, label: &str) -> io::Result<String> {
    let names = disk.names()?;
    let mut quarantined: Vec<QuarantinedFile<'_>> = names
        .iter()
        .filter_map(|name| {
            let number = parse_number(name)?;
            Some(QuarantinedFile { number, name })
        })
        .collect();
    quarantined.sort_unstable();
    let next_number = quarantined
        .last()
        .map_or(1, |newest| newest.number.wrapping_add(1));
    let new_name = format!("{PREFIX}{next_number}.{label}");
    let excess = (quarantined.len() + 1).saturating_sub(MAX_QUARANTINED_FILES);
    for oldest in &quarantined[..excess] {
        disk.remove(oldest.name)?;
    }
    disk.rename(name, &new_name)?;
    disk.sync_directory()?;
    Ok(new_name)
}

/// Returns the number in the name of a quarantined file; `None` for other names.
fn parse_number(name: &str) -> Option<u64> {
    let number = name.strip_prefix(PREFIX)?.split('.').next()?;
    number.parse().ok()
}
