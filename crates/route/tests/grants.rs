//! Shares never sum above what a server has, whichever messages are lost, late or doubled.

use std::time::Duration;

use model::{Incarnation, NodeId, Time, WorkerId};
use quickcheck::{Arbitrary, Gen};
use route::{GrantAllocator, GrantConfig, NodeShares, ShareReport};

const WORKER: WorkerId = WorkerId(1);
const NODES: usize = 4;
const SLOTS: u32 = 8;

/// A node as the contract of the book asks it to be.
#[derive(Clone, Debug, Default)]
struct Entry {
    start: u64,
    seq: u64,
    sent: Time,
    applied: u64,
    epoch: u64,
    slots: u32,
    until: Time,
    /// When each request in flight ends.
    running: Vec<Time>,
}

#[derive(Clone, Debug)]
enum Mail {
    Heartbeat(usize, u64, u64, NodeShares),
    View(usize, u64, u64, u64, u32),
}

struct Domain {
    cfg: GrantConfig,
    now: Time,
    nodes: Vec<Entry>,
    /// Requests of nodes that have died: the server still runs them.
    orphans: Vec<Time>,
    epoch: u64,
    book: GrantAllocator,
    mail: Vec<Mail>,
}

impl Domain {
    fn new() -> Self {
        let cfg = GrantConfig::default();
        let mut book = GrantAllocator::new(cfg.clone(), Time::ZERO, false);
        book.set_workers([WORKER]);
        Self {
            cfg,
            now: Time::ZERO,
            nodes: vec![Entry::default(); NODES],
            orphans: Vec::new(),
            epoch: 1,
            book,
            mail: Vec::new(),
        }
    }

    fn step(&mut self, g: &mut Gen) {
        self.now += Duration::from_millis(u64::from(u16::arbitrary(g) % 200));
        let now = self.now;
        self.orphans.retain(|end| now < *end);
        let i = usize::arbitrary(g) % NODES;
        self.nodes[i].running.retain(|end| now < *end);
        match u8::arbitrary(g) % 16 {
            0..=3 => self.heartbeat(i, u32::arbitrary(g) % 12),
            4..=9 if !self.mail.is_empty() => {
                // Mostly a recent message; one in eight stays and comes again, long after.
                let recent = self.mail.len().min(4);
                let k = self.mail.len() - 1 - usize::arbitrary(g) % recent;
                let mail = self.mail[k].clone();
                if !u8::arbitrary(g).is_multiple_of(8) {
                    self.mail.swap_remove(k);
                }
                self.deliver(mail);
            }
            10 if !self.mail.is_empty() => {
                let k = usize::arbitrary(g) % self.mail.len();
                self.mail.swap_remove(k);
            }
            11..=13 => self.fill(i, g),
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
        self.mail
            .push(Mail::Heartbeat(i, node.start, node.seq, report));
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Heartbeat(i, start, seq, report) => {
                let id = NodeId(u32::try_from(i).unwrap());
                let incarnation = Incarnation(start);
                self.book.report(self.now, id, incarnation, seq, &report);
                let shares = self.book.grant(self.now, id, incarnation);
                let slots = shares.first().map_or(0, |share| share.slots);
                self.mail.push(Mail::View(i, start, seq, self.epoch, slots));
            }
            Mail::View(i, start, answers, epoch, slots) => {
                let node = &mut self.nodes[i];
                if start == node.start && answers == node.seq && epoch >= node.epoch {
                    node.applied = answers;
                    node.epoch = epoch;
                    node.slots = slots;
                    node.until = node.sent + self.cfg.term;
                }
            }
        }
    }

    fn fill(&mut self, i: usize, g: &mut Gen) {
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
        self.book = GrantAllocator::new(self.cfg.clone(), self.now, true);
        self.book.set_workers([WORKER]);
    }

    fn in_use(&self) -> usize {
        let running = self.nodes.iter().flat_map(|node| &node.running);
        let ends = running.chain(&self.orphans);
        ends.filter(|end| self.now < **end).count()
    }
}

#[test]
fn slots_are_never_passed() {
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

#[test]
fn shares_move_to_where_they_are_wanted() {
    let (a, b, start) = (NodeId(1), NodeId(2), Incarnation(1));
    let mut book = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
    book.set_workers([WORKER]);
    let mut slots = (0, 0);
    for seq in 1..6 {
        let now = Time::from_ms(seq * 1_000);
        book.report(now, a, start, seq, &shares(1, slots.0, seq - 1));
        slots.0 = book.grant(now, a, start).first().map_or(0, |s| s.slots);
        book.report(now, b, start, seq, &shares(20, slots.1, seq - 1));
        slots.1 = book.grant(now, b, start).first().map_or(0, |s| s.slots);
    }
    assert_eq!(slots, (1, 7));
}

#[test]
fn a_silent_nodes_share_is_free_after_its_term() {
    let (a, b, start) = (NodeId(1), NodeId(2), Incarnation(1));
    let cfg = GrantConfig::default();
    let held = cfg.term + cfg.drift_margin + cfg.max_request_time;
    let mut book = GrantAllocator::new(cfg, Time::ZERO, false);
    book.set_workers([WORKER]);
    book.report(Time::ZERO, a, start, 1, &shares(8, 0, 0));
    assert_eq!(book.grant(Time::ZERO, a, start)[0].slots, 8);
    let before = Time::ZERO + held.saturating_sub(Duration::from_millis(1));
    book.report(before, b, start, 1, &shares(8, 0, 0));
    assert!(book.grant(before, b, start).is_empty());
    let after = Time::ZERO + held;
    book.report(after, b, start, 2, &shares(8, 0, 1));
    assert_eq!(book.grant(after, b, start)[0].slots, 8);
}

#[test]
fn a_new_scheduler_keeps_what_is_held_and_grants_no_more_before_old_grants_lapse() {
    let (a, start) = (NodeId(1), Incarnation(1));
    let cfg = GrantConfig::default();
    let opens = Time::ZERO + cfg.term + cfg.drift_margin + cfg.max_request_time;
    let mut book = GrantAllocator::new(cfg, Time::ZERO, true);
    book.set_workers([WORKER]);
    book.report(Time::ZERO, a, start, 9, &shares(8, 3, 8));
    assert_eq!(book.grant(Time::ZERO, a, start)[0].slots, 3);
    book.report(opens, a, start, 10, &shares(8, 3, 9));
    assert_eq!(book.grant(opens, a, start)[0].slots, 8);
}
