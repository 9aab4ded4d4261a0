//! The shared token of internal links.

use pond_settings::Process;

use crate::Error;

/// Reads the token from the configured file; empty if none is configured.
///
/// # Errors
/// [`Error::File`] if the file cannot be read.
pub fn read_token(settings: &Process) -> Result<String, Error> {
    let Some(file) = &settings.token_file else { return Ok(String::new()) };
    let path = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|source| Error::File { file: path, source })?;
    Ok(text.trim().to_owned())
}
