//! Listings of the state of units of work, which are read from the table page by page.

use std::collections::BTreeMap;

use store::{Row, decode};

use super::{
    super::rows::{DONE_PREFIX, STATE_PREFIX, StateRow, UNIT_PREFIX, UnitRow, last_part},
    ROWS_PER_READ,
};
use crate::api::{TaskState, UnitStatus};

/// A listing in progress.
#[derive(Clone, Debug)]
pub(super) struct Listing {
    name: Option<String>,
    prefix: &'static str,
    units: BTreeMap<String, UnitStatus>,
}

/// The next step of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Read the rows with this key prefix that come after this key.
    Read(&'static str, String),
    /// Answer the call with these units.
    Answer(Vec<UnitStatus>),
}

impl Listing {
    /// Creates a listing of the unit with this name, or of all units. The first read must be of
    /// [`UNIT_PREFIX`].
    pub(super) fn new(name: Option<String>) -> Self {
        Self {
            name,
            prefix: UNIT_PREFIX,
            units: BTreeMap::new(),
        }
    }

    /// Adds a page of rows and returns the next step.
    pub(super) fn rows_read(&mut self, rows: &[Row]) -> Next {
        for row in rows {
            self.add(row);
        }
        if rows.len() >= ROWS_PER_READ as usize {
            let after = rows.last().map_or_else(String::new, |row| row.key.clone());
            return Next::Read(self.prefix, after);
        }
        self.prefix = match self.prefix {
            UNIT_PREFIX => DONE_PREFIX,
            DONE_PREFIX => STATE_PREFIX,
            _ => return Next::Answer(std::mem::take(&mut self.units).into_values().collect()),
        };
        Next::Read(self.prefix, String::new())
    }

    fn add(&mut self, row: &Row) {
        let id = last_part(&row.key).to_owned();
        let status = if self.prefix == UNIT_PREFIX {
            decode::<UnitRow>(&row.value).map(|row| UnitStatus {
                id: id.clone(),
                name: row.unit.name,
                home: row.home.to_string(),
                cancelled: row.cancelled,
                reason: String::new(),
                tasks: vec![TaskState::default(); row.unit.kind.tasks() as usize],
            })
        } else {
            let home = row.key.split('/').nth(1).unwrap_or_default().to_owned();
            decode::<StateRow>(&row.value).map(|row| UnitStatus {
                id: id.clone(),
                name: row.unit.name,
                home,
                cancelled: row.cancelled,
                reason: row.reason,
                tasks: row.tasks,
            })
        };
        match status {
            Ok(status) if self.name.as_ref().is_none_or(|name| *name == status.name) => {
                self.units.insert(id, status);
            }
            Ok(_) => {}
            Err(e) => log::error!("operator: row {} cannot be read: {e}", row.key),
        }
    }
}
