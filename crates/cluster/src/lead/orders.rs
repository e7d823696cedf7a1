//! Sends start and stop orders to workers, and polls workers.

use std::rc::Rc;

use model::WorkerId;
use sched::{Poll, PollOrder, StartAnswer, StartOrder, StopOrder};
use tokio::{sync::Notify, time::timeout};

use super::Leader;
use crate::{Ports, Workers};

impl<P: Ports> Leader<P> {
    /// Orders a worker to start a task, and reports the answer to the scheduler.
    pub(super) async fn start(self: Rc<Self>, order: StartOrder) {
        let (info, epoch) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.epoch(),
            )
        };
        let sent_at = self.now().time;
        let may_send = || self.scheduler.borrow().may_send(self.now());
        let outcome = if may_send() {
            let time_limit = self.order_times.borrow().limit(order.unanswered);
            let ports = &self.node.0.ports;
            ports.start(&info, &order, time_limit, may_send).await
        } else {
            StartAnswer::Unknown.into()
        };
        let answer = outcome.answer;
        let taken = self.now().time - sent_at;
        self.node.0.metrics.time("start", taken);
        if let Some(answer_time) = outcome.taken
            && self.node.0.settings.policy.limits_orders
        {
            self.order_times.borrow_mut().record(answer_time);
        }
        if answer == StartAnswer::Started {
            let now = self.now();
            let ages = (self.scheduler.borrow()).start_ages(now, order.worker, order.key);
            let ages = ages.unwrap_or_default();
            let approved = ages.approved.unwrap_or(ages.accepted);
            log::info!(
                "event=started task={} run={} worker={} started_unix_ms={} epoch={epoch} ms={} age_ms={} approved_ms={} decided_ms={}",
                order.key,
                order.run,
                info.name,
                info.started_unix_ms,
                taken.as_millis(),
                ages.accepted.as_millis(),
                approved.as_millis(),
                ages.decided.as_millis()
            );
        } else {
            log::warn!(
                "event=not_started task={} run={} worker={} epoch={epoch} answer={answer:?} ms={}",
                order.key,
                order.run,
                info.name,
                taken.as_millis()
            );
            self.node.0.metrics.count("starts_refused");
        }
        let now = self.now();
        {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.start_answered(now, &order, answer);
            if let Some(clock_ms) = outcome.clock_ms {
                scheduler.start_clock_read(now, &order, clock_ms);
            }
        }
        self.wake.notify_one();
    }

    /// Orders a worker to stop a task, and reports the outcome to the scheduler.
    pub(super) async fn stop(self: Rc<Self>, order: StopOrder) {
        let (info, fence) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.fence(order.worker),
            )
        };
        let answer = self.node.0.ports.stop(&info, fence, &order).await;
        let now = self.now();
        match answer {
            Ok(()) => {
                log::info!(
                    "event=stopped task={} run={} worker={}",
                    order.key,
                    order.run,
                    info.name
                );
                self.scheduler.borrow_mut().stop_answered(now, &order);
            }
            Err(e) => {
                log::warn!(
                    "event=not_stopped task={} run={} worker={} error={:?}",
                    order.key,
                    order.run,
                    info.name,
                    e.to_string()
                );
                self.scheduler.borrow_mut().stop_failed(now, &order);
            }
        }
        self.wake.notify_one();
    }

    /// Wakes a worker's poller. Starts it first if there is none yet.
    pub(super) fn wake_poller(self: &Rc<Self>, worker: WorkerId) {
        let count = self.scheduler.borrow().worker_count();
        let mut pollers = self.pollers.borrow_mut();
        if pollers.len() < count {
            let known = pollers.len();
            pollers.resize_with(count, || Rc::new(Notify::new()));
            let new = self.scheduler.borrow().emptiest_workers(known);
            for id in new {
                let wake = &pollers[usize::try_from(id.0).unwrap_or(usize::MAX)];
                self.spawn(self.clone().poll(id, wake.clone()));
            }
        }
        if let Some(wake) = pollers.get(usize::try_from(worker.0).unwrap_or(usize::MAX)) {
            wake.notify_one();
        }
    }

    /// Polls a worker whenever the scheduler asks for it. Never returns.
    async fn poll(self: Rc<Self>, worker: WorkerId, wake: Rc<Notify>) {
        self.poll_first(worker).await;
        loop {
            let now = self.now();
            let poll = self.scheduler.borrow_mut().next_poll(now, worker);
            match poll {
                Poll::Never => wake.notified().await,
                Poll::At(at) => {
                    // The scheduler is asked again in either case: woken, or the time has passed.
                    let _ = timeout(at - now.time, wake.notified()).await;
                }
                Poll::Now(order) => self.poll_once(&order).await,
            }
        }
    }

    /// Polls a worker for the first time, if it has to be polled. A new scheduler has hundreds of workers to
    /// poll, and no task starts on one before it has answered. Polled all at once they would answer at about
    /// the same time, the last of them not earlier; so only some are polled at a time.
    async fn poll_first(&self, worker: WorkerId) {
        let Ok(_permit) = self.first_polls.acquire().await else {
            return;
        };
        let now = self.now();
        let poll = self.scheduler.borrow_mut().next_poll(now, worker);
        if let Poll::Now(order) = poll {
            self.poll_once(&order).await;
        }
    }

    /// Polls a worker once, and passes the result to the scheduler.
    async fn poll_once(&self, order: &PollOrder) {
        let (info, fence) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.fence(order.worker),
            )
        };
        let sent_at = self.now().time;
        if order.acknowledged > 0 {
            log::info!(
                "event=acknowledged worker={} number={} fence={fence}",
                info.name,
                order.acknowledged
            );
        }
        let answer = self.node.0.ports.poll(&info, fence, order).await;
        let now = self.now();
        match answer {
            Ok(listing) => {
                for row in &listing.ended {
                    let end = &row.end;
                    log::info!(
                        "event=ended task={} run={} how={:?} worker={} number={}",
                        end.key,
                        end.run,
                        end.kind,
                        info.name,
                        row.number
                    );
                }
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.polled(now, order.worker, sent_at, &listing);
            }
            Err(failure) => {
                log::warn!(
                    "event=worker_lost worker={} reason={failure:?} acknowledged={} renewed={} fence={fence} ms={}",
                    info.name,
                    order.acknowledged,
                    order.lease_until_ms.is_some(),
                    (now.time - sent_at).as_millis()
                );
                self.node.0.metrics.count("polls_failed");
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.poll_failed(now, order.worker, failure);
            }
        }
        self.wake.notify_one();
    }
}
