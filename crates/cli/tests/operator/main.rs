//! Tests of the operators' command.

mod command;
mod pages;
mod support;
mod updates;
