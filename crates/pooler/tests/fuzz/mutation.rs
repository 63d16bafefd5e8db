//! Random changes of bytes that a peer usually sends.

use crate::random::SharedRandom;

/// Numbers at and beyond the limits of what a reader expects, as text.
const EXTREME_NUMBERS: [&str; 16] = [
    "0",
    "-1",
    "0.0000001",
    "2147483648",
    "9007199254740993",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551616",
    "99999999999999",
    "1e12",
    "1e300",
    "-1e300",
    "1e999",
    "nan",
    "inf",
    "",
];
/// Lengths of messages at the limits.
const EXTREME_LENGTHS: [u32; 8] = [0, 3, 4, 5, 0x7fff_ffff, 0x8000_0000, 0xffff_ffff, 135_169];
/// The most changes of one input.
const MAX_CHANGES: u64 = 4;
/// The largest number of repetitions of a part.
const MAX_REPETITIONS: u64 = 200;

/// Changes the bytes at a few places; sometimes not at all.
pub fn mutate(mut bytes: Vec<u8>, random: &SharedRandom) -> Vec<u8> {
    for _ in 0..random.below(MAX_CHANGES + 1) {
        if bytes.is_empty() {
            return bytes;
        }
        change_once(&mut bytes, random);
    }
    bytes
}

fn change_once(bytes: &mut Vec<u8>, random: &SharedRandom) {
    let position = random.below(bytes.len() as u64) as usize;
    let end = (position + 1 + random.below(40) as usize).min(bytes.len());
    match random.below(8) {
        0 => bytes[position] = random.below(256) as u8,
        1 => drop(bytes.drain(position..end)),
        2 => bytes.truncate(position),
        3 => {
            let part = bytes[position..end].repeat(1 + random.below(MAX_REPETITIONS) as usize);
            drop(bytes.splice(position..position, part));
        }
        4 => {
            let length = EXTREME_LENGTHS[random.below(EXTREME_LENGTHS.len() as u64) as usize];
            let end = (position + 4).min(bytes.len());
            drop(bytes.splice(position..end, length.to_be_bytes()));
        }
        _ => replace_number(bytes, position, random),
    }
}

/// Replaces the first number after a position, if there is any.
fn replace_number(bytes: &mut Vec<u8>, position: usize, random: &SharedRandom) {
    let Some(offset) = bytes[position..].iter().position(u8::is_ascii_digit) else { return };
    let start = position + offset;
    let is_part = |byte: &&u8| byte.is_ascii_digit() || **byte == b'.';
    let length = bytes[start..].iter().take_while(is_part).count();
    let number = EXTREME_NUMBERS[random.below(EXTREME_NUMBERS.len() as u64) as usize];
    drop(bytes.splice(start..start + length, number.bytes()));
}
