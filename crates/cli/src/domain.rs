//! `lagoondyke domain`: taking a failure domain out of service and back.

use std::io::Write;

use lagoondyke_core::node::config_object_name;

use crate::apply::Change;
use crate::edit::set_domain;
use crate::exit::{Exit, Failure};
use crate::outside::Outside;

/// Attempts when other changes come first. Only a definite conflict, which
/// changed nothing, leads to another attempt.
const ATTEMPTS: u32 = 4;

/// Sets whether a domain is out of service and returns the version in force.
///
/// # Errors
///
/// See [`Exit`].
pub fn set(
    operator: &str,
    domain: &str,
    gone: bool,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<u64, Failure> {
    let name = config_object_name(operator);
    let state = if gone { "out of service" } else { "in service" };
    let mut attempt = 1;
    loop {
        let Some(object) = outside.store()?.read(&name)? else {
            let message = format!("store has no document {name}");
            return Err(Failure::new(Exit::Invalid, message));
        };
        let edited = set_domain(&object.value, domain, gone)
            .map_err(|e| Failure::new(Exit::Invalid, e.to_string()))?;
        let Some(value) = edited else {
            writeln!(
                out,
                "{name}: version {}: {domain} is {state} already",
                object.version
            )?;
            return Ok(object.version);
        };
        let change =
            Change { name: &name, expect: object.version, value: &value };
        match change.make(outside) {
            Ok(version) => {
                writeln!(out, "{name}: version {version}: {domain} {state}")?;
                return Ok(version);
            }
            Err(e) if e.exit == Exit::Conflict && attempt < ATTEMPTS => {
                writeln!(out, "{name}: another change came first, again")?;
                attempt += 1;
            }
            Err(e) => return Err(e),
        }
    }
}
