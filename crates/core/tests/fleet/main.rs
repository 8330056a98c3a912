//! A fleet's reducers against fakes of the store and of upstreams.

mod ownership;
mod proposal;
mod requests;
mod settings;
mod support;
mod table;
mod upstream;
