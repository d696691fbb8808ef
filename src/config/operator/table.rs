//! A table of an operator's file, with typed access to its keys.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

use crate::config::error::{ConfigError, bad};
use crate::interface::Micros;

/// Microseconds in a day, the unit of durations in an operator's file.
pub(super) const DAY: Micros = 86_400_000_000;
/// Maximum of any number in an operator's file.
const MAX_NUMBER: f64 = 1e12;

/// One table of an operator's file. It remembers which keys were read, so that an unknown key is reported.
pub(in crate::config) struct Table<'a> {
    value: &'a Value,
    path: String,
    read: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Table<'a> {
    /// The table at a path of the file; an error if the value there is not a table.
    pub(in crate::config) fn new(value: &'a Value, path: &str) -> Result<Self, ConfigError> {
        if !value.is_object() {
            return Err(bad(path, "is not a table"));
        }
        Ok(Table { value, path: path.into(), read: RefCell::default() })
    }

    /// The full path of a key.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }

    /// An error for a file that a key of this table names and that cannot be read.
    pub(in crate::config) fn unreadable(&self, key: &str, file: &Path, error: std::io::Error) -> ConfigError {
        ConfigError::Unreadable { file: format!("{}: {}", self.path_of(key), file.display()), error }
    }

    /// An error at a key of this table.
    pub(in crate::config) fn bad(&self, key: &str, why: impl Into<String>) -> ConfigError {
        bad(&self.path_of(key), why)
    }

    /// The value of a key, if it is there.
    pub(in crate::config) fn get(&self, key: &'static str) -> Option<&'a Value> {
        self.read.borrow_mut().insert(key);
        self.value.get(key)
    }

    /// An optional text.
    pub(in crate::config) fn maybe_text(&self, key: &'static str) -> Result<Option<&'a str>, ConfigError> {
        let found = self.get(key).map(|found| found.as_str().ok_or_else(|| self.bad(key, "is not a text")));
        found.transpose()
    }

    /// A required text, which must not be empty.
    pub(in crate::config) fn text(&self, key: &'static str) -> Result<&'a str, ConfigError> {
        self.maybe_text(key)?.filter(|text| !text.is_empty()).ok_or_else(|| self.bad(key, "is missing"))
    }

    /// An optional address with a port.
    pub(in crate::config) fn address(&self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.maybe_text(key)? else { return Ok(None) };
        let address = text.parse().map(Some);
        address.map_err(|_| self.bad(key, format!("is {text:?}, expected address:port")))
    }

    /// A number that is at least `min`; without a default it is required.
    pub(in crate::config) fn number(
        &self, key: &'static str, min: f64, default: Option<f64>,
    ) -> Result<f64, ConfigError> {
        let expected = |found: &str| self.bad(key, format!("is {found}, expected a number, {min} or more"));
        match self.get(key) {
            None => default.ok_or_else(|| expected("missing")),
            Some(found) => found
                .as_f64()
                .filter(|number| *number >= min && *number <= MAX_NUMBER)
                .ok_or_else(|| expected(&found.to_string())),
        }
    }

    /// An optional inner table.
    pub(in crate::config) fn table(&self, key: &'static str) -> Result<Option<Table<'a>>, ConfigError> {
        self.get(key).map(|value| Table::new(value, &self.path_of(key))).transpose()
    }

    /// A list of inner tables; empty where the key is missing.
    pub(in crate::config) fn tables(&self, key: &'static str) -> Result<Vec<Table<'a>>, ConfigError> {
        let Some(found) = self.get(key) else { return Ok(vec![]) };
        let items = found.as_array().ok_or_else(|| self.bad(key, "is not a list of tables"))?;
        let path = |i| format!("{}.{i}", self.path_of(key));
        items.iter().enumerate().map(|(i, item)| Table::new(item, &path(i))).collect()
    }

    /// Checks that every key in the table has been read; any other is unknown.
    pub(in crate::config) fn finish(&self) -> Result<(), ConfigError> {
        let read = self.read.borrow();
        let mut keys = self.value.as_object().into_iter().flat_map(|fields| fields.keys());
        match keys.find(|key| !read.contains(key.as_str())) {
            Some(key) => {
                let known: Vec<&str> = read.iter().copied().collect();
                Err(self.bad(key, format!("is not known here; known are {}", known.join(", "))))
            }
            None => Ok(()),
        }
    }
}
