//! Keeps the newest records of one host in bounded memory.

use crate::{BATCH_LIMIT_RECORDS, Batch, Record, RecordBasis, RecordEvent, Sampler, Subject};
use heatherhinge_types::{Name, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Position of a record in the order of arrival.
type Position = u64;

/// Why a record is in memory, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// Part of a plain success outside the sample; kept only for queries to this host.
    Plain,
    /// Already in a batch.
    Uploaded,
    /// Part of a plain success in the sample, or of a request with a record that is always kept.
    Sampled,
    /// Of a kind that is always kept.
    Always,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    class: Class,
}

/// Positions of the records about one subject. A caller may give many requests the same id, so the
/// work for one record must not grow with their number.
#[derive(Debug, Default)]
struct SubjectIndex {
    all: BTreeSet<Position>,
    /// Those of [`Class::Plain`].
    plain: BTreeSet<Position>,
    /// Number of records of the kinds that are always kept, uploaded or not.
    always_count: usize,
}

/// Keeps the newest records of one host and returns them in batches for upload; `docs/design.md`,
/// section 16.
///
/// Memory is bounded by the limit and one batch. When it is full, plain successes outside the
/// sample are evicted first, then uploaded records, then sampled successes, and only then records
/// of the kinds that are always kept. Evicted records that should have been uploaded and were not
/// are counted, and the count is recorded.
///
/// If a request turns out not to be a plain success, for example because it is retried, its earlier
/// and later records are kept too, so that its history is complete.
#[derive(Debug)]
pub struct RecordRing {
    host: Name,
    sampler: Sampler,
    limit: usize,
    next_position: Position,
    entries: BTreeMap<Position, Entry>,
    by_class: [BTreeSet<Position>; 4],
    by_subject: BTreeMap<Subject, SubjectIndex>,
    lost: u64,
    /// Losses that no [`RecordEvent::RecordsLost`] has counted yet.
    lost_unrecorded: u64,
    next_sequence: u64,
    pending: Option<Batch>,
}

impl RecordRing {
    /// Returns an empty ring for at most `limit` records, and at least one.
    #[must_use]
    pub fn new(host: Name, sampler: Sampler, limit: usize) -> Self {
        Self {
            host,
            sampler,
            limit: limit.max(1),
            next_position: 0,
            entries: BTreeMap::new(),
            by_class: Default::default(),
            by_subject: BTreeMap::new(),
            lost: 0,
            lost_unrecorded: 0,
            next_sequence: 0,
            pending: None,
        }
    }

    /// Adds a record, and evicts others if the ring is full.
    pub fn push(&mut self, record: Record) {
        let class = self.classify(&record);
        let position = self.next_position;
        self.next_position += 1;
        let index = self.by_subject.entry(record.subject.clone()).or_default();
        index.all.insert(position);
        match class {
            Class::Plain => {
                index.plain.insert(position);
            }
            Class::Always => {
                index.always_count += 1;
                let earlier = std::mem::take(&mut index.plain);
                earlier
                    .into_iter()
                    .for_each(|position| self.set_class(position, Class::Sampled));
            }
            Class::Uploaded | Class::Sampled => {}
        }
        self.positions_of(class).insert(position);
        self.entries.insert(position, Entry { record, class });
        while self.entries.len() > self.limit {
            self.evict_one();
        }
    }

    /// Counts records that were lost before they reached the ring.
    pub fn count_lost(&mut self, count: u64) {
        self.lost = self.lost.saturating_add(count);
        self.lost_unrecorded = self.lost_unrecorded.saturating_add(count);
    }

    /// Returns the records about a subject in the order of arrival.
    pub fn find(&self, subject: &Subject) -> impl Iterator<Item = &Record> {
        let positions = self.by_subject.get(subject).into_iter();
        let positions = positions.flat_map(|index| &index.all);
        positions.filter_map(|position| self.entries.get(position).map(|entry| &entry.record))
    }

    /// Returns the number of records in memory, not counting the copies in the pending batch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no record is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of records lost since the start.
    #[must_use]
    pub const fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the batch to upload: the previous one until it is confirmed, then a new one of the
    /// oldest records that were not uploaded, or `None` if there are none.
    pub fn next_batch(&mut self, now_wall_ms: WallMs) -> Option<Batch> {
        if self.pending.is_none() {
            self.record_losses(now_wall_ms);
            self.pending = self.take_batch();
        }
        self.pending.clone()
    }

    /// Records that the pending batch is in the object store. Any other sequence number is ignored.
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
            Subject::Request(id)
                if !self.sampler.keeps(id) && !self.has_always_kept(&record.subject) =>
            {
                Class::Plain
            }
            _ => Class::Sampled,
        }
    }

    /// Returns whether the ring has a record about the subject that is always kept.
    fn has_always_kept(&self, subject: &Subject) -> bool {
        let index = self.by_subject.get(subject);
        index.is_some_and(|index| index.always_count > 0)
    }

    fn set_class(&mut self, position: Position, class: Class) {
        let Some(entry) = self.entries.get_mut(&position) else {
            return;
        };
        let before = std::mem::replace(&mut entry.class, class);
        self.positions_of(before).remove(&position);
        self.positions_of(class).insert(position);
    }

    const fn positions_of(&mut self, class: Class) -> &mut BTreeSet<Position> {
        let [plain, uploaded, sampled, always] = &mut self.by_class;
        match class {
            Class::Plain => plain,
            Class::Uploaded => uploaded,
            Class::Sampled => sampled,
            Class::Always => always,
        }
    }

    fn evict_one(&mut self) {
        let oldest = self.by_class.iter_mut().find_map(BTreeSet::pop_first);
        let Some((position, entry)) = oldest.and_then(|p| self.entries.remove_entry(&p)) else {
            return;
        };
        if let Some(index) = self.by_subject.get_mut(&entry.record.subject) {
            index.all.remove(&position);
            index.plain.remove(&position);
            index.always_count -= usize::from(!entry.record.event.is_plain_success());
            if index.all.is_empty() {
                self.by_subject.remove(&entry.record.subject);
            }
        }
        if matches!(entry.class, Class::Sampled | Class::Always) {
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

    fn take_batch(&mut self) -> Option<Batch> {
        let [_, _, sampled, always] = &self.by_class;
        let waiting: BTreeSet<Position> = sampled
            .iter()
            .take(BATCH_LIMIT_RECORDS)
            .chain(always.iter().take(BATCH_LIMIT_RECORDS))
            .copied()
            .collect();
        let mut records = Vec::new();
        for position in waiting.into_iter().take(BATCH_LIMIT_RECORDS) {
            if let Some(entry) = self.entries.get(&position) {
                records.push(entry.record.clone());
            }
            self.set_class(position, Class::Uploaded);
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
