//! Creates, writes and reads signing keys.

use crate::bundle_file::{file_name, read_text};
use crate::{Context, Output};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use heatherhinge_ini::{Document, Problem, Section};
use heatherhinge_types::{Digest, Name};
use serde_json::json;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// A signing key with its id.
pub(crate) struct OperatorKey {
    pub(crate) id: Name,
    pub(crate) key: SigningKey,
}

/// Creates a key and writes it to a file that only its owner can read.
pub(crate) fn new(context: &Context, out: &Path, id: Option<Name>) -> Output {
    let key = SigningKey::from_bytes(&context.secret);
    let public = STANDARD.encode(key.verifying_key().as_bytes());
    let id = id.unwrap_or_else(|| derived_id(&key));
    let text = format!(
        "; Signing key of heatherhinge bundles. Whoever has this file can change the fleet.\n\
         [signing-key]\nid = {id}\nsecret = {}\npublic = {public}\n",
        STANDARD.encode(key.as_bytes())
    );
    if let Err(error) = write_new(out, &text) {
        return Output::usage(&format!(
            "The file {} cannot be created: {error}.",
            out.display()
        ));
    }
    Output::ok(
        format!(
            "Created key {id} in {}. Add this section to the settings of every entry host:\n\n\
             [key {id}]\npublic = {public}\n",
            out.display()
        ),
        json!({ "id": id, "public": public, "file": out }),
    )
}

/// Reads a key file.
pub(crate) fn read(path: &Path) -> Result<OperatorKey, Output> {
    let text = read_text(path)?;
    parse(&file_name(path), &text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Output::usage(&format!(
            "The key file cannot be used.\n{}",
            lines.join("\n")
        ))
    })
}

fn parse(file: &Name, text: &str) -> Result<OperatorKey, Vec<Problem>> {
    let (sections, mut problems) = Document::parse(file, text).into_parts();
    let mut found = None;
    for mut section in sections {
        if section.title() == "[signing-key]" {
            found = read_section(&mut section);
            problems.extend(section.finish());
        } else {
            // One problem for the section is enough; its fields are not reported.
            problems.push(Problem {
                file: file.clone(),
                line: section.line(),
                field: Name::from(section.title()),
                message: "unknown section; a key file has only [signing-key]".to_owned(),
            });
        }
    }
    match found {
        Some(key) if problems.is_empty() => Ok(key),
        _ => {
            if problems.is_empty() {
                problems.push(Problem {
                    file: file.clone(),
                    line: 0,
                    field: Name::new("[signing-key]"),
                    message: "the section is missing".to_owned(),
                });
            }
            Err(problems)
        }
    }
}

fn read_section(section: &mut Section) -> Option<OperatorKey> {
    let id = section.take_name("id");
    let key = section.take_with("secret", |text| {
        let bytes = STANDARD.decode(text).ok();
        let secret: Option<[u8; 32]> = bytes.and_then(|bytes| bytes.try_into().ok());
        // The message must not contain the value, which may be a damaged secret.
        secret
            .map(|secret| SigningKey::from_bytes(&secret))
            .ok_or_else(|| "the value is not base64 of 32 bytes".to_owned())
    });
    let key_for_public = key.clone();
    section.take_with("public", |text| {
        let expected = key_for_public.map(|key| STANDARD.encode(key.verifying_key().as_bytes()));
        if expected.is_none_or(|expected| expected == text) {
            Ok(())
        } else {
            Err("the public key does not match the secret key".to_owned())
        }
    });
    Some(OperatorKey { id: id?, key: key? })
}

fn derived_id(key: &SigningKey) -> Name {
    let digest = Digest::of(key.verifying_key().as_bytes()).to_string();
    let short: String = digest.chars().take(12).collect();
    Name::from(format!("key-{short}"))
}

/// Writes a new file; fails if it exists, so that no key is overwritten.
fn write_new(path: &Path, text: &str) -> std::io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
