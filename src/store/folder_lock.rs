//! Exclusive ownership of the state folder by one process, with a file lock that the kernel releases when the process exits.
//!
//! In addition, each owner creates a journal segment with a number that no other process can use, so that a process that
//! wrongly went on writing would find its successor's segment, and exit.

use std::fs::{File, TryLockError};
use std::path::Path;

/// The lock on a state folder, held until this is dropped.
#[derive(Debug)]
pub struct FolderLock(#[allow(dead_code)] File);

/// Locks the folder, which is created if it is missing. `None` if another process has locked it.
///
/// # Errors
/// If the folder or the file in it cannot be used.
pub fn lock_folder(folder: &Path) -> std::io::Result<Option<FolderLock>> {
    std::fs::create_dir_all(folder)?;
    let file = File::options().create(true).append(true).open(folder.join("lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(FolderLock(file))),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_is_locked_by_one_owner_until_the_lock_is_dropped() {
        let folder = std::env::temp_dir().join(format!("tulipfall-owner-{}", std::process::id()));
        let first = lock_folder(&folder).expect("a folder");
        assert!(first.is_some());
        assert!(lock_folder(&folder).expect("a folder").is_none());
        drop(first);
        assert!(lock_folder(&folder).expect("a folder").is_some());
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
