//! Who owns the state folder: one process at a time, by a lock that the kernel lets go of when its holder dies. Owns
//! the file that is locked. It must never let two processes believe that the folder is theirs.
//!
//! Beside the lock, each owner begins a segment of the journal with a number that nobody may use again, so that a
//! process which wrongly went on writing would meet its successor's segment, and end.

use std::fs::{File, TryLockError};
use std::path::Path;

/// The lock on a state folder, held until this is dropped.
#[derive(Debug)]
pub struct Owner(#[allow(dead_code)] File);

/// Takes the folder, creating it where it is missing; `None` where another process has it.
///
/// # Errors
/// Where the folder or the file in it cannot be used.
pub fn own(folder: &Path) -> std::io::Result<Option<Owner>> {
    std::fs::create_dir_all(folder)?;
    let file = File::options().create(true).append(true).open(folder.join("lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(Owner(file))),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_has_one_owner_until_that_is_gone() {
        let folder = std::env::temp_dir().join(format!("tulipfall-owner-{}", std::process::id()));
        let first = own(&folder).expect("a folder");
        assert!(first.is_some());
        assert!(own(&folder).expect("a folder").is_none());
        drop(first);
        assert!(own(&folder).expect("a folder").is_some());
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
