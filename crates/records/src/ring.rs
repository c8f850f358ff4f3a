//! The newest records of one host, in bounded memory.

use crate::{BATCH_LIMIT_RECORDS, Batch, Record, RecordBasis, RecordEvent, Sampler, Subject};
use heatherhinge_types::{Name, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Place of a record in the order of arrival.
type Place = u64;

/// Why a record is in memory, in the order in which records are pushed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// Part of a plain success outside the sample; kept only for questions to this host.
    Plain,
    /// Already handed out in a batch.
    Uploaded,
    /// Part of a plain success in the sample, or of a request with a record that is always kept.
    Sampled,
    /// Of a kind that is always kept.
    Always,
}

#[derive(Debug)]
struct Held {
    record: Record,
    class: Class,
}

/// The records about one subject. A caller may give many requests the same id, so the work for one
/// record must not grow with their number.
#[derive(Debug, Default)]
struct SubjectPlaces {
    all: BTreeSet<Place>,
    /// Those of [`Class::Plain`].
    plain: BTreeSet<Place>,
    /// Number of records of the kinds that are always kept, uploaded or not.
    always_count: usize,
}

/// Keeps the newest records of one host and hands them out in batches; `docs/design.md`,
/// section 16.
///
/// Memory is bounded by the limit and one batch. When it is full, plain successes outside the
/// sample go first, then records that were uploaded, then sampled successes, and only then records
/// of the kinds that are always kept. Records that go without having been uploaded although they
/// should have been are counted, and the count is recorded.
///
/// A request that turns out not to be a plain success, such as one that is retried, keeps its
/// earlier and later records too, so that its story is whole.
#[derive(Debug)]
pub struct RecordRing {
    host: Name,
    sampler: Sampler,
    limit: usize,
    next_place: Place,
    held: BTreeMap<Place, Held>,
    places: [BTreeSet<Place>; 4],
    by_subject: BTreeMap<Subject, SubjectPlaces>,
    lost: u64,
    lost_unrecorded: u64,
    next_sequence: u64,
    pending: Option<Batch>,
}

impl RecordRing {
    /// Makes an empty ring for at most `limit` records.
    #[must_use]
    pub fn new(host: Name, sampler: Sampler, limit: usize) -> Self {
        Self {
            host,
            sampler,
            limit: limit.max(1),
            next_place: 0,
            held: BTreeMap::new(),
            places: Default::default(),
            by_subject: BTreeMap::new(),
            lost: 0,
            lost_unrecorded: 0,
            next_sequence: 0,
            pending: None,
        }
    }

    /// Takes one record.
    pub fn push(&mut self, record: Record) {
        let class = self.classify(&record);
        let place = self.next_place;
        self.next_place += 1;
        let about = self.by_subject.entry(record.subject.clone()).or_default();
        about.all.insert(place);
        match class {
            Class::Plain => {
                about.plain.insert(place);
            }
            Class::Always => {
                about.always_count += 1;
                let earlier = std::mem::take(&mut about.plain);
                earlier
                    .into_iter()
                    .for_each(|place| self.reclass(place, Class::Sampled));
            }
            Class::Uploaded | Class::Sampled => {}
        }
        self.places_of(class).insert(place);
        self.held.insert(place, Held { record, class });
        while self.held.len() > self.limit {
            self.push_out();
        }
    }

    /// Counts records that were lost before they reached the ring.
    pub fn count_lost(&mut self, count: u64) {
        self.lost = self.lost.saturating_add(count);
        self.lost_unrecorded = self.lost_unrecorded.saturating_add(count);
    }

    /// Returns the records about a subject in the order of arrival.
    pub fn find(&self, subject: &Subject) -> impl Iterator<Item = &Record> {
        let places = self.by_subject.get(subject).into_iter();
        let places = places.flat_map(|about| &about.all);
        places.filter_map(|place| self.held.get(place).map(|held| &held.record))
    }

    /// Returns the number of records in memory, without the batch on its way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no record is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of records lost since the start.
    #[must_use]
    pub const fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the batch to upload: the one handed out before if it was not confirmed yet, or else
    /// a new one of the oldest records that wait. `None` if there is nothing to upload.
    pub fn next_batch(&mut self, now_wall_ms: WallMs) -> Option<Batch> {
        if self.pending.is_none() {
            self.record_losses(now_wall_ms);
            self.pending = self.cut_batch();
        }
        self.pending.clone()
    }

    /// Takes in that a batch is in the object store. Another sequence number is ignored.
    pub fn confirm(&mut self, sequence: u64) {
        if self
            .pending
            .as_ref()
            .is_some_and(|batch| batch.sequence == sequence)
        {
            self.pending = None;
        }
    }

    fn classify(&self, record: &Record) -> Class {
        if !record.event.is_plain_success() {
            return Class::Always;
        }
        match &record.subject {
            Subject::Request(id) if !self.sampler.keeps(id) && !self.is_noted(&record.subject) => {
                Class::Plain
            }
            _ => Class::Sampled,
        }
    }

    /// Returns whether a record that is always kept is in memory about the subject.
    fn is_noted(&self, subject: &Subject) -> bool {
        let about = self.by_subject.get(subject);
        about.is_some_and(|about| about.always_count > 0)
    }

    fn reclass(&mut self, place: Place, class: Class) {
        let Some(held) = self.held.get_mut(&place) else {
            return;
        };
        let before = std::mem::replace(&mut held.class, class);
        self.places_of(before).remove(&place);
        self.places_of(class).insert(place);
    }

    const fn places_of(&mut self, class: Class) -> &mut BTreeSet<Place> {
        let [plain, uploaded, sampled, always] = &mut self.places;
        match class {
            Class::Plain => plain,
            Class::Uploaded => uploaded,
            Class::Sampled => sampled,
            Class::Always => always,
        }
    }

    fn push_out(&mut self) {
        let oldest = self.places.iter_mut().find_map(BTreeSet::pop_first);
        let Some((place, held)) = oldest.and_then(|p| self.held.remove_entry(&p)) else {
            return;
        };
        if let Some(about) = self.by_subject.get_mut(&held.record.subject) {
            about.all.remove(&place);
            about.plain.remove(&place);
            about.always_count -= usize::from(!held.record.event.is_plain_success());
            if about.all.is_empty() {
                self.by_subject.remove(&held.record.subject);
            }
        }
        if matches!(held.class, Class::Sampled | Class::Always) {
            self.count_lost(1);
        }
    }

    fn record_losses(&mut self, now_wall_ms: WallMs) {
        let count = std::mem::take(&mut self.lost_unrecorded);
        if count > 0 {
            self.push(Record {
                at_wall_ms: now_wall_ms,
                host: self.host.clone(),
                subject: Subject::Host,
                basis: RecordBasis::default(),
                event: RecordEvent::RecordsLost { count },
            });
        }
    }

    fn cut_batch(&mut self) -> Option<Batch> {
        let [_, _, sampled, always] = &self.places;
        let waiting: BTreeSet<Place> = sampled
            .iter()
            .take(BATCH_LIMIT_RECORDS)
            .chain(always.iter().take(BATCH_LIMIT_RECORDS))
            .copied()
            .collect();
        let mut records = Vec::new();
        for place in waiting.into_iter().take(BATCH_LIMIT_RECORDS) {
            if let Some(held) = self.held.get(&place) {
                records.push(held.record.clone());
            }
            self.reclass(place, Class::Uploaded);
        }
        if records.is_empty() {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Some(Batch {
            sequence,
            records: records.into(),
        })
    }
}
