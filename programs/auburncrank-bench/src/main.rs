//! `auburncrank-bench`.

fn main() {}
