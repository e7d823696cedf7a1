//! The configuration as a sequence of versions, and recalls that stay in force until they are lifted.
//!
//! A setting is the content of a unit of work together with the version that published it. A recall
//! withdraws a batch, a job, a service's setting or a worker VM. A recalled batch or job is removed, and a
//! service returns to its newest setting that is not recalled; recalled contents cannot be published again
//! until the recall is lifted. A recalled worker VM gets no work until then, and its tasks are stopped.
//!
//! Operators propose changes against a version of the [`Config`]. [`Config::merge`] checks the proposals
//! and merges them into an [`Entry`], which leads to the next version. A [`Follower`] keeps the
//! configuration of a node up to date with the platform's table and with the node's peers. The crate does
//! no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use config::{Change, Config, Proposal, Submission};
//! use model::{Size, Team};
//!
//! let mut config = Config::default();
//! let team = Team { name: "t".into(), quota: Size::ZERO };
//! let submission = Submission::new("id-1", "ayla", vec![Change::SetTeam(team)]);
//! let merge = config.merge(&[Proposal { submission, base: 0 }]);
//! config.apply(&merge.entry.unwrap()).unwrap();
//! assert_eq!(config.version(), 1);
//! ```

mod change;
mod diff;
mod error;
mod follower;
mod history;

mod prepare;
mod state;
mod target;
mod update;

pub use crate::{
    change::{Change, Entry, Submission},
    diff::{ChangeKind, ItemChange, KeyChange},
    error::{ApplyError, ChangeError, Conflict, TargetError},
    follower::{Follower, FollowerConfig},
    history::Setting,
    prepare::{Merge, Outcome, Proposal},
    state::{Config, Recall},
    target::RecallTarget,
    update::{ConfigUpdate, FollowerAction, Head, Snapshot},
};
