//! `auburncrank-demo`.

fn main() {}
