//! The data folder of a local installation.

use std::fs;
use std::path::{Path, PathBuf};

use pond_process::Error;

/// A data folder; a temporary one is removed when it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    temporary: bool,
}

impl Folder {
    /// The given folder, or a new temporary one.
    ///
    /// # Errors
    /// [`Error::File`] if it cannot be made.
    pub fn new(given: Option<&Path>) -> Result<Folder, Error> {
        let path = match given {
            Some(path) => path.to_owned(),
            None => std::env::temp_dir().join(format!("pondbay-{:016x}", rand::random::<u64>())),
        };
        let shown = path.display().to_string();
        fs::create_dir_all(&path).map_err(|source| Error::File { file: shown, source })?;
        Ok(Folder { path, temporary: given.is_none() })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if self.temporary {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
