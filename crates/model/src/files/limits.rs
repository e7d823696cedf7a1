//! Limits on operator files and their values.

use std::ops::RangeInclusive;

/// The maximum number of operator files in one publication.
pub(super) const MAX_FILES: usize = 2_000;
/// The maximum size of an operator file, in bytes.
pub(super) const MAX_FILE_BYTES: usize = 1 << 20;
/// The maximum total size of the files of one publication, in bytes.
pub(super) const MAX_TOTAL_BYTES: usize = 16 << 20;
/// The maximum length of a name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 40;
/// The maximum number of words in a command.
pub(super) const MAX_COMMAND_WORDS: usize = 256;
/// The maximum length of a word of a command, in bytes.
pub(super) const MAX_COMMAND_WORD_BYTES: usize = 4_096;

/// Processors of one task, which may be a fraction of a processor.
pub(super) const PROCESSORS: RangeInclusive<f64> = 0.001..=1_024.0;
/// Memory of one task, in units of 2^20 bytes.
pub(super) const MEMORY_MB: RangeInclusive<u64> = 1..=16_777_216;
/// Accelerators of one task.
pub(super) const ACCELERATORS: RangeInclusive<u64> = 0..=64;
/// Processors of a team.
pub(super) const QUOTA_PROCESSORS: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Memory of a team, in units of 2^20 bytes.
pub(super) const QUOTA_MEMORY_MB: RangeInclusive<u64> = 0..=10_000_000_000;
/// Accelerators of a team.
pub(super) const QUOTA_ACCELERATORS: RangeInclusive<u64> = 0..=1_000_000;
/// Tasks of a batch or job.
pub(super) const TASKS: RangeInclusive<u64> = 1..=100_000;
/// Replicas of a service.
pub(super) const REPLICAS: RangeInclusive<u64> = 1..=10_000;
/// Attempts of a task.
pub(super) const ATTEMPTS: RangeInclusive<u64> = 1..=1_000;
/// Declared run time of a task, in seconds: up to one year.
pub(super) const RUN_TIME_S: RangeInclusive<u64> = 1..=31_536_000;
/// Deadline of a request, in milliseconds: up to one hour.
pub(super) const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
