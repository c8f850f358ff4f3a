//! Decodes pages of an S3 list.

use crate::PlatformError;

/// One page of a list.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Page {
    pub(crate) keys: Vec<String>,
    pub(crate) next_token: Option<String>,
}

impl Page {
    /// Decodes a `ListBucketResult`. Only the elements that the client uses are read; the
    /// workspace declares no XML library, and the keys that it writes need no escapes.
    pub(crate) fn parse(xml: &str) -> Result<Self, PlatformError> {
        let has_both_ends =
            xml.contains("<ListBucketResult") && xml.contains("</ListBucketResult>");
        let is_truncated = elements(xml, "IsTruncated").next();
        match is_truncated {
            Some("true" | "false") if has_both_ends => {}
            _ => return Err(PlatformError::malformed("not a ListBucketResult")),
        }
        let next_token = elements(xml, "NextContinuationToken").next().map(unescape);
        if is_truncated == Some("true") && next_token.is_none() {
            return Err(PlatformError::malformed(
                "a truncated list has no NextContinuationToken",
            ));
        }
        let keys = elements(xml, "Contents")
            .filter_map(|contents| elements(contents, "Key").next())
            .map(unescape)
            .collect();
        Ok(Self { keys, next_token })
    }
}

/// Returns the contents of the elements with this name; elements with attributes are skipped.
fn elements<'a>(xml: &'a str, name: &str) -> impl Iterator<Item = &'a str> {
    let (open, close) = (format!("<{name}>"), format!("</{name}>"));
    let mut rest = xml;
    std::iter::from_fn(move || {
        let (_, tail) = rest.split_once(&open)?;
        let (content, tail) = tail.split_once(&close)?;
        rest = tail;
        Some(content)
    })
}

fn unescape(text: &str) -> String {
    text.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&apos;", "'")
        .replace("&amp;", "&")
}
