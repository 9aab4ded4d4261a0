//! The shared token of internal links.

use pond_settings::Process;

use crate::Error;

/// The token that the settings name; empty where they name none.
///
/// # Errors
/// [`Error::File`] if it cannot be read.
pub fn read_token(settings: &Process) -> Result<String, Error> {
    let Some(file) = &settings.token_file else { return Ok(String::new()) };
    let shown = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|source| Error::File { file: shown, source })?;
    Ok(text.trim().to_owned())
}
