//! `lagoondyke domain`: takes a failure domain out of service or puts it back.

use std::io::Write;

use lagoondyke_core::node::config_object_name;

use crate::apply::Update;
use crate::edit::set_domain;
use crate::environment::Environment;
use crate::exit::{Exit, Failure};

/// Maximum number of attempts if other updates come first. Only a
/// definite conflict, which changed nothing, is followed by another attempt.
const MAX_ATTEMPT_COUNT: u32 = 4;

/// Sets whether a domain is out of service. Returns the version of the
/// document that says so, which is the current one if nothing changes.
///
/// # Errors
///
/// See [`Exit`].
pub fn set(
    operator: &str,
    domain: &str,
    out_of_service: bool,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<u64, Failure> {
    let name = config_object_name(operator);
    let state = if out_of_service { "out of service" } else { "in service" };
    let mut attempt = 1;
    loop {
        let Some(object) = env.store()?.read(&name)? else {
            let message = format!("store has no document {name}");
            return Err(Failure::new(Exit::Invalid, message));
        };
        let edited = set_domain(&object.value, domain, out_of_service)
            .map_err(|e| Failure::new(Exit::Invalid, e.to_string()))?;
        let Some(value) = edited else {
            writeln!(
                out,
                "{name}: version {}: {domain} is {state} already",
                object.version
            )?;
            return Ok(object.version);
        };
        let update =
            Update { name: &name, expect: object.version, value: &value };
        match update.send(env) {
            Ok(version) => {
                writeln!(out, "{name}: version {version}: {domain} {state}")?;
                return Ok(version);
            }
            Err(e)
                if e.exit == Exit::Conflict && attempt < MAX_ATTEMPT_COUNT =>
            {
                writeln!(out, "{name}: another change came first; retrying")?;
                attempt += 1;
            }
            Err(e) => return Err(e),
        }
    }
}
