//! Placeholder during bootstrap.
