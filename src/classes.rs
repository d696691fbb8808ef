//! Table of message classes: the current ones, which new messages may have, and earlier ones that held
//! messages still have. The parameters of a held message never change, and an entry that is neither current
//! nor in use is freed.

use serde::{Deserialize, Serialize};

use crate::interface::Class;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    name: String,
    #[serde(rename = "terms")]
    parameters: Class,
    /// Number of held messages of the class.
    #[serde(rename = "users")]
    messages: usize,
    /// Whether new messages may have the class.
    current: bool,
}

/// Message classes by number. Invariant: no two current classes have the same name, and an entry without
/// messages that is not current is free for the next class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Classes {
    #[serde(rename = "slots")]
    entries: Vec<Entry>,
}

impl Classes {
    /// Creates a table with the classes of the settings, numbered in their order.
    pub fn new(names: &[String], parameters: &[Class]) -> Self {
        let mut classes = Classes::default();
        classes.replace(names, parameters);
        classes
    }

    /// Returns the number of the current class with this name.
    pub fn current(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.current && entry.name == name)
    }

    /// Returns the name of a class; empty if there is no such number.
    pub fn name(&self, number: usize) -> &str {
        self.entries.get(number).map_or("", |entry| &entry.name)
    }

    /// Returns the parameters of a class.
    pub fn parameters(&self, number: usize) -> Option<&Class> {
        self.entries.get(number).map(|entry| &entry.parameters)
    }

    /// Returns the parameters by number, as the decision module has them. A free entry gets those of a
    /// current class, so that parameters no longer in use have no influence.
    pub fn all(&self) -> Vec<Class> {
        let any = self.entries.iter().find(|entry| entry.current);
        let parameters = |entry: &Entry| {
            if entry.is_free() { any.unwrap_or(entry).parameters.clone() } else { entry.parameters.clone() }
        };
        self.entries.iter().map(parameters).collect()
    }

    /// Counts a held message of a class.
    pub fn add_message(&mut self, number: usize) {
        if let Some(entry) = self.entries.get_mut(number) {
            entry.messages += 1;
        }
    }

    /// Removes a held message of a class from its count; returns whether that freed the entry.
    pub fn remove_message(&mut self, number: usize) -> bool {
        let Some(entry) = self.entries.get_mut(number) else { return false };
        entry.messages = entry.messages.saturating_sub(1);
        entry.is_free()
    }

    /// Returns the number of the class that a message was accepted with, current or not, and whether the
    /// class had to be added.
    pub fn intern(&mut self, name: &str, parameters: &Class) -> (usize, bool) {
        let same = |entry: &Entry| !entry.is_free() && entry.name == name && entry.parameters == *parameters;
        match self.entries.iter().position(same) {
            Some(number) => (number, false),
            None => (self.insert(name, parameters, false), true),
        }
    }

    /// Replaces the current classes. Classes that are removed or change their parameters stay for the
    /// messages that have them.
    pub fn replace(&mut self, names: &[String], parameters: &[Class]) {
        self.entries.iter_mut().for_each(|entry| entry.current = false);
        for (name, parameters) in names.iter().zip(parameters) {
            // An entry with the same name and parameters is the same class, even if it is free.
            let same =
                self.entries.iter().position(|entry| entry.name == *name && entry.parameters == *parameters);
            match same {
                Some(number) => self.entries[number].current = true,
                None => drop(self.insert(name, parameters, true)),
            }
        }
        while self.entries.last().is_some_and(Entry::is_free) {
            self.entries.pop();
        }
    }

    fn insert(&mut self, name: &str, parameters: &Class, current: bool) -> usize {
        let entry = Entry { name: name.into(), parameters: parameters.clone(), messages: 0, current };
        match self.entries.iter().position(Entry::is_free) {
            Some(number) => {
                self.entries[number] = entry;
                number
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        }
    }
}

impl Entry {
    fn is_free(&self) -> bool {
        self.messages == 0 && !self.current
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Effect;

    fn parameters(aim: i64, effect: Effect) -> Class {
        Class { value: 1.0, aim, deadline: 9 * aim, late_fraction: 0.5, effect, in_order: false }
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|name| (*name).to_string()).collect()
    }

    #[test]
    fn held_message_keeps_its_parameters_while_its_class_is_changed_removed_and_restored() {
        let (old, strict) = (parameters(5, Effect::Idempotent), parameters(5, Effect::NonIdempotent));
        let mut classes = Classes::new(&names(&["a", "b"]), &[old.clone(), old.clone()]);
        let (a, b) = (classes.current("a").expect("a"), classes.current("b").expect("b"));
        classes.add_message(a);
        classes.replace(&names(&["a"]), std::slice::from_ref(&strict));
        let new = classes.current("a").expect("a");
        assert_ne!(a, new);
        assert_eq!((classes.parameters(a), classes.parameters(new)), (Some(&old), Some(&strict)));
        assert_eq!(classes.current("b"), None);
        assert_eq!(b, new, "a free entry is reused");
        // With the old parameters, the class of the held message is current again.
        classes.replace(&names(&["a"]), std::slice::from_ref(&old));
        assert_eq!(classes.current("a"), Some(a));
        assert!(!classes.remove_message(a), "the class is current");
    }

    #[test]
    fn table_stays_small_over_a_thousand_reloads_and_unused_parameters_are_not_exported() {
        let mut classes = Classes::new(&names(&["a"]), &[parameters(1, Effect::Idempotent)]);
        let first = classes.current("a").expect("a");
        classes.add_message(first);
        for n in 2..1000 {
            classes.replace(
                &names(&["a", "b"]),
                &[parameters(n, Effect::Idempotent), parameters(n, Effect::NonIdempotent)],
            );
        }
        assert!(classes.all().len() <= 5, "{}", classes.all().len());
        assert_eq!(classes.all().iter().map(|class| class.aim).min(), Some(1));
        assert!(classes.remove_message(first), "its last message ended");
        assert_eq!(classes.all().iter().map(|class| class.aim).min(), Some(999));
    }

    #[test]
    fn message_of_an_earlier_process_keeps_its_own_parameters() {
        let mut classes = Classes::new(&names(&["a"]), &[parameters(1, Effect::Idempotent)]);
        let current = classes.current("a").expect("a");
        assert_eq!(classes.intern("a", &parameters(1, Effect::Idempotent)), (current, false));
        let (other, _) = classes.intern("a", &parameters(1, Effect::NonIdempotent));
        classes.add_message(other);
        assert_ne!(other, current);
        assert_eq!(classes.current("a"), Some(current));
    }
}
