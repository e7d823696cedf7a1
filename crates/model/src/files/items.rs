//! Readers for the items of operator files: teams, services, batches and jobs.

use std::time::Duration;

use super::{
    limits,
    table::{CheckedFile, Table},
};
use crate::{Class, Kind, Repeat, RequestPolicy, Size, Spread, Team, Unit};

/// The maximum number of attempts of a task if its file does not set one.
const DEFAULT_ATTEMPTS: u64 = 3;

const CLASSES: [(&str, Class); 3] = [
    ("interactive", Class::Interactive),
    ("standard", Class::Standard),
    ("bulk", Class::Bulk),
];
const REPEATS: [(&str, Repeat); 2] = [("safe", Repeat::Safe), ("never", Repeat::Never)];
const SPREADS: [(&str, Spread); 3] = [
    ("rack", Spread::Rack),
    ("failure-domain", Spread::FailureDomain),
    ("region", Spread::Region),
];

/// The line numbers of an item's keys, from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct LineNumbers {
    pub(super) name: usize,
    pub(super) team: usize,
    pub(super) size: usize,
}

/// An item, as far as it could be read.
#[derive(Clone, Debug)]
pub(super) struct Item<T> {
    /// The item's name, which is kept if other keys have errors.
    pub(super) name: Option<String>,
    /// The item's value, or `None` if one of its keys has an error.
    pub(super) value: Option<T>,
    pub(super) lines: LineNumbers,
    /// The key of the item's table in the file, which determines its type.
    pub(super) key: &'static str,
}

/// Reads a team's table.
pub(super) fn read_team(checked: &mut CheckedFile<'_>, mut table: Table<'_, '_>) -> Item<Team> {
    let lines = line_numbers(checked, &table);
    let name = table.name(checked, "name");
    let quota = table
        .table(
            checked,
            "quota",
            "a table of processors, memory_mb, accelerators",
        )
        .and_then(|quota| {
            let bounds = (&limits::QUOTA_PROCESSORS, &limits::QUOTA_MEMORY_MB);
            read_size(checked, quota, bounds, &limits::QUOTA_ACCELERATORS)
        });
    table.finish(checked);
    let value = name.clone().zip(quota);
    Item {
        name,
        value: value.map(|(name, quota)| Team { name, quota }),
        lines,
        key: "team",
    }
}

/// Reads a service's table.
pub(super) fn read_service(checked: &mut CheckedFile<'_>, mut table: Table<'_, '_>) -> Item<Unit> {
    let common = CommonFields::read(checked, &mut table);
    let replicas = to_u32(table.integer(checked, "replicas", &limits::REPLICAS));
    let spread = table.choice(checked, "spread", &SPREADS);
    let requests = read_request_policy(checked, &mut table);
    table.finish(checked);
    let kind = (|| {
        Some(Kind::Service {
            replicas: replicas?,
            spread: spread?,
            requests: requests?,
        })
    })();
    let fields = kind.map(|kind| KindFields {
        repeat: Repeat::Safe,
        attempts: u32::MAX,
        run_time: Duration::ZERO,
        kind,
    });
    common.item("service", fields)
}

/// Reads the table of a batch or, if `is_gang`, of a job whose tasks all start together.
pub(super) fn read_batch_or_job(
    checked: &mut CheckedFile<'_>,
    mut table: Table<'_, '_>,
    is_gang: bool,
) -> Item<Unit> {
    let common = CommonFields::read(checked, &mut table);
    let tasks = to_u32(table.integer(checked, "tasks", &limits::TASKS));
    let repeat = table.choice(checked, "repeat", &REPEATS);
    let run_time = table.integer(checked, "run_time_s", &limits::RUN_TIME_S);
    let attempts = table.integer_or(checked, "attempts", &limits::ATTEMPTS, DEFAULT_ATTEMPTS);
    table.finish(checked);
    let fields = (|| {
        let tasks = tasks?;
        Some(KindFields {
            repeat: repeat?,
            attempts: to_u32(attempts)?,
            run_time: Duration::from_secs(run_time?),
            kind: if is_gang {
                Kind::Gang { tasks }
            } else {
                Kind::Batch { tasks }
            },
        })
    })();
    common.item(if is_gang { "job" } else { "batch" }, fields)
}

/// The fields common to services, batches and jobs.
struct CommonFields {
    lines: LineNumbers,
    name: Option<String>,
    team: Option<String>,
    command: Option<Vec<String>>,
    size: Option<Size>,
    class: Option<Class>,
}

/// The fields that depend on the kind of work.
struct KindFields {
    repeat: Repeat,
    attempts: u32,
    run_time: Duration,
    kind: Kind,
}

impl CommonFields {
    fn read(checked: &mut CheckedFile<'_>, table: &mut Table<'_, '_>) -> Self {
        let lines = line_numbers(checked, table);
        let name = table.name(checked, "name");
        let team = table.name(checked, "team");
        let command = table.command(checked);
        let size = table
            .table(
                checked,
                "size",
                "a table of processors, memory_mb, accelerators",
            )
            .and_then(|table| {
                let bounds = (&limits::PROCESSORS, &limits::MEMORY_MB);
                read_size(checked, table, bounds, &limits::ACCELERATORS)
            });
        let class = table.choice(checked, "class", &CLASSES);
        Self {
            lines,
            name,
            team,
            command,
            size,
            class,
        }
    }

    fn item(self, key: &'static str, fields: Option<KindFields>) -> Item<Unit> {
        let name = self.name.clone();
        let lines = self.lines;
        Item {
            name,
            value: fields.and_then(|fields| self.unit(fields)),
            lines,
            key,
        }
    }

    fn unit(self, fields: KindFields) -> Option<Unit> {
        Some(Unit {
            name: self.name?,
            team: self.team?,
            command: self.command?,
            size: self.size?,
            class: self.class?,
            repeat: fields.repeat,
            attempts: fields.attempts,
            run_time: fields.run_time,
            kind: fields.kind,
        })
    }
}

fn line_numbers(checked: &CheckedFile<'_>, table: &Table<'_, '_>) -> LineNumbers {
    LineNumbers {
        name: table.line_of(checked, "name"),
        team: table.line_of(checked, "team"),
        size: table.line_of(checked, "size"),
    }
}

fn read_request_policy(
    checked: &mut CheckedFile<'_>,
    table: &mut Table<'_, '_>,
) -> Option<RequestPolicy> {
    if table.get("requests").is_none() {
        return Some(RequestPolicy::default());
    }
    let mut requests = table.table(checked, "requests", "a table of repeat, deadline_ms")?;
    let repeat = requests.choice(checked, "repeat", &REPEATS);
    let deadline = requests.integer(checked, "deadline_ms", &limits::DEADLINE_MS);
    requests.finish(checked);
    Some(RequestPolicy {
        repeat: repeat?,
        deadline: Duration::from_millis(deadline?),
    })
}

fn read_size(
    checked: &mut CheckedFile<'_>,
    mut table: Table<'_, '_>,
    (processors, memory): (
        &std::ops::RangeInclusive<f64>,
        &std::ops::RangeInclusive<u64>,
    ),
    accelerators: &std::ops::RangeInclusive<u64>,
) -> Option<Size> {
    let processors = table.processors(checked, processors);
    let memory = table.integer(checked, "memory_mb", memory);
    let accelerators = to_u32(table.integer_or(checked, "accelerators", accelerators, 0));
    table.finish(checked);
    Some(Size::new(processors?, memory?, accelerators?))
}

/// Converts a number whose range has already been checked.
fn to_u32(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}
