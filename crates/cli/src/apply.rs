//! Conditional updates of the store, and `lagoondyke apply`.

use std::io::Write;
use std::time::Duration;

use lagoondyke_core::config::Config;
use lagoondyke_core::node::config_object_name;
use lagoondyke_core::record::object_name;

use crate::exit::{Exit, Failure};
use crate::outside::{Object, Outside, Store, StoreError};

/// Reads made to find the outcome of an update whose answer was lost.
const SETTLE_READS: u32 = 8;

/// Pause between these reads. Together with the reads it covers a store that
/// restarts or answers late for a few seconds.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// A change of one object that is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// The object's name.
    pub name: &'a str,
    /// The version that the change is based on; 0 to create the object.
    pub expect: u64,
    /// The new value.
    pub value: &'a [u8],
}

impl Change<'_> {
    /// Updates the object and returns its new version. An update whose
    /// answer is lost is settled by reading the object back.
    ///
    /// # Errors
    ///
    /// `Conflict` if another change came first, `Unknown` if the outcome
    /// cannot be found out.
    pub fn make(&self, outside: &Outside<'_>) -> Result<u64, Failure> {
        let store = outside.store()?;
        match store.update(self.name, self.expect, self.value) {
            Ok(version) => Ok(version),
            Err(StoreError::Conflict) => Err(self.conflict(store)),
            Err(StoreError::Lost(why)) => self.settle(&why, outside),
            Err(e) => Err(e.into()),
        }
    }

    fn conflict(&self, store: &dyn Store) -> Failure {
        let now = match store.read(self.name) {
            Ok(Some(object)) => format!("version {}", object.version),
            Ok(None) => "absent".to_owned(),
            Err(_) => "another version".to_owned(),
        };
        let message = format!(
            "conflict: {} is {now}, the change is based on {}; nothing was \
             changed",
            self.name,
            based_on(self.expect)
        );
        Failure::new(Exit::Conflict, message)
    }

    /// Finds the outcome of an update whose answer was lost.
    fn settle(
        &self,
        why: &str,
        outside: &Outside<'_>,
    ) -> Result<u64, Failure> {
        let store = outside.store()?;
        let mut last = String::from("the store did not answer a read");
        for _ in 0..SETTLE_READS {
            outside.timer.pause(SETTLE_PAUSE);
            let object = match store.read(self.name) {
                Ok(object) => object,
                Err(e) => {
                    last = e.to_string();
                    continue;
                }
            };
            let version = object.as_ref().map_or(0, |o| o.version);
            if version == self.expect {
                last = format!("it is still {}", based_on(version));
                continue;
            }
            return match object {
                Some(object) if object.value == self.value => Ok(version),
                object => Err(self.replaced(object.as_ref())),
            };
        }
        let message = format!(
            "{why}; read {} back: {last}. The update can still take effect. \
             Check again later; a new attempt with the same expected version \
             cannot undo a newer change",
            self.name
        );
        Err(Failure::new(Exit::Unknown, message))
    }

    /// The outcome if another value is found after a lost answer.
    fn replaced(&self, object: Option<&Object>) -> Failure {
        let version = object.map_or(0, |o| o.version);
        // Versions only grow, so no version lies between these two.
        let refused = version == self.expect + 1;
        let (exit, outcome) = if refused {
            (Exit::Conflict, "this update was refused")
        } else {
            (Exit::Unknown, "this update was refused or has been replaced")
        };
        let message = format!(
            "conflict: {} is {} with another value; {outcome}",
            self.name,
            based_on(version)
        );
        Failure::new(exit, message)
    }
}

fn based_on(version: u64) -> String {
    match version {
        0 => "absent".to_owned(),
        n => format!("version {n}"),
    }
}

/// Applies a configuration document and returns the version in force.
///
/// # Errors
///
/// See [`Exit`].
pub fn apply(
    text: &[u8],
    expect: Option<u64>,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<u64, Failure> {
    let config = Config::parse(text, None).map_err(|e| invalid(&e))?;
    let name = config_object_name(&config.operator);
    let current = outside.store()?.read(&name)?;
    let version = current.as_ref().map_or(0, |o| o.version);
    if expect.is_some_and(|v| v != version) {
        let message = format!(
            "conflict: {name} is {}, --expect names {}; nothing was changed",
            based_on(version),
            based_on(expect.unwrap_or(0))
        );
        return Err(Failure::new(Exit::Conflict, message));
    }
    writeln!(out, "{name}: {} is current", based_on(version))?;
    if let Some(object) = current {
        if object.value == text {
            writeln!(out, "{name}: the document is the same, no update")?;
            return Ok(version);
        }
        match Config::parse(&object.value, None) {
            Ok(old) => {
                Config::parse(text, Some(&old)).map_err(|e| invalid(&e))?;
                note_returning(&old, &config, outside, out)?;
            }
            // Nodes refuse such a document too, and run on an older one.
            Err(e) => writeln!(out, "{name}: current is not valid: {e}")?,
        }
    }
    let change = Change { name: &name, expect: version, value: text };
    let version = change.make(outside)?;
    writeln!(out, "{name}: version {version} is applied")?;
    Ok(version)
}

/// Notes services that are new to the document but have run before. What was
/// fixed then is no longer in the document, so it cannot be checked.
fn note_returning(
    old: &Config,
    new: &Config,
    outside: &Outside<'_>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    for name in new.services.keys() {
        if old.services.contains_key(name) {
            continue;
        }
        if outside.store()?.read(&object_name(name, 0))?.is_some() {
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

/// The failure for a document that cannot be used.
pub(crate) fn invalid(error: &impl std::fmt::Display) -> Failure {
    let message = format!("{error}; nothing was changed");
    Failure::new(Exit::Invalid, message)
}
