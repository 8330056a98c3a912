//! Tests of the fleet reducer against a fake store and fake upstreams.

mod accounts;
mod configuration;
mod crashes;
mod exit;
mod grant_calls;
mod limits;
mod malformed;
mod occupancy;
mod ownership;
mod proposal;
mod requests;
mod restore;
mod retries;
mod settings;
mod support;
mod table;
mod upstream;
mod withdrawal;
