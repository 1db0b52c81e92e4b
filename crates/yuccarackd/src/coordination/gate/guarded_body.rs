//! A response body that holds the slot of its request until the body is complete.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::{
    task::JoinHandle,
    time::{Sleep, sleep_until},
};

use super::{dispatch::CrashCheck, in_flight::InFlightGuard, slots::SlotLease};
use crate::{
    coordination::suspects::RunningTrial,
    protocol::body::{BodyError, CallBody},
};

/// Resources that a request holds while it runs on the target.
pub struct RunningRequest {
    /// Slot that the request holds.
    pub slot: SlotLease,
    /// Guard that keeps the request among those in flight.
    pub in_flight: InFlightGuard,
    /// Trial of the request if it is a suspect.
    pub trial: Option<RunningTrial>,
    /// Check whether the target has crashed, for a connection that breaks.
    pub crash_check: CrashCheck,
}

impl RunningRequest {
    /// Ends a request whose response is complete.
    pub fn finish(self) {
        self.slot.finish();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.finish();
        }
    }

    /// Ends a request whose connection broke. The task returns whether the target has crashed.
    ///
    /// Without the check a request that crashes its target in the middle of a response would not
    /// become a suspect, and would crash the next target when it is sent again.
    pub fn finish_broken(self) -> JoinHandle<bool> {
        let Self { slot, in_flight, trial, crash_check } = self;
        slot.finish_failed();
        // Dropped unfinished, so that the request can become a suspect for some seconds.
        drop((in_flight, trial));
        crash_check.start()
    }

    /// Ends a request that the target shed before running any of it.
    pub fn finish_shed(self) {
        self.slot.finish_shed();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.finish_not_run();
        }
    }

    /// Ends a request of which nothing reached the target.
    pub fn finish_not_sent(self) {
        self.slot.finish_failed();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.finish_not_run();
        }
    }

    /// Ends a request whose deadline passed.
    pub fn finish_late(self) {
        self.slot.finish_failed();
    }
}

/// A response body that holds the resources of its request, at most until the deadline.
///
/// Without the deadline a target that sends its response in small pieces would occupy a slot for an
/// unlimited time.
pub struct GuardedBody {
    body: CallBody,
    running: Option<RunningRequest>,
    deadline: Pin<Box<Sleep>>,
}

impl GuardedBody {
    /// Creates a body that holds `running` until it is complete or `deadline` has passed.
    pub fn new(body: CallBody, running: RunningRequest, deadline: Instant) -> Self {
        let deadline = Box::pin(sleep_until(deadline.into()));
        let mut guarded = Self { body, running: Some(running), deadline };
        if guarded.body.is_end_stream() {
            guarded.finish_with(RunningRequest::finish);
        }
        guarded
    }

    fn note_progress(&self) {
        if let Some(running) = &self.running {
            running.slot.record_progress();
        }
    }

    fn finish_with(&mut self, finish: impl FnOnce(RunningRequest)) {
        if let Some(running) = self.running.take() {
            finish(running);
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() && self.running.is_some() {
            self.finish_with(RunningRequest::finish_late);
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if self.body.is_end_stream() => self.finish_with(RunningRequest::finish),
            Some(Ok(_)) => self.note_progress(),
            Some(Err(_)) => self.finish_with(|running| drop(running.finish_broken())),
            None => self.finish_with(RunningRequest::finish),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
