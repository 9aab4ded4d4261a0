//! The encoding of a group of writes.
//!
//! A batch is a header of 20 bytes and an encoded [`Batch`]. The header holds a magic number, the
//! length, a checksum over number and content, and the batch number, which counts up. A batch is
//! written only after the previous one was synced. So an invalid batch that is followed by a valid one
//! with a higher number was damaged after it had been synced; otherwise it is a torn write at the end.

use pond_proto::quorum::Batch;
use prost::Message;

/// Magic number: the first bytes of every batch.
const MAGIC: [u8; 4] = *b"pndB";

/// Length of the header, in bytes.
const HEADER_BYTES: usize = 20;

/// A batch that was read from a file.
pub struct Framed {
    /// Its number.
    pub number: u64,
    /// Its content.
    pub batch: Batch,
    /// Its length including the header, in bytes.
    pub length: usize,
}

/// Encodes a batch.
pub fn encode(number: u64, batch: &Batch) -> Vec<u8> {
    let content = batch.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&checksum(number, &content).to_be_bytes());
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

/// Decodes the batch at the start of `bytes`. Returns `None` if it is incomplete or invalid.
pub fn decode(bytes: &[u8]) -> Option<Framed> {
    if bytes.get(..4)? != MAGIC {
        return None;
    }
    let length = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(bytes.get(8..12)?.try_into().ok()?);
    let number = u64::from_be_bytes(bytes.get(12..HEADER_BYTES)?.try_into().ok()?);
    let content = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if checksum(number, content) != sum {
        return None;
    }
    let batch = Batch::decode(content).ok()?;
    Some(Framed { number, batch, length: HEADER_BYTES + length })
}

/// Whether `bytes` contains a valid batch with a number above `number` at any position.
pub fn contains_later(bytes: &[u8], number: u64) -> bool {
    let matches = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    let mut framed = matches.filter_map(|(at, _)| decode(&bytes[at..]));
    framed.any(|framed| framed.number > number)
}

fn checksum(number: u64, content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&number.to_be_bytes()), content)
}
