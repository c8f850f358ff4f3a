//! The envelope of a bundle: its text and its signature.

use crate::TrustedKeys;
use ed25519_dalek::{Signature, Signer, SigningKey};
use heatherhinge_types::{Code, Digest, Name};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use std::collections::BTreeSet;

/// Largest envelope as JSON, in bytes; a row of the platform's table service is at most 400 KB.
pub const ENVELOPE_LIMIT_BYTES: usize = 350_000;

/// The text of a bundle, signed by an operator.
///
/// The text is kept byte for byte, because the signature covers these bytes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Text of the bundle; not verified until [`Envelope::verify`] returns it.
    pub text: String,
    /// Id of the signing key.
    pub key_id: Name,
    /// Ed25519 signature over the text.
    #[serde_as(as = "Base64")]
    pub signature: [u8; 64],
}

impl Envelope {
    /// Signs the text of a bundle; the text is not checked.
    #[must_use]
    pub fn sign(text: String, key_id: Name, key: &SigningKey) -> Self {
        let signature = key.sign(text.as_bytes()).to_bytes();
        Self {
            text,
            key_id,
            signature,
        }
    }

    /// Parses an envelope from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleBadEnvelope`] if the JSON is not an envelope or is larger than
    /// [`ENVELOPE_LIMIT_BYTES`].
    pub fn from_json(bytes: &[u8]) -> Result<Self, Code> {
        if bytes.len() > ENVELOPE_LIMIT_BYTES {
            return Err(Code::BundleBadEnvelope);
        }
        serde_json::from_slice(bytes).map_err(|_| Code::BundleBadEnvelope)
    }

    /// Returns the envelope as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleBadEnvelope`] if the JSON is larger than [`ENVELOPE_LIMIT_BYTES`].
    pub fn to_json(&self) -> Result<String, Code> {
        serde_json::to_string(self)
            .ok()
            .filter(|json| json.len() <= ENVELOPE_LIMIT_BYTES)
            .ok_or(Code::BundleBadEnvelope)
    }

    /// Verifies the signature and returns the text, which a trusted key has then signed.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BundleRevokedKey`] if the key is in `revoked`, even if it is also trusted;
    /// [`Code::BundleUnknownKey`] if the key is not trusted; and [`Code::BundleBadSignature`] if
    /// the signature does not match the text.
    pub fn verify(&self, trusted: &TrustedKeys, revoked: &BTreeSet<Name>) -> Result<&str, Code> {
        if revoked.contains(&self.key_id) {
            return Err(Code::BundleRevokedKey);
        }
        let key = trusted.get(&self.key_id).ok_or(Code::BundleUnknownKey)?;
        // The strict check rejects signatures that are valid for more than one text or key.
        key.verify_strict(
            self.text.as_bytes(),
            &Signature::from_bytes(&self.signature),
        )
        .map_err(|_| Code::BundleBadSignature)?;
        Ok(&self.text)
    }

    /// Returns the digest by which two envelopes are compared after a lost response.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of_parts(&[
            self.text.as_bytes(),
            self.key_id.as_bytes(),
            &self.signature,
        ])
    }
}
