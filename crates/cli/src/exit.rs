//! Exit statuses and the error type of the command.

use std::fmt;

use crate::environment::{CallError, StoreError};

/// Exit status of a command that failed; 0 is success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// A file, document or answer is invalid.
    Invalid = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change came first; nothing was changed.
    Conflict = 3,
    /// The store or a node did not answer; nothing was changed.
    Unreachable = 4,
    /// An update may or may not have taken effect.
    Unknown = 5,
    /// The change is made, but was not seen in force within the time limit.
    TimedOut = 6,
    /// The change would be unsafe; nothing was changed.
    Unsafe = 7,
}

/// Explanation of the exit statuses for `--help`.
pub const EXIT_HELP: &str = "Exit status: 0 done, 1 invalid file, document \
or answer, 2 wrong command line, 3 conflict with another change, 4 store or \
node does not answer, 5 update with unknown outcome, 6 not in force in time, \
7 refused as unsafe. After 3, 4 and 7 nothing was changed.";

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Exit status of the command.
    pub exit: Exit,
    /// Message for the operator, without a final period.
    pub message: String,
}

impl Failure {
    /// Creates a failure with an exit status and a message.
    #[must_use]
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        let exit = match error {
            CallError::Invalid(_) => Exit::Invalid,
            CallError::NotSent(_) | CallError::AnswerLost(_) => {
                Exit::Unreachable
            }
        };
        Self::new(exit, error.to_string())
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        let exit = match error {
            StoreError::Conflict => Exit::Conflict,
            StoreError::NotSent(_) | StoreError::ReadFailed(_) => {
                Exit::Unreachable
            }
            StoreError::AnswerLost(_) => Exit::Unknown,
            StoreError::Rejected(_) => Exit::Invalid,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::new(Exit::Invalid, format!("cannot write output: {error}"))
    }
}
