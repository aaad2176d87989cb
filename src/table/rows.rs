//! Shared table: rows, edits and the checks that edits must pass.

use std::collections::BTreeMap;

use bitflags::bitflags;
use serde::{Deserialize, Serialize};

use crate::ids::{EditId, ModelName, PartnerName, Position, RowId};
use crate::table::packing;
use crate::table::site::SiteSpec;

/// Maximum length of row and class names, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum weight of a row.
pub const MAX_WEIGHT: u32 = 1000;
/// Maximum wait limit of a row, in milliseconds: one day.
pub const MAX_PATIENCE_MS: u64 = 86_400_000;
/// Maximum number of rows in the table.
pub const MAX_ROWS: usize = 10_000;

/// Urgency of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits at a counter.
    Interactive,
    /// A person waits, but not at a counter.
    Standard,
    /// Fills idle capacity and yields to the other classes.
    Batch,
}

bitflags! {
    /// Properties of a request class.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct ClassFlags: u8 {
        /// The call may run at most once; callers send an idempotency key.
        const AT_MOST_ONCE = 1;
        /// The response is delivered only when complete.
        const WHOLE = 1 << 1;
    }
}

/// Fields of a row that its partner edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowFields {
    /// Base model, adapter or plain service.
    pub model: ModelName,
    /// Request class, as named by callers.
    pub class: String,
    /// Urgency of the class.
    pub urgency: Urgency,
    /// Weight relative to other rows of the same urgency, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
    /// Maximum number of concurrently running requests of this row, over all entries.
    pub max_running: u32,
    /// Time that a caller waits for the complete response, in milliseconds.
    pub patience_ms: u64,
    /// Whether a call may run at most once.
    #[serde(default)]
    pub at_most_once: bool,
    /// Whether the response is delivered only when complete.
    #[serde(default)]
    pub whole: bool,
}

impl RowFields {
    /// Returns the properties of the class as flags.
    pub fn flags(&self) -> ClassFlags {
        let mut flags = ClassFlags::empty();
        flags.set(ClassFlags::AT_MOST_ONCE, self.at_most_once);
        flags.set(ClassFlags::WHOLE, self.whole);
        flags
    }
}

/// Accepted row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Owner: only this partner edits the row.
    pub partner: PartnerName,
    /// Log position of the last change. Positions are never reused, so a deleted and recreated
    /// row does not get an old version again.
    pub version: Position,
    /// Fields as set by the partner.
    pub fields: RowFields,
}

/// Change of a row by an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// Creates or replaces the row.
    Put(RowFields),
    /// Deletes the row.
    Delete,
}

/// Edit of one row by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// Idempotency key, unique per partner.
    pub id: EditId,
    /// Partner that edits.
    pub partner: PartnerName,
    /// Row to edit.
    pub row: RowId,
    /// Version that the operator read; 0 if the row did not exist.
    pub expected: Position,
    /// Change to apply.
    pub change: RowChange,
}

/// Reason why an edit was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditRefusal {
    /// The row belongs to another partner.
    NotOwner {
        /// Owner of the row.
        owner: PartnerName,
    },
    /// The row has changed since the operator read it.
    Conflict {
        /// Current row; `None` if it does not exist.
        current: Option<Row>,
    },
    /// A field has an invalid value.
    Invalid {
        /// Name of the field.
        field: String,
        /// Description of the fault.
        reason: String,
    },
    /// The models of the table would not fit in the accelerators' memory.
    NoRoom {
        /// First model that could not be placed.
        model: ModelName,
    },
    /// The edit id was used for a different edit.
    IdReused,
}

/// Result of an edit: the position at which it took effect, or the refusal.
pub type EditResult = Result<Position, EditRefusal>;

/// Recorded result of an edit id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    edit: RowEdit,
    answer: EditResult,
    at_ms: u64,
}

/// Rows, and the results of recent edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableStore {
    rows: BTreeMap<RowId, Row>,
    answered: BTreeMap<(PartnerName, EditId), EditRecord>,
}

impl TableStore {
    /// Returns all rows, ordered by id.
    pub fn rows(&self) -> &BTreeMap<RowId, Row> {
        &self.rows
    }

    /// Returns the model of each row.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.rows.values().map(|row| &row.fields.model)
    }

    /// Applies an edit at a log position. A repeated edit gets the first result again.
    pub fn apply(
        &mut self,
        site: &SiteSpec,
        position: Position,
        at_ms: u64,
        edit: &RowEdit,
    ) -> EditResult {
        let edit_key = (edit.partner.clone(), edit.id.clone());
        match self.answered.get(&edit_key) {
            Some(record) if record.edit == *edit => return record.answer.clone(),
            Some(_) => return Err(EditRefusal::IdReused),
            None => {}
        }
        let answer = self.check(site, edit).map(|()| {
            self.change(position, edit);
            position
        });
        let record = EditRecord {
            edit: edit.clone(),
            answer: answer.clone(),
            at_ms,
        };
        self.answered.insert(edit_key, record);
        answer
    }

    /// Removes results recorded before `before_ms`.
    pub fn prune(&mut self, before_ms: u64) {
        self.answered.retain(|_, record| record.at_ms >= before_ms);
    }

    /// Returns the number of recorded results.
    pub fn answered(&self) -> usize {
        self.answered.len()
    }

    fn check(&self, site: &SiteSpec, edit: &RowEdit) -> Result<(), EditRefusal> {
        let current = self.rows.get(&edit.row);
        let version = current.map_or(Position(0), |row| row.version);
        match current {
            Some(row) if row.partner != edit.partner => {
                return Err(EditRefusal::NotOwner {
                    owner: row.partner.clone(),
                });
            }
            _ if version != edit.expected => {
                return Err(EditRefusal::Conflict {
                    current: current.cloned(),
                });
            }
            _ => {}
        }
        match &edit.change {
            RowChange::Delete if current.is_none() => Err(EditRefusal::Conflict { current: None }),
            RowChange::Delete => Ok(()),
            RowChange::Put(fields) => {
                check_name(&edit.row)?;
                check_fields(site, fields)?;
                self.check_class(edit, fields)?;
                self.check_room(site, edit, fields)
            }
        }
    }

    /// Checks that partner, class and model identify one row, as callers name only these, and
    /// that the table has space for a new row.
    fn check_class(&self, edit: &RowEdit, fields: &RowFields) -> Result<(), EditRefusal> {
        if !self.rows.contains_key(&edit.row) && self.rows.len() >= MAX_ROWS {
            return Err(invalid("row", "the table is full"));
        }
        let duplicate = self.rows.iter().find(|(id, row)| {
            **id != edit.row
                && row.partner == edit.partner
                && row.fields.class == fields.class
                && row.fields.model == fields.model
        });
        match duplicate {
            Some((id, _)) => Err(invalid(
                "class",
                &format!("row {id} already names this model and class"),
            )),
            None => Ok(()),
        }
    }

    fn check_room(
        &self,
        site: &SiteSpec,
        edit: &RowEdit,
        fields: &RowFields,
    ) -> Result<(), EditRefusal> {
        let others = self
            .rows
            .iter()
            .filter(|(id, _)| **id != edit.row)
            .map(|(_, row)| &row.fields.model);
        let wanted = others.chain(std::iter::once(&fields.model));
        packing::pack(site, wanted)
            .map(|_| ())
            .map_err(|model| EditRefusal::NoRoom { model })
    }

    fn change(&mut self, position: Position, edit: &RowEdit) {
        match &edit.change {
            RowChange::Delete => {
                self.rows.remove(&edit.row);
            }
            RowChange::Put(fields) => {
                let row = Row {
                    partner: edit.partner.clone(),
                    version: position,
                    fields: fields.clone(),
                };
                self.rows.insert(edit.row.clone(), row);
            }
        }
    }
}

fn invalid(field: &str, reason: &str) -> EditRefusal {
    EditRefusal::Invalid {
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

fn check_name(row: &RowId) -> Result<(), EditRefusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match row.as_str() {
        "" => Err(invalid("row", "must not be empty")),
        name if name.len() > MAX_NAME_BYTES => Err(invalid("row", "is longer than 128 bytes")),
        name if !name.chars().all(is_allowed) => {
            Err(invalid("row", "may hold letters, digits, '-', '_' and '.'"))
        }
        _ => Ok(()),
    }
}

fn check_fields(site: &SiteSpec, fields: &RowFields) -> Result<(), EditRefusal> {
    match fields {
        f if !site.models.contains_key(&f.model) => {
            Err(invalid("model", "is not in the site's catalogue"))
        }
        f if f.class.is_empty() || f.class.len() > MAX_NAME_BYTES => {
            Err(invalid("class", "must have 1 to 128 bytes"))
        }
        f if f.weight == 0 || f.weight > MAX_WEIGHT => {
            Err(invalid("weight", "must be from 1 to 1000"))
        }
        f if f.max_running == 0 => Err(invalid("max_running", "must be at least 1")),
        f if f.patience_ms == 0 || f.patience_ms > MAX_PATIENCE_MS => {
            Err(invalid("patience_ms", "must be from 1 to 86400000"))
        }
        _ => Ok(()),
    }
}
