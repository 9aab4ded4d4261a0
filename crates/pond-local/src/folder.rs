//! Data folder of a local installation.

use std::fs;
use std::path::{Path, PathBuf};

use pond_process::Error;

/// A data folder. A temporary one is removed on drop.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    temporary: bool,
}

impl DataFolder {
    /// Creates the given folder, or a new temporary one.
    ///
    /// # Errors
    /// [`Error::File`] if it cannot be created.
    pub fn new(given: Option<&Path>) -> Result<DataFolder, Error> {
        let path = match given {
            Some(path) => path.to_owned(),
            None => std::env::temp_dir().join(format!("pondbay-{:016x}", rand::random::<u64>())),
        };
        let file = path.display().to_string();
        fs::create_dir_all(&path).map_err(|source| Error::File { file, source })?;
        Ok(DataFolder { path, temporary: given.is_none() })
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        if self.temporary {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
