//! Counters, gauges and latency histograms, and the text page that shows them.
//!
//! `cadence` formats each value as a statsd line; the sink adds the lines up instead of sending them
//! over the network.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient};

/// The upper bounds of the histograms' buckets, in milliseconds. They range from a call inside a failure
/// domain to the wait of a job during a burst.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

/// The prefix of all names.
const PREFIX: &str = "lacewing";

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { buckets: [u64; 15], sum: u64 },
}

#[derive(Clone, Debug, Default)]
struct Totals(Arc<Mutex<BTreeMap<String, Value>>>);

impl MetricSink for Totals {
    /// Adds a line such as `lacewing.jobs_accepted:1|c` to the totals.
    fn emit(&self, line: &str) -> io::Result<usize> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (name, rest) = line.split_once(':').ok_or_else(invalid)?;
        let (number, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => match totals.entry(name.to_owned()).or_insert(Value::Counter(0)) {
                Value::Counter(total) => *total += number,
                Value::Gauge(_) | Value::Histogram { .. } => return Err(invalid()),
            },
            "g" => {
                totals.insert(name.to_owned(), Value::Gauge(number));
            }
            _ => {
                let empty = Value::Histogram {
                    buckets: [0; 15],
                    sum: 0,
                };
                match totals.entry(name.to_owned()).or_insert(empty) {
                    Value::Histogram { buckets, sum } => {
                        buckets[BUCKET_BOUNDS_MS.partition_point(|&bound| bound < number)] += 1;
                        *sum += number;
                    }
                    Value::Counter(_) | Value::Gauge(_) => return Err(invalid()),
                }
            }
        }
        Ok(line.len())
    }
}

/// Gauges with one value for each of several things, by name: the values, each with its label.
type Labelled = BTreeMap<&'static str, Vec<(Arc<str>, u64)>>;

/// The metrics of a process. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Totals,
    /// Kept apart from `totals`, because labels may contain the separators of statsd lines.
    teams: Arc<Mutex<Labelled>>,
    build: Arc<OnceLock<Build>>,
}

/// The build of the process.
#[derive(Clone, Copy, Debug)]
struct Build {
    version: &'static str,
    source: &'static str,
}

impl Default for Metrics {
    fn default() -> Self {
        let totals = Totals::default();
        let client = Arc::new(StatsdClient::from_sink(PREFIX, totals.clone()));
        Self {
            client,
            totals,
            teams: Arc::default(),
            build: Arc::default(),
        }
    }
}

impl Metrics {
    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count` to a counter.
    pub fn add(&self, name: &str, count: u64) {
        if let Err(e) = self.client.count(name, count) {
            log::debug!("cannot count {name}: {e}");
        }
    }

    /// Sets a gauge.
    pub fn set(&self, name: &str, value: u64) {
        if let Err(e) = self.client.gauge(name, value) {
            log::debug!("cannot set {name}: {e}");
        }
    }

    /// Sets the build that the page names: its version, and a digest of its sources. Later calls have no effect.
    pub fn set_build(&self, version: &'static str, source: &'static str) {
        self.build.get_or_init(|| Build { version, source });
    }

    /// Replaces the gauges of teams: for each name the teams with their values. The caller bounds their number.
    pub(crate) fn set_teams(&self, gauges: BTreeMap<&'static str, Vec<(Arc<str>, u64)>>) {
        *self.teams.lock().unwrap_or_else(PoisonError::into_inner) = gauges;
    }

    /// Adds a duration to a histogram, in whole milliseconds.
    pub fn time(&self, name: &str, span: Duration) {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if let Err(e) = self.client.histogram(name, ms) {
            log::debug!("cannot time {name}: {e}");
        }
    }

    /// Returns all values as text, one per line. The buckets of histograms are cumulative.
    #[must_use]
    pub fn page(&self) -> String {
        let totals = self.totals.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        for (name, value) in totals.iter() {
            let name = name.replace('.', "_");
            // Writing to a string cannot fail.
            let _ = match value {
                Value::Counter(total) => writeln!(page, "{name}_total {total}"),
                Value::Gauge(value) => writeln!(page, "{name} {value}"),
                Value::Histogram { buckets, sum } => {
                    write_histogram(&mut page, &name, buckets, *sum)
                }
            };
        }
        drop(totals);
        let teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, values) in teams.iter() {
            for (team, value) in values {
                let team = escape_label(team);
                let _ = writeln!(page, "{PREFIX}_{name}{{team=\"{team}\"}} {value}");
            }
        }
        if let Some(Build { version, source }) = self.build.get() {
            let labels = format!("version=\"{version}\",source=\"{source}\"");
            let _ = writeln!(page, "{PREFIX}_build_info{{{labels}}} 1");
        }
        page
    }
}

/// Escapes the characters that end a label's value or line.
fn escape_label(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

fn write_histogram(
    page: &mut String,
    name: &str,
    buckets: &[u64; 15],
    sum: u64,
) -> std::fmt::Result {
    let mut count = 0;
    for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(buckets) {
        count += bucket;
        writeln!(page, "{name}_ms_bucket{{le=\"{bound}\"}} {count}")?;
    }
    count += buckets[BUCKET_BOUNDS_MS.len()];
    writeln!(page, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
    writeln!(page, "{name}_ms_sum {sum}")?;
    writeln!(page, "{name}_ms_count {count}")
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against reports that do not tell which build they are from.
    #[test]
    fn the_page_names_the_build() {
        let metrics = Metrics::default();
        metrics.set_build("0.1.0", "0123456789ab");
        let expected = "lacewing_build_info{version=\"0.1.0\",source=\"0123456789ab\"} 1\n";
        assert_eq!(metrics.page(), expected);
    }

    /// Guards against a team name that breaks the page, and against teams that stay on it after they are gone.
    #[test]
    fn gauges_of_teams_are_escaped_and_replaced() {
        let metrics = Metrics::default();
        let gauges = |team: &str| BTreeMap::from([("team_runs", vec![(Arc::from(team), 3)])]);
        metrics.set_teams(gauges("a\"b\\c\nd:1|g"));
        let expected = "lacewing_team_runs{team=\"a\\\"b\\\\c\\nd:1|g\"} 3\n";
        assert_eq!(metrics.page(), expected);
        metrics.set_teams(gauges("e"));
        assert_eq!(metrics.page(), "lacewing_team_runs{team=\"e\"} 3\n");
    }
}
