//! Client accounts and the keys by which requests name them.
//!
//! A key is known only by its digest: the adapter to the platform makes it from
//! what the configuration and the requests carry, so that no key is kept,
//! logged or passed between nodes.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::account::{Account, Accounts, KeyDigest};
//!
//! let mut accounts = Accounts::default();
//! let account = Account { name: "a".to_owned(), priority: Some(1) };
//! accounts.add(account, [KeyDigest(7), KeyDigest(8)])?;
//! let found = accounts.find(KeyDigest(8)).map(|a| a.name.as_str());
//! assert_eq!(found, Some("a"));
//! assert!(accounts.find(KeyDigest(9)).is_none());
//! # Ok::<(), lagoondyke_core::fleet::account::AccountError>(())
//! ```

use std::collections::{HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of a key, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(pub u128);

/// A client account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name, which upstreams are told.
    pub name: String,
    /// Priority of its requests, instead of that of their route; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
}

/// The accounts of a configuration. Without any, requests need no key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Accounts {
    list: Vec<Account>,
    /// Index of the account that holds the key.
    keys: HashMap<KeyDigest, u32>,
}

/// Why an account cannot be added.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AccountError {
    /// Two accounts have this name.
    NameTwice(String),
    /// These accounts hold the same key, or one holds it twice.
    KeyTwice(String, String),
}

impl fmt::Display for AccountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NameTwice(name) => {
                write!(f, "two accounts are named {name:?}")
            }
            Self::KeyTwice(first, second) => {
                write!(f, "accounts {first:?} and {second:?} hold one key")
            }
        }
    }
}

impl std::error::Error for AccountError {}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        format!("{:032x}", digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

impl Accounts {
    /// Adds an account with its keys. One without keys is valid: its last key
    /// may have been taken away.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is in use.
    pub fn add(
        &mut self,
        account: Account,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), AccountError> {
        let index = self.list.len() as u32;
        for key in keys {
            let Some(other) = self.keys.insert(key, index) else { continue };
            let other = self.list.get(other as usize).unwrap_or(&account);
            let other = other.name.clone();
            return Err(AccountError::KeyTwice(other, account.name));
        }
        self.list.push(account);
        Ok(())
    }

    /// Checks that no two accounts have one name.
    ///
    /// # Errors
    ///
    /// Returns the first name that is used again.
    pub fn check_names(&self) -> Result<(), AccountError> {
        let mut names = HashSet::new();
        for account in &self.list {
            if !names.insert(account.name.as_str()) {
                return Err(AccountError::NameTwice(account.name.clone()));
            }
        }
        Ok(())
    }

    /// The account that holds a key.
    #[must_use]
    pub fn find(&self, key: KeyDigest) -> Option<&Account> {
        self.list.get(*self.keys.get(&key)? as usize)
    }

    /// Whether there are no accounts, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
