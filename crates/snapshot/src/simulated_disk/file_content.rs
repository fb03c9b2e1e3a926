//! Content of one file on a simulated disk: its durable bytes, and the bytes that a reader sees.

use std::collections::BTreeSet;
use std::ops::Range;

/// A disk writes a sector completely or not at all.
pub(super) const SECTOR_BYTES: usize = 512;

/// One file's content.
#[derive(Clone, Default)]
pub(super) struct FileContent {
    /// The bytes that survive any power loss.
    durable: Vec<u8>,
    /// The bytes that a reader sees.
    visible: Vec<u8>,
    /// Sectors that were written and not synced.
    dirty: BTreeSet<usize>,
    /// Sectors that a failed sync has dropped: no later sync writes them.
    dropped: BTreeSet<usize>,
}

impl FileContent {
    /// The bytes that a reader sees.
    pub(super) fn visible(&self) -> &[u8] {
        &self.visible
    }

    /// Number of bits that survive any power loss.
    pub(super) fn durable_bits(&self) -> usize {
        self.durable.len() * 8
    }

    /// Appends at least one byte.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let start = self.visible.len();
        self.visible.extend_from_slice(bytes);
        let last_sector = (self.visible.len() - 1) / SECTOR_BYTES;
        self.dirty.extend(start / SECTOR_BYTES..=last_sector);
    }

    /// Makes everything written durable, except for sectors that were dropped.
    pub(super) fn sync(&mut self) {
        for sector in std::mem::take(&mut self.dirty) {
            let range = self.sector_range(sector);
            copy_range(&self.visible, &mut self.durable, range);
        }
    }

    /// A failed sync: written sectors are marked clean and never reach the disk, so that the next
    /// sync has nothing to do and succeeds.
    pub(super) fn drop_dirty(&mut self) {
        let dirty = std::mem::take(&mut self.dirty);
        self.dropped.extend(dirty);
    }

    /// The content after a power loss; `survives` is called for each sector that was not synced.
    pub(super) fn after_power_loss(&self, mut survives: impl FnMut() -> bool) -> FileContent {
        let mut content = self.durable.clone();
        for sector in self.dirty.union(&self.dropped) {
            if survives() {
                copy_range(&self.visible, &mut content, self.sector_range(*sector));
            }
        }
        FileContent {
            durable: content.clone(),
            visible: content,
            ..FileContent::default()
        }
    }

    /// Flips one of the durable bits.
    pub(super) fn flip_bit(&mut self, bit: usize) {
        self.durable[bit / 8] ^= 1 << (bit % 8);
        self.visible = self.durable.clone();
    }

    fn sector_range(&self, sector: usize) -> Range<usize> {
        let start = sector * SECTOR_BYTES;
        let end = (start + SECTOR_BYTES).min(self.visible.len());
        start..end
    }
}

fn copy_range(from: &[u8], to: &mut Vec<u8>, range: Range<usize>) {
    let length = to.len().max(range.end);
    to.resize(length, 0);
    to[range.clone()].copy_from_slice(&from[range]);
}
