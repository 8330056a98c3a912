//! Tests of the operators' command.

mod command;
mod support;
mod updates;
