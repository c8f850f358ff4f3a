//! A bundle's text with its signature.

use crate::TrustedKeys;
use ed25519_dalek::{Signature, Signer, SigningKey};
use heatherhinge_types::{Code, Digest, Name};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use std::collections::BTreeSet;

/// Largest envelope as JSON, in bytes; a row of the platform's table service holds 400 KB.
pub const ENVELOPE_LIMIT_BYTES: usize = 350_000;

/// The text of a bundle, signed by an operator.
///
/// The text is kept byte for byte, because the signature is over these bytes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Text of the bundle.
    pub text: String,
    /// Id of the signing key.
    pub key_id: Name,
    /// Ed25519 signature over the text.
    #[serde_as(as = "Base64")]
    pub signature: [u8; 64],
}

impl Envelope {
    /// Signs a text.
    #[must_use]
    pub fn sign(text: String, key_id: Name, key: &SigningKey) -> Self {
        let signature = key.sign(text.as_bytes()).to_bytes();
        Self {
            text,
            key_id,
            signature,
        }
    }

    /// Reads an envelope from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleBadEnvelope`] for anything else and for an envelope that is too large.
    pub fn from_json(bytes: &[u8]) -> Result<Self, Code> {
        if bytes.len() > ENVELOPE_LIMIT_BYTES {
            return Err(Code::BundleBadEnvelope);
        }
        serde_json::from_slice(bytes).map_err(|_| Code::BundleBadEnvelope)
    }

    /// Writes the envelope as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleBadEnvelope`] if the result is too large to be accepted.
    pub fn to_json(&self) -> Result<String, Code> {
        serde_json::to_string(self)
            .ok()
            .filter(|json| json.len() <= ENVELOPE_LIMIT_BYTES)
            .ok_or(Code::BundleBadEnvelope)
    }

    /// Checks the signature and returns the text, which can then be trusted to be an operator's.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleRevokedKey`] for a key that the bundle in force revokes, even if the
    /// settings trust it; [`Code::BundleUnknownKey`] for a key that they do not trust; and
    /// [`Code::BundleBadSignature`] if text and signature do not belong together.
    pub fn verify(&self, trusted: &TrustedKeys, revoked: &BTreeSet<Name>) -> Result<&str, Code> {
        if revoked.contains(&self.key_id) {
            return Err(Code::BundleRevokedKey);
        }
        let key = trusted.get(&self.key_id).ok_or(Code::BundleUnknownKey)?;
        // The strict check refuses signatures that more than one text or key would fit.
        key.verify_strict(
            self.text.as_bytes(),
            &Signature::from_bytes(&self.signature),
        )
        .map_err(|_| Code::BundleBadSignature)?;
        Ok(&self.text)
    }

    /// Returns the digest by which two envelopes are compared after a lost answer.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of_parts(&[
            self.text.as_bytes(),
            self.key_id.as_bytes(),
            &self.signature,
        ])
    }
}
