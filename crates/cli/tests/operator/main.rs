//! Tests of the operators' command.

mod command;
mod pages;
mod standin;
mod support;
mod updates;
