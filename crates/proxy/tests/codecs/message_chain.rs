//! Conversion between byte slices and chains of buffers.

use tidescale_proxy::buffers::{Chain, Pool};

/// Size of the header of a PostgreSQL message in bytes: the type byte and the length field.
pub const MESSAGE_HEADER_BYTES: usize = 5;
/// Buffers in the pool of a chain; more than any test uses.
const POOL_CAPACITY: usize = 64;

/// A chain that holds these bytes.
pub fn chain_of(bytes: &[u8]) -> Chain {
    let mut chain = Chain::new(&Pool::new(POOL_CAPACITY));
    chain.push(bytes);
    chain
}

/// All bytes of a chain.
pub fn bytes_of(chain: &Chain) -> Vec<u8> {
    let mut bytes = Vec::new();
    chain.copy_to(0..chain.len(), &mut bytes);
    bytes
}

/// The bytes that a function appends to an empty chain.
pub fn encode(append: impl FnOnce(&mut Chain)) -> Vec<u8> {
    let mut output = chain_of(b"");
    append(&mut output);
    bytes_of(&output)
}
