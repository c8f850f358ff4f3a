//! From the text of a bundle to the checked model.

use crate::check::{MoveTiming, check};
use crate::draft::Draft;
use crate::{Bundle, BundleVersion, Service};
use heatherhinge_ini::{Problem, Section};
use heatherhinge_types::{Name, WallMs};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Bundle {
    /// Reads and checks a new bundle; every move must be able to finish from `now_wall_ms` on.
    ///
    /// Use [`Bundle::parse_successor`] where the bundle in force is known, and
    /// [`Bundle::parse_accepted`] for a bundle that was accepted before.
    ///
    /// # Errors
    ///
    /// Returns all problems in the order of their lines; there is at least one.
    pub fn parse(file: &Name, text: &str, now_wall_ms: WallMs) -> Result<Self, Vec<Problem>> {
        read(file, text, MoveTiming::AllNew(now_wall_ms))
    }

    /// Reads and checks a bundle that is to follow the one in force.
    ///
    /// A move that is the same in the bundle in force may go on, however little time it has left;
    /// otherwise no zone could be taken out during the last steps of a move. An id of a move in
    /// force must not be used for another move.
    ///
    /// # Errors
    ///
    /// Returns all problems in the order of their lines; there is at least one.
    pub fn parse_successor(
        file: &Name,
        text: &str,
        now_wall_ms: WallMs,
        in_force: &Self,
    ) -> Result<Self, Vec<Problem>> {
        read(file, text, MoveTiming::After(now_wall_ms, in_force))
    }

    /// Reads a bundle that was accepted before, so its moves may have ended.
    ///
    /// A host that starts, or learns of a version from a peer, reads bundles this way: all hosts
    /// must come to the same result whatever the time.
    ///
    /// # Errors
    ///
    /// Returns all problems in the order of their lines; there is at least one.
    pub fn parse_accepted(file: &Name, text: &str) -> Result<Self, Vec<Problem>> {
        read(file, text, MoveTiming::Accepted)
    }
}

fn read(file: &Name, text: &str, timing: MoveTiming<'_>) -> Result<Bundle, Vec<Problem>> {
    let mut draft = Draft::read(file, text);
    check(&mut draft, timing);
    if draft.version.is_none() {
        draft.problems.push(Problem {
            file: file.clone(),
            line: 0,
            field: Name::new("[bundle]"),
            message: "the section is missing".to_owned(),
        });
    }
    let mut problems = std::mem::take(&mut draft.problems);
    problems.extend(
        std::mem::take(&mut draft.sections)
            .into_iter()
            .flat_map(Section::finish),
    );
    if problems.is_empty() {
        Ok(assemble(draft))
    } else {
        problems.sort();
        Err(problems)
    }
}

/// Joins the parts of a draft without problems.
fn assemble(draft: Draft) -> Bundle {
    let mut services: BTreeMap<Name, Service> = draft
        .services
        .into_iter()
        .map(|(name, placed)| (name, placed.value))
        .collect();
    for placed in draft.routes {
        let (service, route) = placed.value;
        if let Some(service) = services.get_mut(&service) {
            service.routes.push(Arc::new(route));
        }
    }
    for (service, placed) in draft.moves {
        if let Some(service) = services.get_mut(&service) {
            service.version_move = Some(placed.value);
        }
    }
    Bundle {
        version: BundleVersion(draft.version.unwrap_or_default()),
        zones: draft
            .zones
            .into_iter()
            .map(|(name, placed)| (name, placed.value))
            .collect(),
        services: services
            .into_iter()
            .map(|(name, service)| (name, Arc::new(service)))
            .collect(),
        budget: draft.budget,
        revoked_keys: draft.revoked_keys,
    }
}
