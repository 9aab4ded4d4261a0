//! Operators' access tokens.

use std::fs;
use std::path::PathBuf;

use pond_process::Error;

/// The tokens that are accepted. The file is read again at each call, so that it can change without
/// a restart.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    file: Option<PathBuf>,
}

impl Tokens {
    /// Uses the tokens of a file with lines `name token`; without a file no token is required.
    ///
    /// # Errors
    /// [`Error::File`] if the file cannot be read.
    pub fn new(file: Option<PathBuf>) -> Result<Tokens, Error> {
        if let Some(file) = &file {
            let path = file.display().to_string();
            fs::read(file).map_err(|source| Error::File { file: path, source })?;
        }
        Ok(Tokens { file })
    }

    /// Returns the owner of the token in a request, or `Ok(None)` if no token is required.
    ///
    /// # Errors
    /// If a token is required and the request has no known one.
    pub fn owner(&self, authorization: Option<&str>) -> Result<Option<String>, ()> {
        let Some(file) = &self.file else { return Ok(None) };
        let presented = authorization.and_then(|value| value.strip_prefix("Bearer ")).ok_or(())?;
        let text = fs::read_to_string(file).map_err(|_| ())?;
        let pairs = text.lines().filter_map(|line| line.trim().split_once(' '));
        let mut owner = None;
        for (name, token) in pairs {
            if constant_time_eq(token.trim(), presented.trim()) {
                owner = Some(name.to_owned());
            }
        }
        owner.map(Some).ok_or(())
    }
}

/// Compares two strings in a time that does not reveal where they differ.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let differs = a.bytes().zip(b.bytes()).fold(0, |sum, (x, y)| sum | (x ^ y));
    a.len() == b.len() && !a.is_empty() && differs == 0
}
