//! Types shared by all other crates: ids, time, sizes, classes, verdicts, units of work, and the
//! operator files that describe these units.
//!
//! # Example
//!
//! ```
//! use model::{Catalog, SourceFile};
//!
//! let text = r#"
//! [team]
//! name = "hatirlat"
//! quota = { processors = 400.0, memory_mb = 1600000, accelerators = 0 }
//!
//! [[batch]]
//! name = "due-list-rebuild"
//! team = "hatirlat"
//! command = ["due-list", "rebuild"]
//! size = { processors = 4.0, memory_mb = 8192 }
//! class = "bulk"
//! tasks = 400
//! repeat = "safe"
//! run_time_s = 120
//! attempts = 3
//! "#;
//! let file = SourceFile { path: "dealer/lacewing.toml", text };
//! let catalog = Catalog::parse(&[file]).unwrap();
//! assert_eq!(catalog.units["due-list-rebuild"].kind.tasks(), 400);
//! ```

mod error;
mod files;
mod hash;
mod id;
mod size;
mod time;
mod unit;
mod verdict;

pub use crate::{
    error::{FileError, FileErrors},
    files::{Catalog, SourceFile},
    hash::stable_hash,
    id::{
        Attempt, DomainId, Epoch, Incarnation, Label, LabelError, NodeId, RackId, RegionId, TaskId,
        UnitId, WorkerId,
    },
    size::{Size, Usage},
    time::Time,
    unit::{Class, Kind, Repeat, RequestPolicy, Spread, Team, Unit},
    verdict::Verdict,
};
