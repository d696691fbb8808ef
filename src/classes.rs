//! The classes of message that a relay knows: those that new messages may have, and those that only messages held from
//! before still have. Owns which number stands for which terms. It must never change the terms of a message that is
//! held, nor keep an entry that nobody has any more.

use serde::{Deserialize, Serialize};

use crate::interface::Class;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Slot {
    name: String,
    terms: Class,
    /// Messages that are held under it.
    users: usize,
    /// New messages may have it.
    current: bool,
}

/// The classes, by number. Invariant: no two current ones have one name, and a slot without users that is not current is
/// free for the next class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Classes {
    slots: Vec<Slot>,
}

impl Classes {
    /// The classes of settings, numbered in their order.
    pub fn new(names: &[String], terms: &[Class]) -> Self {
        let mut classes = Classes::default();
        classes.replace(names, terms);
        classes
    }

    /// The class that a new message of that name has.
    pub fn current(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|slot| slot.current && slot.name == name)
    }

    /// Its name; empty where there is no such number.
    pub fn name(&self, number: usize) -> &str {
        self.slots.get(number).map_or("", |slot| &slot.name)
    }

    /// Its terms.
    pub fn terms(&self, number: usize) -> Option<&Class> {
        self.slots.get(number).map(|slot| &slot.terms)
    }

    /// The terms by number, as the module has them. A free slot has those of a current class, so that terms that are no
    /// more decide nothing.
    pub fn all(&self) -> Vec<Class> {
        let any = self.slots.iter().find(|slot| slot.current);
        let terms =
            |slot: &Slot| if slot.is_free() { any.unwrap_or(slot).terms.clone() } else { slot.terms.clone() };
        self.slots.iter().map(terms).collect()
    }

    /// A message is held under it.
    pub fn hold(&mut self, number: usize) {
        if let Some(slot) = self.slots.get_mut(number) {
            slot.users += 1;
        }
    }

    /// A message that was held under it ended; tells whether that freed the slot.
    pub fn release(&mut self, number: usize) -> bool {
        let Some(slot) = self.slots.get_mut(number) else { return false };
        slot.users = slot.users.saturating_sub(1);
        slot.is_free()
    }

    /// The number of a class that a message came in under, whether new messages may have it or not; and whether it is
    /// new here.
    pub fn intern(&mut self, name: &str, terms: &Class) -> (usize, bool) {
        let same = |slot: &Slot| !slot.is_free() && slot.name == name && slot.terms == *terms;
        match self.slots.iter().position(same) {
            Some(number) => (number, false),
            None => (self.put(name, terms, false), true),
        }
    }

    /// Other classes for new messages. Those that go, or change their terms, stay for the messages that have them.
    pub fn replace(&mut self, names: &[String], terms: &[Class]) {
        self.slots.iter_mut().for_each(|slot| slot.current = false);
        for (name, terms) in names.iter().zip(terms) {
            // One with the same terms is the same class, also where it is free: its number is as good as any.
            let same = self.slots.iter().position(|slot| slot.name == *name && slot.terms == *terms);
            match same {
                Some(number) => self.slots[number].current = true,
                None => drop(self.put(name, terms, true)),
            }
        }
        while self.slots.last().is_some_and(Slot::is_free) {
            self.slots.pop();
        }
    }

    fn put(&mut self, name: &str, terms: &Class, current: bool) -> usize {
        let slot = Slot { name: name.into(), terms: terms.clone(), users: 0, current };
        match self.slots.iter().position(Slot::is_free) {
            Some(number) => {
                self.slots[number] = slot;
                number
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        }
    }
}

impl Slot {
    fn is_free(&self) -> bool {
        self.users == 0 && !self.current
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Effect;

    fn terms(aim: i64, effect: Effect) -> Class {
        Class { worth: 1.0, aim, deadline: 9 * aim, late_worth: 0.5, effect, in_order: false }
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|name| (*name).to_string()).collect()
    }

    #[test]
    fn a_held_message_keeps_its_terms_while_its_class_changes_goes_and_comes_back() {
        let (old, strict) = (terms(5, Effect::Safe), terms(5, Effect::Unsafe));
        let mut classes = Classes::new(&names(&["a", "b"]), &[old.clone(), old.clone()]);
        let (a, b) = (classes.current("a").expect("a"), classes.current("b").expect("b"));
        classes.hold(a);
        classes.replace(&names(&["a"]), std::slice::from_ref(&strict));
        let new = classes.current("a").expect("a");
        assert_ne!(a, new);
        assert_eq!((classes.terms(a), classes.terms(new)), (Some(&old), Some(&strict)));
        assert_eq!(classes.current("b"), None);
        assert_eq!(b, new, "what nobody has is used again");
        // Back to the old terms: the held one's class is the current one again.
        classes.replace(&names(&["a"]), std::slice::from_ref(&old));
        assert_eq!(classes.current("a"), Some(a));
        assert!(!classes.release(a), "it is current");
    }

    #[test]
    fn a_thousand_reloads_grow_nothing_and_terms_that_are_no_more_decide_nothing() {
        let mut classes = Classes::new(&names(&["a"]), &[terms(1, Effect::Safe)]);
        let first = classes.current("a").expect("a");
        classes.hold(first);
        for n in 2..1000 {
            classes.replace(&names(&["a", "b"]), &[terms(n, Effect::Safe), terms(n, Effect::Unsafe)]);
        }
        assert!(classes.all().len() <= 5, "{}", classes.all().len());
        assert_eq!(classes.all().iter().map(|class| class.aim).min(), Some(1));
        assert!(classes.release(first), "its last message ended");
        assert_eq!(classes.all().iter().map(|class| class.aim).min(), Some(999));
    }

    #[test]
    fn a_message_of_an_earlier_process_brings_its_own_terms() {
        let mut classes = Classes::new(&names(&["a"]), &[terms(1, Effect::Safe)]);
        let current = classes.current("a").expect("a");
        assert_eq!(classes.intern("a", &terms(1, Effect::Safe)), (current, false));
        let (other, _) = classes.intern("a", &terms(1, Effect::Unsafe));
        classes.hold(other);
        assert_ne!(other, current);
        assert_eq!(classes.current("a"), Some(current));
    }
}
