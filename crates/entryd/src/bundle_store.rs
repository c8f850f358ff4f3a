//! Reads and writes accepted bundles in the table service, and caches the newest envelope.

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use heatherhinge_bundle::{Bundle, BundleVersion, Envelope, Rejection, TrustedKeys};
use heatherhinge_controllers::CurrentBundleRow;
use heatherhinge_platform::{
    Attribute, Condition, Item, PlatformError, Table, TableClient, Write, idempotent_write,
};
use heatherhinge_types::{Code, Digest, WallMs};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Key of the row that names the accepted bundle.
const CURRENT_KEY: &str = "bundle#current";
/// Name of the attribute that holds the digest of the envelope.
const DIGEST: &str = "digest";

/// A verified envelope with its bundle.
#[derive(Debug)]
pub(crate) struct VerifiedBundle {
    pub(crate) envelope: Envelope,
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) digest: Digest,
}

/// Reads and writes accepted bundles, and caches the newest envelope, which peers fetch.
#[derive(Debug)]
pub(crate) struct BundleStore {
    table: TableClient,
    trusted: TrustedKeys,
    newest: ArcSwapOption<VerifiedBundle>,
}

impl BundleStore {
    pub(crate) fn new(table: TableClient, trusted: TrustedKeys) -> Self {
        Self {
            table,
            trusted,
            newest: ArcSwapOption::empty(),
        }
    }

    /// Returns the newest bundle that this host has verified.
    pub(crate) fn newest(&self) -> Option<Arc<VerifiedBundle>> {
        self.newest.load_full()
    }

    /// Returns the version of the newest bundle, or 0 before the first one.
    pub(crate) fn newest_version(&self) -> u64 {
        self.newest().map_or(0, |newest| newest.bundle.version.0)
    }

    /// Returns the newest envelope as JSON if it has at least this version.
    pub(crate) fn envelope_json(&self, version: u64) -> Option<Vec<u8>> {
        let newest = self
            .newest()
            .filter(|newest| newest.bundle.version.0 >= version)?;
        newest.envelope.to_json().ok().map(String::into_bytes)
    }

    /// Verifies an envelope that was accepted before and caches it if it is the newest.
    ///
    /// # Errors
    ///
    /// A code of the family 21xx.
    pub(crate) fn verify_accepted(&self, json: &[u8]) -> Result<Arc<VerifiedBundle>, Code> {
        let envelope = Envelope::from_json(json)?;
        let newest = self.newest();
        let none = BTreeSet::new();
        let revoked = newest
            .as_ref()
            .map_or(&none, |newest| &newest.bundle.revoked_keys);
        let bundle = envelope
            .open_accepted(&self.trusted, revoked)
            .map_err(|r| r.code)?;
        let digest = envelope.digest();
        let verified = Arc::new(VerifiedBundle {
            envelope,
            bundle: Arc::new(bundle),
            digest,
        });
        self.keep_newest(&verified);
        Ok(verified)
    }

    /// Verifies and checks a newly submitted envelope against the newest bundle.
    ///
    /// # Errors
    ///
    /// A code of the family 21xx, with the problems of the text.
    pub(crate) fn check_submitted(
        &self,
        json: &[u8],
        now_wall_ms: WallMs,
    ) -> Result<VerifiedBundle, Rejection> {
        let envelope = Envelope::from_json(json)?;
        let newest = self.newest();
        let in_force = newest.as_ref().map(|newest| &*newest.bundle);
        let bundle = envelope.open_submitted(&self.trusted, in_force, now_wall_ms)?;
        let digest = envelope.digest();
        Ok(VerifiedBundle {
            envelope,
            bundle: Arc::new(bundle),
            digest,
        })
    }

    /// Reads the row of the accepted bundle.
    pub(crate) async fn read_current(&self) -> Result<Option<CurrentBundleRow>, PlatformError> {
        let Some(item) = self.table.get(CURRENT_KEY).await? else {
            return Ok(None);
        };
        let digest = item
            .text(DIGEST)
            .and_then(Digest::from_hex)
            .ok_or_else(|| {
                PlatformError::Malformed(
                    "row bundle#current has no valid attribute 'digest'".to_owned(),
                )
            })?;
        Ok(Some(CurrentBundleRow {
            version: BundleVersion(item.version),
            digest,
        }))
    }

    /// Reads the envelope of an accepted version.
    pub(crate) async fn read_envelope(&self, version: u64) -> Result<Bytes, PlatformError> {
        let item = self.table.get(&envelope_key(version)).await?;
        item.map(|item| item.body).ok_or(PlatformError::Conflict)
    }

    /// Accepts a bundle in one transaction, which succeeds only if the version follows the accepted
    /// one.
    pub(crate) async fn accept(
        &self,
        verified: &Arc<VerifiedBundle>,
        nonce: String,
    ) -> Result<(), PlatformError> {
        let version = verified.bundle.version.0;
        let json = verified
            .envelope
            .to_json()
            .map_err(|code| PlatformError::Malformed(code.to_string()))?;
        let digest = Attribute::Text(verified.digest.to_string());
        let current = Item {
            pk: CURRENT_KEY.to_owned(),
            version,
            nonce: nonce.clone(),
            body: Bytes::new(),
            attributes: BTreeMap::from([(DIGEST.to_owned(), digest)]),
        };
        let envelope = Item {
            pk: envelope_key(version),
            version,
            nonce,
            body: json.into(),
            attributes: BTreeMap::new(),
        };
        let is_first = version == 1;
        let condition = if is_first {
            Condition::NotExists
        } else {
            Condition::Version(version - 1)
        };
        let writes = [
            Write::Put {
                item: current,
                condition,
            },
            Write::Put {
                item: envelope,
                condition: Condition::NotExists,
            },
        ];
        idempotent_write(&self.table, &writes).await?;
        self.keep_newest(verified);
        Ok(())
    }

    fn keep_newest(&self, verified: &Arc<VerifiedBundle>) {
        self.newest.rcu(|newest| match newest {
            Some(kept) if kept.bundle.version >= verified.bundle.version => Some(Arc::clone(kept)),
            _ => Some(Arc::clone(verified)),
        });
    }
}

fn envelope_key(version: u64) -> String {
    format!("bundle#{version}")
}
