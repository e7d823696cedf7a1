//! The handling of callers' requests as a state machine of its own.

use config::Config;
use model::{Incarnation, NodeId, Time};
use peer::ViewContent;
use route::{Remote, RouteConfig, ShareReport};
use store::CommitConfig;

use super::{
    calls::{Calls, Commits, Cx, Owner, Purpose},
    entry::Entry,
    event::{Action, Event},
};

/// The router, claims and group commit of a node, without its lease, scheduler and peers. Tests run it
/// with the fakes of the platform.
#[derive(Clone, Debug)]
pub struct RequestNode {
    calls: Calls,
    commits: Commits,
    entry: Entry,
}

impl RequestNode {
    /// Creates a node that has just started and knows no service.
    #[must_use]
    pub fn new(route: RouteConfig, node: NodeId, start: Incarnation) -> Self {
        Self {
            calls: Calls::default(),
            commits: Commits::new(CommitConfig::default(), node, start),
            entry: Entry::new(route),
        }
    }

    fn split<'a>(&'a mut self, now: Time, out: &'a mut Vec<Action>) -> (Cx<'a>, &'a mut Entry) {
        let cx = Cx {
            now,
            calls: &mut self.calls,
            commits: &mut self.commits,
            out,
        };
        (cx, &mut self.entry)
    }

    /// Applies a version of the configuration.
    pub fn set_config(&mut self, now: Time, config: &Config, out: &mut Vec<Action>) {
        let (mut cx, entry) = self.split(now, out);
        entry.set_config(&mut cx, config);
    }

    /// Applies the content of a view, whose grants are valid up to `until`.
    pub fn set_view(&mut self, until: Time, content: &ViewContent) {
        self.entry.set_view(until, content);
    }

    /// Sets the nodes of other domains to which the requests of each service can be forwarded.
    pub fn set_remotes(&mut self, remotes: impl Fn(&str) -> Vec<Remote>) {
        self.entry.set_remotes(remotes);
    }

    /// The shares of the backend servers that the node holds, uses and wants.
    #[must_use]
    pub fn shares(&self, now: Time) -> Vec<ShareReport> {
        self.entry.shares(now)
    }

    /// Handles an event that concerns requests, and appends the resulting actions to `out`. Other
    /// events are ignored.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let (mut cx, entry) = self.split(now, out);
        let mut settled = Vec::new();
        match event {
            Event::Tick => entry.tick(&mut cx),
            Event::Request(req) => entry.submit(&mut cx, &req),
            Event::AttemptFinished(end) => entry.attempt_finished(&mut cx, &end),
            Event::Shutdown => entry.start_drain(now),
            Event::Table(call, result) => match cx.calls.answered(call) {
                Some(Purpose::Claim(req)) => entry.claim_read(&mut cx, req, result),
                Some(Purpose::Commit) => {
                    settled = cx.commits.reply(now, result, cx.calls, cx.out);
                }
                _ => {}
            },
            Event::Object(call, result) => {
                if let Some(Purpose::Claim(req)) = cx.calls.answered(call) {
                    entry.claim_object(&mut cx, req, result);
                }
            }
            _ => {}
        }
        settled.extend(cx.commits.poll(now, cx.calls, cx.out));
        for (owner, settlement) in settled {
            if let Owner::Claim(req) = owner {
                entry.claim_settled(&mut cx, req, &settlement);
            }
        }
        if entry.is_drained(cx.now) && cx.commits.unsettled() == 0 {
            cx.out.push(Action::Exit);
        }
    }
}
