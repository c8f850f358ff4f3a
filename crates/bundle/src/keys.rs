//! Public keys that a host trusts to sign bundles.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::VerifyingKey;
use heatherhinge_types::Name;
use std::collections::BTreeMap;
use std::fmt;

/// Trusted public keys by id; a bundle signed with any other key is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrustedKeys {
    keys: BTreeMap<Name, VerifyingKey>,
}

/// Error of [`TrustedKeys::add_base64`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyTextError {
    /// The text is not base64 of 32 bytes.
    NotBase64,
    /// The bytes are not a point of the curve, or a weak one under which forged signatures verify.
    InvalidKey,
}

impl TrustedKeys {
    /// Adds a key given as base64 of its 32 bytes, replacing a key with the same id.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not base64 of 32 bytes or they are not a usable key.
    pub fn add_base64(&mut self, id: Name, text: &str) -> Result<(), KeyTextError> {
        let bytes = STANDARD.decode(text).map_err(|_| KeyTextError::NotBase64)?;
        let bytes: [u8; 32] = bytes.try_into().map_err(|_| KeyTextError::NotBase64)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| KeyTextError::InvalidKey)?;
        if key.is_weak() {
            return Err(KeyTextError::InvalidKey);
        }
        self.keys.insert(id, key);
        Ok(())
    }

    /// Returns the key with this id.
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<&VerifyingKey> {
        self.keys.get(id)
    }

    /// Returns the ids of all keys, sorted.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.keys.keys()
    }
}

impl fmt::Display for KeyTextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotBase64 => "the key is not base64 of 32 bytes",
            Self::InvalidKey => "the bytes are not a usable Ed25519 public key",
        })
    }
}

impl std::error::Error for KeyTextError {}
