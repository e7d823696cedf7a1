//! The items of operator files: teams, services, batches and jobs.

use std::time::Duration;

use super::{
    limits,
    table::{Checked, Table},
};
use crate::{Class, Kind, Repeat, RequestPolicy, Size, Spread, Team, Unit};

/// The most attempts of a task where its file names none.
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

/// Where an item and its parts stand in its file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lines {
    pub(super) name: usize,
    pub(super) team: usize,
    pub(super) size: usize,
}

/// An item as far as it could be read.
#[derive(Clone, Debug)]
pub(super) struct Item<T> {
    /// Its name, also where other keys are at fault.
    pub(super) name: Option<String>,
    /// The item; `None` where a key is at fault.
    pub(super) value: Option<T>,
    pub(super) lines: Lines,
    /// What it is: the key of its table in the file.
    pub(super) key: &'static str,
}

/// Reads a team's table.
pub(super) fn team(checked: &mut Checked<'_>, mut table: Table<'_, '_>) -> Item<Team> {
    let lines = lines(checked, &table);
    let name = table.name(checked, "name");
    let quota = table
        .table(
            checked,
            "quota",
            "a table of processors, memory_mb, accelerators",
        )
        .and_then(|quota| {
            let bounds = (&limits::QUOTA_PROCESSORS, &limits::QUOTA_MEMORY_MB);
            size(checked, quota, bounds, &limits::QUOTA_ACCELERATORS)
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
pub(super) fn service(checked: &mut Checked<'_>, mut table: Table<'_, '_>) -> Item<Unit> {
    let common = Common::read(checked, &mut table);
    let replicas = small(table.whole(checked, "replicas", &limits::REPLICAS));
    let spread = table.choice(checked, "spread", &SPREADS);
    let requests = requests(checked, &mut table);
    table.finish(checked);
    let kind = (|| {
        Some(Kind::Service {
            replicas: replicas?,
            spread: spread?,
            requests: requests?,
        })
    })();
    let policy = kind.map(|kind| Policy {
        repeat: Repeat::Safe,
        attempts: u32::MAX,
        run_time: Duration::ZERO,
        kind,
    });
    common.item("service", policy)
}

/// Reads the table of a batch, or of a job whose tasks all start together.
pub(super) fn work(
    checked: &mut Checked<'_>,
    mut table: Table<'_, '_>,
    together: bool,
) -> Item<Unit> {
    let common = Common::read(checked, &mut table);
    let tasks = small(table.whole(checked, "tasks", &limits::TASKS));
    let repeat = table.choice(checked, "repeat", &REPEATS);
    let run_time = table.whole(checked, "run_time_s", &limits::RUN_TIME_S);
    let attempts = table.whole_or(checked, "attempts", &limits::ATTEMPTS, DEFAULT_ATTEMPTS);
    table.finish(checked);
    let policy = (|| {
        let tasks = tasks?;
        Some(Policy {
            repeat: repeat?,
            attempts: small(attempts)?,
            run_time: Duration::from_secs(run_time?),
            kind: if together {
                Kind::Gang { tasks }
            } else {
                Kind::Batch { tasks }
            },
        })
    })();
    common.item(if together { "job" } else { "batch" }, policy)
}

/// What services, batches and jobs have in common.
struct Common {
    lines: Lines,
    name: Option<String>,
    team: Option<String>,
    command: Option<Vec<String>>,
    size: Option<Size>,
    class: Option<Class>,
}

/// What depends on the kind of work.
struct Policy {
    repeat: Repeat,
    attempts: u32,
    run_time: Duration,
    kind: Kind,
}

impl Common {
    fn read(checked: &mut Checked<'_>, table: &mut Table<'_, '_>) -> Self {
        let lines = lines(checked, table);
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
                size(checked, table, bounds, &limits::ACCELERATORS)
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

    fn item(self, key: &'static str, policy: Option<Policy>) -> Item<Unit> {
        let name = self.name.clone();
        let lines = self.lines;
        Item {
            name,
            value: policy.and_then(|policy| self.unit(policy)),
            lines,
            key,
        }
    }

    fn unit(self, policy: Policy) -> Option<Unit> {
        Some(Unit {
            name: self.name?,
            team: self.team?,
            command: self.command?,
            size: self.size?,
            class: self.class?,
            repeat: policy.repeat,
            attempts: policy.attempts,
            run_time: policy.run_time,
            kind: policy.kind,
        })
    }
}

fn lines(checked: &Checked<'_>, table: &Table<'_, '_>) -> Lines {
    Lines {
        name: table.line_of(checked, "name"),
        team: table.line_of(checked, "team"),
        size: table.line_of(checked, "size"),
    }
}

fn requests(checked: &mut Checked<'_>, table: &mut Table<'_, '_>) -> Option<RequestPolicy> {
    if table.get("requests").is_none() {
        return Some(RequestPolicy::default());
    }
    let mut requests = table.table(checked, "requests", "a table of repeat, deadline_ms")?;
    let repeat = requests.choice(checked, "repeat", &REPEATS);
    let deadline = requests.whole(checked, "deadline_ms", &limits::DEADLINE_MS);
    requests.finish(checked);
    Some(RequestPolicy {
        repeat: repeat?,
        deadline: Duration::from_millis(deadline?),
    })
}

fn size(
    checked: &mut Checked<'_>,
    mut table: Table<'_, '_>,
    (processors, memory): (
        &std::ops::RangeInclusive<f64>,
        &std::ops::RangeInclusive<u64>,
    ),
    accelerators: &std::ops::RangeInclusive<u64>,
) -> Option<Size> {
    let processors = table.processors(checked, processors);
    let memory = table.whole(checked, "memory_mb", memory);
    let accelerators = small(table.whole_or(checked, "accelerators", accelerators, 0));
    table.finish(checked);
    Some(Size::new(processors?, memory?, accelerators?))
}

/// Narrows a number whose range has been checked.
fn small(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}
