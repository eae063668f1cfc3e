//! `auburncrank`.

fn main() {}
