//! Metrics over UDP in the `statsd` format.
//!
//! A gauge holds a current value, a counter the increase since the previous report.

use std::{collections::BTreeMap, io, net::SocketAddr, net::UdpSocket};

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::Dump;

/// The prefix of all metric names.
const PREFIX: &str = "lacewing";

/// Sends a node's metrics.
pub(super) struct Metrics {
    client: StatsdClient,
    /// The totals at the previous report, by metric name.
    last_totals: BTreeMap<String, u64>,
}

impl Metrics {
    /// Creates a sender of metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub(super) fn new(to: SocketAddr, node: &str) -> io::Result<Self> {
        let bind_address = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(bind_address)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(to, socket).map_err(io::Error::other)?;
        // The queuing sink sends on a thread of its own, so that a report never blocks on the network.
        let sink = QueuingMetricSink::from(sink);
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("node", node)
            .with_error_handler(|e| log::debug!("metrics: {e}"))
            .build();
        Ok(Self {
            client,
            last_totals: BTreeMap::new(),
        })
    }

    /// Sends a node's current state and the increases since the previous report.
    pub(super) fn report(&mut self, dump: &Dump) {
        self.gauge("ready", u64::from(dump.ready));
        self.gauge("config.version", dump.config_version);
        self.gauge("table.unsettled_changes", dump.unsettled_changes as u64);
        self.count("table.transactions", dump.transactions);
        self.count("config.stale_heads", dump.stale_heads);
        self.gauge("requests.open", dump.requests.open as u64);
        for (name, service) in &dump.requests.services {
            let counters = &service.counters;
            self.gauge(&format!("requests.{name}.queued"), service.queued as u64);
            self.gauge(
                &format!("requests.{name}.ejected"),
                service.ejected.len() as u64,
            );
            self.count(&format!("requests.{name}.offered"), counters.offered);
            self.count(&format!("requests.{name}.ran"), counters.answered);
            self.count(&format!("requests.{name}.not_run"), counters.not_run);
            self.count(
                &format!("requests.{name}.may_have_run"),
                counters.may_have_run,
            );
            self.count(&format!("requests.{name}.retries"), counters.retries);
            let cross_region = counters.cross_region_bytes;
            self.count(&format!("requests.{name}.cross_region_bytes"), cross_region);
        }
        self.report_scheduler(dump);
    }

    fn report_scheduler(&mut self, dump: &Dump) {
        let scheduler = dump.scheduler.as_ref();
        self.gauge("scheduler.active", u64::from(scheduler.is_some()));
        let Some(scheduler) = scheduler else {
            return;
        };
        for (phase, count) in &scheduler.tasks {
            self.gauge(&format!("scheduler.tasks.{phase}"), *count as u64);
        }
        let silent = scheduler.workers.values().filter(|worker| !worker.answers);
        self.gauge("scheduler.workers.silent", silent.count() as u64);
        let quarantined = scheduler.workers.values().filter(|w| w.quarantined);
        self.gauge("scheduler.workers.quarantined", quarantined.count() as u64);
    }

    fn gauge(&self, name: &str, value: u64) {
        // A metric that cannot be sent is dropped.
        let _ = self.client.gauge(name, value);
    }

    fn count(&mut self, name: &str, total: u64) {
        let previous = self.last_totals.insert(name.to_owned(), total).unwrap_or(0);
        let increase = total.saturating_sub(previous);
        if increase > 0 {
            // A metric that cannot be sent is dropped.
            let _ = self.client.count(name, increase);
        }
    }
}
