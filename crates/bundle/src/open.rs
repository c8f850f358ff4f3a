//! Opens an envelope: verifies its signature, then parses and checks the bundle.

use crate::{Bundle, Envelope, TrustedKeys};
use heatherhinge_ini::Problem;
use heatherhinge_types::{Code, Name, WallMs};
use std::collections::BTreeSet;
use std::fmt;

/// Error of [`Envelope::open_submitted`] and [`Envelope::open_accepted`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Result code that says which check failed.
    pub code: Code,
    /// The problems of the text if the code is [`Code::BundleMalformed`], otherwise empty.
    pub problems: Vec<Problem>,
}

impl Envelope {
    /// Checks a submitted envelope and returns its bundle. Checked are signature, text and version.
    ///
    /// `in_force` is the current bundle, or `None` if there is none yet. The signature is checked
    /// first, so that a sender without a trusted key learns nothing about the checks of the text.
    ///
    /// # Errors
    ///
    /// Returns the codes of [`Envelope::verify`]; [`Code::BundleRevokedKey`] also if the bundle
    /// revokes the key that signed it; [`Code::BundleMalformed`] with the problems; and
    /// [`Code::BundleVersion`] if the version is not that of `in_force` plus 1.
    pub fn open_submitted(
        &self,
        trusted: &TrustedKeys,
        in_force: Option<&Bundle>,
        now_wall_ms: WallMs,
    ) -> Result<Bundle, Rejection> {
        let none = BTreeSet::new();
        let revoked = in_force.map_or(&none, |bundle| &bundle.revoked_keys);
        let text = self.verify(trusted, revoked)?;
        let file = Name::new("bundle");
        let bundle = match in_force {
            Some(in_force) => Bundle::parse_successor(&file, text, now_wall_ms, in_force)?,
            None => Bundle::parse(&file, text, now_wall_ms)?,
        };
        if bundle.revoked_keys.contains(&self.key_id) {
            return Err(Code::BundleRevokedKey.into());
        }
        if in_force.is_some_and(|in_force| bundle.version.0 != in_force.version.0 + 1) {
            return Err(Code::BundleVersion.into());
        }
        Ok(bundle)
    }

    /// Checks an envelope that was accepted before, as read from the store or received from a peer,
    /// and returns its bundle.
    ///
    /// The version is not compared with the one in force, and moves may have ended.
    ///
    /// # Errors
    ///
    /// Returns the codes of [`Envelope::verify`], or [`Code::BundleMalformed`] with the problems.
    pub fn open_accepted(
        &self,
        trusted: &TrustedKeys,
        revoked: &BTreeSet<Name>,
    ) -> Result<Bundle, Rejection> {
        let text = self.verify(trusted, revoked)?;
        Ok(Bundle::parse_accepted(&Name::new("bundle"), text)?)
    }
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self {
            code,
            problems: Vec::new(),
        }
    }
}

impl From<Vec<Problem>> for Rejection {
    fn from(problems: Vec<Problem>) -> Self {
        Self {
            code: Code::BundleMalformed,
            problems,
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.code)?;
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Rejection {}
