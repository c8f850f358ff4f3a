//! Parses the text of a bundle into the checked model.

use crate::check::{MoveTiming, check};
use crate::draft::Draft;
use crate::{Bundle, BundleVersion, Service};
use heatherhinge_ini::{Problem, Section};
use heatherhinge_types::{Name, WallMs};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Bundle {
    /// Parses and checks a new bundle. Every move must have enough time to finish after
    /// `now_wall_ms`.
    ///
    /// Use [`Bundle::parse_successor`] if the bundle in force is known, and
    /// [`Bundle::parse_accepted`] for a bundle that was accepted before.
    ///
    /// # Errors
    ///
    /// Returns all problems, sorted by line; there is at least one.
    pub fn parse(file: &Name, text: &str, now_wall_ms: WallMs) -> Result<Self, Vec<Problem>> {
        read(file, text, MoveTiming::AllNew(now_wall_ms))
    }

    /// Parses and checks a bundle that is to replace the one in force.
    ///
    /// A move that is unchanged from the bundle in force may continue however little time it has
    /// left; otherwise no zone could be taken out during the last steps of a move. The id of a move
    /// in force must not be used for another move.
    ///
    /// # Errors
    ///
    /// Returns all problems, sorted by line; there is at least one.
    pub fn parse_successor(
        file: &Name,
        text: &str,
        now_wall_ms: WallMs,
        in_force: &Self,
    ) -> Result<Self, Vec<Problem>> {
        read(file, text, MoveTiming::After(now_wall_ms, in_force))
    }

    /// Parses and checks a bundle that was accepted before, so its moves may have ended.
    ///
    /// A host that starts, or receives a version from a peer, parses bundles this way: all hosts
    /// must get the same result at any time.
    ///
    /// # Errors
    ///
    /// Returns all problems, sorted by line; there is at least one.
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

/// Builds the bundle from a draft without problems.
fn assemble(draft: Draft) -> Bundle {
    let mut services: BTreeMap<Name, Service> = draft
        .services
        .into_iter()
        .map(|(name, located)| (name, located.value))
        .collect();
    for located in draft.routes {
        let (service, route) = located.value;
        if let Some(service) = services.get_mut(&service) {
            service.routes.push(Arc::new(route));
        }
    }
    for (service, located) in draft.moves {
        if let Some(service) = services.get_mut(&service) {
            service.version_move = Some(located.value);
        }
    }
    Bundle {
        version: BundleVersion(draft.version.unwrap_or_default()),
        zones: draft
            .zones
            .into_iter()
            .map(|(name, located)| (name, located.value))
            .collect(),
        services: services
            .into_iter()
            .map(|(name, service)| (name, Arc::new(service)))
            .collect(),
        budget: draft.budget,
        revoked_keys: draft.revoked_keys,
    }
}
