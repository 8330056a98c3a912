//! Conditional updates of the store, and `lagoondyke apply`.

use std::io::Write;
use std::time::Duration;

use lagoondyke_core::config::Config;
use lagoondyke_core::node::config_object_name;
use lagoondyke_core::record::object_name;

use crate::environment::{Environment, Object, Store, StoreError};
use crate::exit::{Exit, Failure};

/// Maximum number of reads to find the outcome of an update whose answer was
/// lost.
const MAX_READ_BACK_COUNT: u32 = 8;

/// Pause before each of these reads. Reads and pauses together cover a store
/// that restarts or answers late for a few seconds.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// A conditional update of one object.
#[derive(Clone, Copy, Debug)]
pub struct Update<'a> {
    /// Name of the object.
    pub name: &'a str,
    /// The version that the update replaces; 0 to create the object.
    pub expect: u64,
    /// The new value.
    pub value: &'a [u8],
}

impl Update<'_> {
    /// Sends the update once and returns the object's new version. If the
    /// answer is lost, reads the object back to find the outcome.
    ///
    /// # Errors
    ///
    /// `Conflict` if another update came first, `Unknown` if the outcome
    /// cannot be determined.
    pub fn send(&self, env: &Environment<'_>) -> Result<u64, Failure> {
        let store = env.store()?;
        match store.update(self.name, self.expect, self.value) {
            Ok(version) => Ok(version),
            Err(StoreError::Conflict) => Err(self.conflict_failure(store)),
            Err(StoreError::AnswerLost(why)) => self.find_outcome(&why, env),
            Err(e) => Err(e.into()),
        }
    }

    /// The failure if the object does not have the expected version.
    fn conflict_failure(&self, store: &dyn Store) -> Failure {
        let current = match store.read(self.name) {
            Ok(Some(object)) => format!("version {}", object.version),
            Ok(None) => "absent".to_owned(),
            Err(_) => "another version".to_owned(),
        };
        let message = format!(
            "conflict: {} is {current}, the change is based on {}; nothing \
             was changed",
            self.name,
            describe_version(self.expect)
        );
        Failure::new(Exit::Conflict, message)
    }

    /// Reads the object back to find the outcome of an update whose answer was
    /// lost. `why` tells how it was lost.
    fn find_outcome(
        &self,
        why: &str,
        env: &Environment<'_>,
    ) -> Result<u64, Failure> {
        let store = env.store()?;
        let mut last_read = String::from("the store did not answer a read");
        for _ in 0..MAX_READ_BACK_COUNT {
            env.timer.sleep(READ_BACK_INTERVAL);
            let object = match store.read(self.name) {
                Ok(object) => object,
                Err(e) => {
                    last_read = e.to_string();
                    continue;
                }
            };
            let version = object.as_ref().map_or(0, |o| o.version);
            if version == self.expect {
                last_read =
                    format!("it is still {}", describe_version(version));
                continue;
            }
            return match object {
                Some(object) if object.value == self.value => Ok(version),
                object => Err(self.other_value_failure(object.as_ref())),
            };
        }
        let message = format!(
            "{why}; read {} back: {last_read}. The update can still take \
             effect. Check again later; a new attempt with the same expected \
             version cannot undo a newer change",
            self.name
        );
        Err(Failure::new(Exit::Unknown, message))
    }

    /// The failure if the object is read back with another value.
    fn other_value_failure(&self, object: Option<&Object>) -> Failure {
        let version = object.map_or(0, |o| o.version);
        // Versions only grow, so no version lies between these two, and the
        // other update took the place of this one.
        let refused = version == self.expect + 1;
        let (exit, outcome) = if refused {
            (Exit::Conflict, "this update was refused")
        } else {
            (Exit::Unknown, "this update was refused or has been replaced")
        };
        let message = format!(
            "conflict: {} is {} with another value; {outcome}",
            self.name,
            describe_version(version)
        );
        Failure::new(exit, message)
    }
}

fn describe_version(version: u64) -> String {
    match version {
        0 => "absent".to_owned(),
        n => format!("version {n}"),
    }
}

/// Applies a configuration document and returns its version. With `expect`,
/// applies it only if that version is current.
///
/// # Errors
///
/// See [`Exit`].
pub fn apply(
    text: &[u8],
    expect: Option<u64>,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<u64, Failure> {
    let config =
        Config::parse(text, None).map_err(|e| invalid_document(&e))?;
    let name = config_object_name(&config.operator);
    let current = env.store()?.read(&name)?;
    let version = current.as_ref().map_or(0, |o| o.version);
    if expect.is_some_and(|v| v != version) {
        let message = format!(
            "conflict: {name} is {}, --expect names {}; nothing was changed",
            describe_version(version),
            describe_version(expect.unwrap_or(0))
        );
        return Err(Failure::new(Exit::Conflict, message));
    }
    writeln!(out, "{name}: {} is current", describe_version(version))?;
    if let Some(object) = current {
        if object.value == text {
            writeln!(out, "{name}: the document is the same, no update")?;
            return Ok(version);
        }
        match Config::parse(&object.value, None) {
            Ok(old) => {
                Config::parse(text, Some(&old))
                    .map_err(|e| invalid_document(&e))?;
                note_returning_services(&old, &config, env, out)?;
            }
            // Nodes refuse such a document too and keep using an older one.
            Err(e) => writeln!(out, "{name}: current is not valid: {e}")?,
        }
    }
    let update = Update { name: &name, expect: version, value: text };
    let version = update.send(env)?;
    writeln!(out, "{name}: version {version} is applied")?;
    Ok(version)
}

/// Prints a note for each service that is new in the document but has run
/// before. Its fixed fields are no longer in the current document, so the new
/// values cannot be checked against them.
fn note_returning_services(
    old: &Config,
    new: &Config,
    env: &Environment<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    for name in new.services.keys() {
        if old.services.contains_key(name) {
            continue;
        }
        if env.store()?.read(&object_name(name, 0))?.is_some() {
            writeln!(
                out,
                "note: service {name} ran before; keyed, shards and groups \
                 must be as they were, or nodes that missed its removal \
                 refuse this document"
            )?;
        }
    }
    Ok(())
}

/// The failure for an invalid document.
pub(crate) fn invalid_document(error: &impl std::fmt::Display) -> Failure {
    let message = format!("{error}; nothing was changed");
    Failure::new(Exit::Invalid, message)
}
