//! The shared table: rows, edits and the checks that an edit must pass.

use std::collections::BTreeMap;

use bitflags::bitflags;
use serde::{Deserialize, Serialize};

use crate::ids::{EditId, ModelName, PartnerName, Position, RowId};
use crate::table::packing;
use crate::table::site::SiteSpec;

/// Longest accepted name of a row, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Largest accepted weight.
pub const MAX_WEIGHT: u32 = 1000;
/// Longest accepted patience: one day.
pub const MAX_PATIENCE_MS: u64 = 86_400_000;
/// Most rows that the table holds.
pub const MAX_ROWS: usize = 10_000;

/// How soon a class must be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Somebody waits at a counter.
    Interactive,
    /// Somebody waits, but not at a counter.
    Standard,
    /// Fills idle capacity and gives way to the others.
    Batch,
}

bitflags! {
    /// Properties of a request class.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct ClassFlags: u8 {
        /// The call may run at most once; callers send an idempotency key.
        const AT_MOST_ONCE = 1;
        /// The answer is delivered only when it is complete.
        const WHOLE = 1 << 1;
    }
}

/// The fields of a row that its partner edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowFields {
    /// The base model, adapter or plain service.
    pub model: ModelName,
    /// The request class, as callers name it.
    pub class: String,
    /// How soon the class must be served.
    pub urgency: Urgency,
    /// Share against other rows of the same urgency, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
    /// Most requests of this row that run at the same moment, over all entries.
    pub max_running: u32,
    /// How long a caller waits for the end of the answer, in milliseconds.
    pub patience_ms: u64,
    /// Whether a call may run at most once.
    #[serde(default)]
    pub at_most_once: bool,
    /// Whether the answer is delivered only when complete.
    #[serde(default)]
    pub whole: bool,
}

impl RowFields {
    /// The class's properties as flags.
    pub fn flags(&self) -> ClassFlags {
        let mut flags = ClassFlags::empty();
        flags.set(ClassFlags::AT_MOST_ONCE, self.at_most_once);
        flags.set(ClassFlags::WHOLE, self.whole);
        flags
    }
}

/// A row as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The owner: only this partner edits the row.
    pub partner: PartnerName,
    /// The log position of the last change. Positions never come twice, so a
    /// deleted and recreated row never has an old version again.
    pub version: Position,
    /// What the partner set.
    pub fields: RowFields,
}

/// What an edit does to its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// Creates or replaces the row.
    Put(RowFields),
    /// Removes the row.
    Delete,
}

/// One operator's edit of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// Idempotency key, unique to the partner.
    pub id: EditId,
    /// The partner who edits.
    pub partner: PartnerName,
    /// The row.
    pub row: RowId,
    /// The version the operator saw; zero where the row did not exist.
    pub expected: Position,
    /// The change.
    pub change: RowChange,
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditRefusal {
    /// The row belongs to the other partner.
    NotOwner {
        /// The row's owner.
        owner: PartnerName,
    },
    /// The row changed since the operator read it.
    Conflict {
        /// The row as it stands; none where it does not exist.
        current: Option<Row>,
    },
    /// A field has a bad value.
    Invalid {
        /// The field's name.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The table would not fit in the accelerators' memory.
    NoRoom {
        /// The first model without a home.
        model: ModelName,
    },
    /// The edit id was used for another edit.
    IdReused,
}

/// The answer to an edit: the position at which it took effect, or the refusal.
pub type EditResult = Result<Position, EditRefusal>;

/// The answer given to an edit id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    edit: RowEdit,
    answer: EditResult,
    at_ms: u64,
}

/// The rows and the memory of answered edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableStore {
    rows: BTreeMap<RowId, Row>,
    answered: BTreeMap<(PartnerName, EditId), EditRecord>,
}

impl TableStore {
    /// All rows in order of their ids.
    pub fn rows(&self) -> &BTreeMap<RowId, Row> {
        &self.rows
    }

    /// The models named by any row.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.rows.values().map(|row| &row.fields.model)
    }

    /// Applies an edit at a log position. A resend gets the first answer again.
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

    /// Forgets answers given before `before_ms`.
    pub fn prune(&mut self, before_ms: u64) {
        self.answered.retain(|_, record| record.at_ms >= before_ms);
    }

    /// The number of answers still remembered.
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

    /// A caller names a partner, class and model, so these must find one row.
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
