//! Bootstrap.
fn main() {}
