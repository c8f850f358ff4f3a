//! Defines attribute values and their encoding by the table service.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, serde_as};

/// The value of one attribute; encoded as `{"S": "text"}`, `{"N": "7"}` or `{"B": "base64"}`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attribute {
    /// Text.
    #[serde(rename = "S")]
    Text(String),
    /// A whole number.
    #[serde(rename = "N")]
    Number(#[serde_as(as = "DisplayFromStr")] u64),
    /// Bytes.
    #[serde(rename = "B")]
    Bytes(#[serde_as(as = "Base64")] Vec<u8>),
}
