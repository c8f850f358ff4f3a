//! Reads bundle and envelope files.

use crate::Output;
use heatherhinge_bundle::{Bundle, Envelope};
use heatherhinge_types::{Code, Name};
use std::path::Path;

/// Reads a file as text.
pub(crate) fn read_text(path: &Path) -> Result<String, Output> {
    std::fs::read_to_string(path).map_err(|error| {
        Output::usage(&format!(
            "The file {} cannot be read: {error}.",
            path.display()
        ))
    })
}

/// Returns the file name used in reported problems.
pub(crate) fn file_name(path: &Path) -> Name {
    Name::from(path.display().to_string())
}

/// Reads an envelope and parses the bundle in it. The signature is not verified here, because only
/// the hosts hold the trusted keys; end times of moves are checked before signing and by the hosts.
pub(crate) fn read_envelope(path: &Path) -> Result<(Envelope, Bundle), Output> {
    let json = read_text(path)?;
    let envelope =
        Envelope::from_json(json.as_bytes()).map_err(|code| Output::refused(code, &[]))?;
    let bundle = Bundle::parse_accepted(&file_name(path), &envelope.text)
        .map_err(|problems| Output::refused(Code::BundleMalformed, &problems))?;
    Ok((envelope, bundle))
}
