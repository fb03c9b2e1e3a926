//! Renames files that cannot be read, so that they can be inspected, and limits how many of them there are.

use std::io;

use crate::disk::Disk;

use super::Quarantine;

/// Prefix of the names of files set aside; a rising number, a dot and the reason follow.
const PREFIX: &str = "set-aside.";
/// Most files set aside; the oldest are removed first, so that repeated faults do not fill the disk.
pub const MAX_QUARANTINED_FILES: usize = 4;

/// Whether a file of this name was set aside.
pub(super) fn is_quarantined(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// Renames the file to a name that says why it is not used.
pub(super) fn set_aside<D: Disk>(disk: &mut D, name: &str, label: &str) -> Quarantine {
    match rename(disk, name, label) {
        Ok(new_name) => Quarantine::SetAside(new_name),
        Err(error) => Quarantine::Failed(error),
    }
}

fn rename<D: Disk>(disk: &mut D, name: &str, label: &str) -> io::Result<String> {
    let names = disk.names()?;
    let mut quarantined: Vec<(u64, &String)> = names
        .iter()
        .filter_map(|name| Some((number(name)?, name)))
        .collect();
    quarantined.sort_unstable();
    let next_number = quarantined
        .last()
        .map_or(1, |(number, _)| number.wrapping_add(1));
    let new_name = format!("{PREFIX}{next_number}.{label}");
    let excess = (quarantined.len() + 1).saturating_sub(MAX_QUARANTINED_FILES);
    for (_, oldest) in &quarantined[..excess] {
        disk.remove(oldest)?;
    }
    disk.rename(name, &new_name)?;
    disk.sync_names()?;
    Ok(new_name)
}

/// The number in the name of a file that was set aside; none for other names.
fn number(name: &str) -> Option<u64> {
    let number = name.strip_prefix(PREFIX)?.split('.').next()?;
    number.parse().ok()
}
