//! Content of a file on a simulated disk: its durable bytes and the bytes visible to a reader.

use std::collections::BTreeSet;
use std::ops::Range;

/// Size of a sector, which the disk writes completely or not at all.
pub(super) const SECTOR_BYTES: usize = 512;

#[derive(Clone, Default)]
pub(super) struct FileContent {
    /// The bytes that survive any power loss.
    durable: Vec<u8>,
    /// The bytes that are visible to a reader.
    visible: Vec<u8>,
    /// Sectors written since the last sync.
    dirty: BTreeSet<usize>,
    /// Sectors marked clean by a failed sync, which no later sync writes.
    dropped: BTreeSet<usize>,
}

impl FileContent {
    /// Returns the bytes that are visible to a reader.
    pub(super) fn visible(&self) -> &[u8] {
        &self.visible
    }

    /// Returns the number of bits that survive any power loss.
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

    /// Makes all dirty sectors durable; dropped sectors stay volatile.
    pub(super) fn sync(&mut self) {
        for sector in std::mem::take(&mut self.dirty) {
            let range = self.sector_range(sector);
            copy_range(&self.visible, &mut self.durable, range);
        }
    }

    /// Simulates a failed sync that marks dirty sectors as clean although they never reach the
    /// disk, so that the next sync has nothing to write and succeeds.
    pub(super) fn drop_dirty(&mut self) {
        let dirty = std::mem::take(&mut self.dirty);
        self.dropped.extend(dirty);
    }

    /// Returns the content after a power loss; `survives` is called for each sector that is not
    /// durable.
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

    /// Flips the durable bit at this index.
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
