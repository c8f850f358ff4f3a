//! Stores the objects of one bucket and lists them as S3 XML.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::Bound;

/// Maximum number of keys in one page of a list, as in the published limits of S3.
const PAGE_LIMIT: usize = 1_000;

/// One bucket: object bodies by key.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    objects: BTreeMap<String, Bytes>,
}

impl ObjectStore {
    /// Stores an object and replaces an earlier one with the same key.
    pub fn put(&mut self, key: &str, body: Bytes) {
        self.objects.insert(key.to_owned(), body);
    }

    /// Returns the body of an object, or `None` if no object has the key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    /// Returns the keys that begin with `prefix` and follow `after`, at most `limit` of them, as a
    /// `ListBucketResult` document. The continuation token is the last key of the previous page.
    #[must_use]
    pub fn list_xml(
        &self,
        bucket: &str,
        prefix: &str,
        after: Option<&str>,
        limit: Option<usize>,
    ) -> String {
        let limit = limit.unwrap_or(PAGE_LIMIT).min(PAGE_LIMIT);
        let start = match after.filter(|after| *after >= prefix) {
            Some(after) => Bound::Excluded(after),
            None => Bound::Included(prefix),
        };
        let mut matching = self
            .objects
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix));
        let page: Vec<_> = matching.by_ref().take(limit).collect();
        let is_truncated = matching.next().is_some();
        list_document(bucket, prefix, &page, is_truncated)
    }
}

fn list_document(
    bucket: &str,
    prefix: &str,
    page: &[(&String, &Bytes)],
    is_truncated: bool,
) -> String {
    let mut xml = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    xml.push_str("<ListBucketResult xmlns=\"http://s3.amazonaws.com/doc/2006-03-01/\">");
    let (bucket, prefix) = (escape(bucket), escape(prefix));
    // Writing to a string cannot fail.
    let _ = write!(
        xml,
        "<Name>{bucket}</Name><Prefix>{prefix}</Prefix><KeyCount>{}</KeyCount>\
         <IsTruncated>{is_truncated}</IsTruncated>",
        page.len()
    );
    if let Some((last, _)) = page.last().filter(|_| is_truncated) {
        let token = escape(last);
        let _ = write!(
            xml,
            "<NextContinuationToken>{token}</NextContinuationToken>"
        );
    }
    for (key, body) in page {
        let (key, size_bytes) = (escape(key), body.len());
        let _ = write!(
            xml,
            "<Contents><Key>{key}</Key><Size>{size_bytes}</Size></Contents>"
        );
    }
    xml.push_str("</ListBucketResult>");
    xml
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
