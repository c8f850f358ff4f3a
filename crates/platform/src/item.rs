//! Defines the rows of the table and their encoding.

use crate::{Attribute, PlatformError};
use bytes::Bytes;
use std::collections::BTreeMap;

const PK: &str = "pk";
const VERSION: &str = "version";
const NONCE: &str = "nonce";
const BODY: &str = "body";

/// One row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Key of the row, such as `bundle#current`.
    pub pk: String,
    /// Version of the row; each writer writes the version after the one that its condition names.
    pub version: u64,
    /// Identifies the writer and the write, so that reading the row shows whether a write with a
    /// lost response took effect.
    pub nonce: String,
    /// Content; the table does not interpret it.
    pub body: Bytes,
    /// Further attributes; the names `pk`, `version`, `nonce` and `body` are reserved.
    pub attributes: BTreeMap<String, Attribute>,
}

impl Item {
    /// Returns a text attribute; `None` also if it has another type.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.attributes.get(name) {
            Some(Attribute::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns a number attribute; `None` also if it has another type.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.attributes.get(name) {
            Some(Attribute::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub(crate) fn to_wire(&self) -> BTreeMap<String, Attribute> {
        let mut wire = self.attributes.clone();
        wire.insert(PK.to_owned(), Attribute::Text(self.pk.clone()));
        wire.insert(VERSION.to_owned(), Attribute::Number(self.version));
        wire.insert(NONCE.to_owned(), Attribute::Text(self.nonce.clone()));
        wire.insert(BODY.to_owned(), Attribute::Bytes(self.body.to_vec()));
        wire
    }

    pub(crate) fn from_wire(
        mut attributes: BTreeMap<String, Attribute>,
    ) -> Result<Self, PlatformError> {
        let required = (
            attributes.remove(PK),
            attributes.remove(VERSION),
            attributes.remove(NONCE),
            attributes.remove(BODY),
        );
        match required {
            (
                Some(Attribute::Text(pk)),
                Some(Attribute::Number(version)),
                Some(Attribute::Text(nonce)),
                Some(Attribute::Bytes(body)),
            ) => Ok(Self {
                pk,
                version,
                nonce,
                body: body.into(),
                attributes,
            }),
            _ => Err(PlatformError::malformed(
                "a row lacks pk, version, nonce or body",
            )),
        }
    }
}
