//! One group of writes as bytes.
//!
//! A batch is a head of 20 bytes and an encoded [`Batch`]. The head holds a mark, the length, a
//! checksum over number and content, and a number that counts up. A batch is written only after
//! the one before it was synced, so a broken batch with a whole one of a higher number behind it
//! was damaged after it had been synced; without one behind it, it is a torn end.

use pond_proto::quorum::Batch;
use prost::Message;

/// The first bytes of every batch.
const MARK: [u8; 4] = *b"pndB";

/// Length of the head, in bytes.
const HEAD: usize = 20;

/// A batch as it was read.
pub struct Framed {
    /// Its number.
    pub number: u64,
    /// Its content.
    pub batch: Batch,
    /// Its length with the head, in bytes.
    pub length: usize,
}

/// Writes a batch as bytes.
pub fn encode(number: u64, batch: &Batch) -> Vec<u8> {
    let content = batch.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEAD + content.len());
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&checksum(number, &content).to_be_bytes());
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(&content);
    bytes
}

/// Reads the batch at the start of `bytes`, or none if it is not whole.
pub fn decode(bytes: &[u8]) -> Option<Framed> {
    if bytes.get(..4)? != MARK {
        return None;
    }
    let length = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?) as usize;
    let sum = u32::from_be_bytes(bytes.get(8..12)?.try_into().ok()?);
    let number = u64::from_be_bytes(bytes.get(12..HEAD)?.try_into().ok()?);
    let content = bytes.get(HEAD..HEAD.checked_add(length)?)?;
    if checksum(number, content) != sum {
        return None;
    }
    let batch = Batch::decode(content).ok()?;
    Some(Framed { number, batch, length: HEAD + length })
}

/// Whether a whole batch with a number above `number` stands anywhere in `bytes`.
pub fn any_after(bytes: &[u8], number: u64) -> bool {
    let marks = bytes.windows(MARK.len()).enumerate().filter(|(_, window)| *window == MARK);
    let mut framed = marks.filter_map(|(at, _)| decode(&bytes[at..]));
    framed.any(|framed| framed.number > number)
}

fn checksum(number: u64, content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&number.to_be_bytes()), content)
}
