//! The rows of the stand-in table service, with their versions.

use std::collections::BTreeMap;

use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    RowExpectation,
    RowKey,
    RowVersion,
    TableRow,
    WriteId, //
};

/// The rows of the stand-in table service, with their versions.
#[derive(Debug, Default)]
pub(crate) struct TableRows {
    rows: BTreeMap<RowKey, TableRow>,
    /// The version of the latest commit.
    version: u64,
}

impl TableRows {
    pub(crate) fn read(&self, key: &RowKey) -> Option<TableRow> {
        self.rows.get(key).cloned()
    }

    pub(crate) fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Vec<TableRow> {
        let start = after.map_or(prefix, |after| after.max(prefix));
        self.rows
            .range(start.clone()..)
            .filter(|(key, _)| Some(*key) != after)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    pub(crate) fn commit(&mut self, write: WriteId, changes: &[RowChange]) -> CommitOutcome {
        if let Some(change) = changes
            .iter()
            .find(|change| !self.meets_expectation(change))
        {
            return CommitOutcome::Conflict {
                key: change.key.clone(),
                found: self.read(&change.key),
            };
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for change in changes {
            self.apply(write, version, change);
        }
        CommitOutcome::Committed(version)
    }

    /// Returns whether the row's present version meets the expectation of a change.
    fn meets_expectation(&self, change: &RowChange) -> bool {
        let found = self.rows.get(&change.key).map(|row| row.version);
        match change.expected {
            RowExpectation::Absent => found.is_none(),
            RowExpectation::Version(version) => found == Some(version),
            RowExpectation::Any => true,
        }
    }

    fn apply(&mut self, write: WriteId, version: RowVersion, change: &RowChange) {
        let Some(value) = &change.value else {
            self.rows.remove(&change.key);
            return;
        };
        let row = TableRow {
            key: change.key.clone(),
            version,
            write,
            value: value.clone(),
        };
        self.rows.insert(change.key.clone(), row);
    }
}
