//! The effect of a change on an item, key by key, as operators read it.

use model::{Kind, RequestPolicy, Team, Unit};
use serde::{Deserialize, Serialize};

use crate::RecallTarget;

/// The kind of change of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The item is new.
    Added,
    /// The item exists and changes.
    Changed,
    /// The item is removed.
    Removed,
}

/// A key of an item with its values before and after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyChange {
    /// The key as in the operator file, such as `size.processors`.
    pub key: String,
    /// The value before, or `None` if there was none.
    pub before: Option<String>,
    /// The value after, or `None` if there is none.
    pub after: Option<String>,
}

/// The effect of a change on one item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemChange {
    /// The item, such as `unit/dealer-lookup`.
    pub item: String,
    /// Whether the item is added, changed or removed.
    #[serde(rename = "fate")]
    pub kind: ChangeKind,
    /// The keys that change, in the order of operator files. Keys that exist only after the change come last.
    pub keys: Vec<KeyChange>,
}

/// The keys and values of an item, in the order of operator files.
type Fields = Vec<(&'static str, String)>;

/// Returns the effect of replacing `before` by `after`, or `None` if they are equal.
pub(crate) fn item_change(item: &str, before: &Fields, after: &Fields) -> Option<ItemChange> {
    let mut keys: Vec<KeyChange> = Vec::new();
    for (key, value) in before {
        let new = value_of(after, key);
        if new != Some(value) {
            keys.push(KeyChange {
                key: (*key).to_owned(),
                before: Some(value.clone()),
                after: new.cloned(),
            });
        }
    }
    for (key, value) in after {
        if value_of(before, key).is_none() {
            keys.push(KeyChange {
                key: (*key).to_owned(),
                before: None,
                after: Some(value.clone()),
            });
        }
    }
    let kind = match (before.is_empty(), after.is_empty()) {
        (true, false) => ChangeKind::Added,
        (false, true) => ChangeKind::Removed,
        _ => ChangeKind::Changed,
    };
    let item = item.to_owned();
    (!keys.is_empty()).then_some(ItemChange { item, kind, keys })
}

/// Returns the value of a key.
fn value_of<'a>(fields: &'a Fields, key: &str) -> Option<&'a String> {
    let entry = fields.iter().find(|(other, _)| *other == key);
    entry.map(|(_, value)| value)
}

/// Returns the keys and values of a team, or an empty list if there is no team.
pub(crate) fn team_fields(team: Option<&Team>) -> Fields {
    team.map_or_else(Fields::new, |team| vec![("quota", team.quota.to_string())])
}

/// Returns the key and value of a recall.
pub(crate) fn recall_fields(target: &RecallTarget) -> Fields {
    vec![("recalled", target.to_string())]
}

/// Returns the key and value of an evacuated failure domain.
pub(crate) fn domain_fields() -> Fields {
    vec![("evacuated", "true".to_owned())]
}

/// Returns the keys and values of a unit of work, or an empty list if there is no unit.
pub(crate) fn unit_fields(unit: Option<&Unit>) -> Fields {
    let Some(unit) = unit else {
        return Fields::new();
    };
    let mut fields = vec![
        ("kind", kind_name(&unit.kind).to_owned()),
        ("team", unit.team.clone()),
        ("command", format!("{:?}", unit.command)),
        ("size", unit.size.to_string()),
        ("class", unit.class.to_string()),
    ];
    match &unit.kind {
        Kind::Service {
            replicas,
            spread,
            requests,
        } => {
            fields.push(("replicas", replicas.to_string()));
            fields.push(("spread", format!("{spread:?}")));
            fields.push(("requests", requests_text(requests)));
        }
        Kind::Batch { tasks } | Kind::Gang { tasks } => {
            fields.push(("tasks", tasks.to_string()));
            fields.push(("repeat", format!("{:?}", unit.repeat)));
            fields.push(("run_time_s", unit.run_time.as_secs().to_string()));
            fields.push(("attempts", unit.attempts.to_string()));
        }
    }
    fields
}

/// Returns the name of a unit's section in operator files.
const fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Service { .. } => "service",
        Kind::Batch { .. } => "batch",
        Kind::Gang { .. } => "job",
    }
}

/// Returns a request policy as it is shown to operators.
fn requests_text(requests: &RequestPolicy) -> String {
    let deadline = requests.deadline.as_millis();
    format!("{:?}, deadline {deadline} ms", requests.repeat)
}
