//! The pondbay binary.

fn main() {}
