//! A fleet's reducers against fakes of the store and of upstreams.

mod combine;
mod host;
mod ownership;
mod requests;
mod settings;
mod support;
mod table;
