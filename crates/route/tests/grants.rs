//! Tests of the grant allocator: the shares of a backend server never add up to more than its slots,
//! even if messages are lost, delayed or duplicated.

use std::time::Duration;

use model::{Incarnation, NodeId, Time, WorkerId};
use quickcheck::{Arbitrary, Gen};
use route::{GrantAllocator, GrantConfig, NodeShares, ShareReport};

const WORKER: WorkerId = WorkerId(1);
const NODES: usize = 4;
const SLOTS: u32 = 8;

/// A node that fulfils the allocator's contract.
#[derive(Clone, Debug, Default)]
struct TestNode {
    /// The number of the current start.
    start: u64,
    /// The number of the newest heartbeat, and when it was sent.
    seq: u64,
    sent: Time,
    /// The newest heartbeat whose answer was applied.
    applied: u64,
    epoch: u64,
    slots: u32,
    until: Time,
    /// When each request in flight ends.
    running: Vec<Time>,
}

/// A message in transit between a node and the scheduler.
#[derive(Clone, Debug)]
enum Message {
    /// The index and start of the node, the number of the heartbeat and its report.
    Heartbeat(usize, u64, u64, NodeShares),
    /// The index and start of the node, the number of the answered heartbeat, the scheduler's epoch and
    /// the granted slots.
    View(usize, u64, u64, u64, u32),
}

/// A failure domain with one backend server, its nodes and its scheduler.
struct Domain {
    cfg: GrantConfig,
    now: Time,
    nodes: Vec<TestNode>,
    /// When each request of a node that was restarted ends. The backend server still runs it.
    orphans: Vec<Time>,
    epoch: u64,
    allocator: GrantAllocator,
    messages: Vec<Message>,
}

impl Domain {
    fn new() -> Self {
        let cfg = GrantConfig::default();
        let mut allocator = GrantAllocator::new(cfg.clone(), Time::ZERO, false);
        allocator.set_workers([WORKER]);
        Self {
            cfg,
            now: Time::ZERO,
            nodes: vec![TestNode::default(); NODES],
            orphans: Vec::new(),
            epoch: 1,
            allocator,
            messages: Vec::new(),
        }
    }

    /// Makes one random step.
    fn step(&mut self, g: &mut Gen) {
        self.now += Duration::from_millis(u64::from(u16::arbitrary(g) % 200));
        let now = self.now;
        self.orphans.retain(|end| now < *end);
        let i = usize::arbitrary(g) % NODES;
        self.nodes[i].running.retain(|end| now < *end);
        match u8::arbitrary(g) % 16 {
            0..=3 => self.heartbeat(i, u32::arbitrary(g) % 12),
            4..=9 if !self.messages.is_empty() => {
                // Delivers one of the four newest messages. One in eight of them stays, so that it can be
                // delivered again much later.
                let recent = self.messages.len().min(4);
                let k = self.messages.len() - 1 - usize::arbitrary(g) % recent;
                let message = self.messages[k].clone();
                if !u8::arbitrary(g).is_multiple_of(8) {
                    self.messages.swap_remove(k);
                }
                self.deliver(message);
            }
            10 if !self.messages.is_empty() => {
                let k = usize::arbitrary(g) % self.messages.len();
                self.messages.swap_remove(k);
            }
            11..=13 => self.start_requests(i, g),
            14 if u8::arbitrary(g) < 40 => self.restart(i),
            15 if u8::arbitrary(g) < 25 => self.take_over(),
            _ => {}
        }
    }

    fn heartbeat(&mut self, i: usize, wanted: u32) {
        let node = &mut self.nodes[i];
        node.seq += 1;
        node.sent = self.now;
        let share = ShareReport {
            worker: WORKER,
            slots: if self.now < node.until { node.slots } else { 0 },
            in_flight: u32::try_from(node.running.len()).unwrap(),
            wanted,
        };
        let report = NodeShares {
            applied: node.applied,
            shares: vec![share],
        };
        self.messages
            .push(Message::Heartbeat(i, node.start, node.seq, report));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat(i, start, seq, report) => {
                let id = NodeId(u32::try_from(i).unwrap());
                let incarnation = Incarnation(start);
                self.allocator
                    .report(self.now, id, incarnation, seq, &report);
                let shares = self.allocator.grant(self.now, id, incarnation);
                let slots = shares.first().map_or(0, |share| share.slots);
                self.messages
                    .push(Message::View(i, start, seq, self.epoch, slots));
            }
            Message::View(i, start, seq, epoch, slots) => {
                let node = &mut self.nodes[i];
                if start == node.start && seq == node.seq && epoch >= node.epoch {
                    node.applied = seq;
                    node.epoch = epoch;
                    node.slots = slots;
                    node.until = node.sent + self.cfg.term;
                }
            }
        }
    }

    /// Starts requests in all slots that the node may use.
    fn start_requests(&mut self, i: usize, g: &mut Gen) {
        let node = &mut self.nodes[i];
        while self.now < node.until && node.running.len() < node.slots as usize {
            let ms = u64::from(u16::arbitrary(g)) % 10_000;
            node.running.push(self.now + Duration::from_millis(ms));
        }
    }

    fn restart(&mut self, i: usize) {
        let old = std::mem::take(&mut self.nodes[i]);
        self.orphans.extend(old.running);
        self.nodes[i].start = old.start + 1;
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        self.allocator = GrantAllocator::new(self.cfg.clone(), self.now, true);
        self.allocator.set_workers([WORKER]);
    }

    /// Returns the number of requests that the backend server runs.
    fn in_use(&self) -> usize {
        let running = self.nodes.iter().flat_map(|node| &node.running);
        let ends = running.chain(&self.orphans);
        ends.filter(|end| self.now < **end).count()
    }
}

/// Two nodes must not use the same slot after a late or duplicated message, a restart or a takeover.
#[test]
fn slots_are_never_exceeded() {
    for seed in 0..300 {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut domain = Domain::new();
        for step in 0..400 {
            domain.step(&mut g);
            let in_use = domain.in_use();
            assert!(
                in_use <= SLOTS as usize,
                "seed {seed} step {step}: {in_use}"
            );
        }
    }
}

/// Returns a report on the backend server without requests in flight.
fn shares(wanted: u32, slots: u32, applied: u64) -> NodeShares {
    let share = ShareReport {
        worker: WORKER,
        slots,
        in_flight: 0,
        wanted,
    };
    NodeShares {
        applied,
        shares: vec![share],
    }
}

/// Slots that one node does not want must not stay with it while another node needs them.
#[test]
fn shares_move_to_where_they_are_wanted() {
    let (a, b, start) = (NodeId(1), NodeId(2), Incarnation(1));
    let mut allocator = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
    allocator.set_workers([WORKER]);
    let mut slots = (0, 0);
    for seq in 1..6 {
        let now = Time::from_ms(seq * 1_000);
        allocator.report(now, a, start, seq, &shares(1, slots.0, seq - 1));
        slots.0 = allocator
            .grant(now, a, start)
            .first()
            .map_or(0, |s| s.slots);
        allocator.report(now, b, start, seq, &shares(20, slots.1, seq - 1));
        slots.1 = allocator
            .grant(now, b, start)
            .first()
            .map_or(0, |s| s.slots);
    }
    assert_eq!(slots, (1, 7));
}

/// The share of a node that has stopped sending heartbeats must become free, but not before its last
/// request has ended.
#[test]
fn the_share_of_a_silent_node_becomes_free_after_its_hold_time() {
    let (a, b, start) = (NodeId(1), NodeId(2), Incarnation(1));
    let cfg = GrantConfig::default();
    let max_hold_time = cfg.term + cfg.drift_margin + cfg.max_request_time;
    let mut allocator = GrantAllocator::new(cfg, Time::ZERO, false);
    allocator.set_workers([WORKER]);
    allocator.report(Time::ZERO, a, start, 1, &shares(8, 0, 0));
    assert_eq!(allocator.grant(Time::ZERO, a, start)[0].slots, 8);
    let before = Time::ZERO + max_hold_time.saturating_sub(Duration::from_millis(1));
    allocator.report(before, b, start, 1, &shares(8, 0, 0));
    assert!(allocator.grant(before, b, start).is_empty());
    let after = Time::ZERO + max_hold_time;
    allocator.report(after, b, start, 2, &shares(8, 0, 1));
    assert_eq!(allocator.grant(after, b, start)[0].slots, 8);
}

/// A new scheduler does not know the grants of the earlier one. Granting more slots before these have
/// expired could exceed the slots of the server.
#[test]
fn a_new_scheduler_grants_no_more_than_is_held_before_old_grants_expire() {
    let (a, start) = (NodeId(1), Incarnation(1));
    let cfg = GrantConfig::default();
    let grants_from = Time::ZERO + cfg.term + cfg.drift_margin + cfg.max_request_time;
    let mut allocator = GrantAllocator::new(cfg, Time::ZERO, true);
    allocator.set_workers([WORKER]);
    allocator.report(Time::ZERO, a, start, 9, &shares(8, 3, 8));
    assert_eq!(allocator.grant(Time::ZERO, a, start)[0].slots, 3);
    allocator.report(grants_from, a, start, 10, &shares(8, 3, 9));
    assert_eq!(allocator.grant(grants_from, a, start)[0].slots, 8);
}
