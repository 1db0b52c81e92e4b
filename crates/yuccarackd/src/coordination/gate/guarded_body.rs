//! A target's answer that holds its slot until the answer has been read whole.

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

/// What a request holds while it is on the target.
pub struct RunningRequest {
    /// Its slot.
    pub slot: SlotLease,
    /// Its presence in the record of requests in flight.
    pub in_flight: InFlightGuard,
    /// Its trial, where it is a crash suspect.
    pub trial: Option<RunningTrial>,
    /// Looks whether the target has died.
    pub crash_check: CrashCheck,
}

impl RunningRequest {
    /// Ends a request whose answer came whole.
    pub fn finish(self) {
        self.slot.finish();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.ended_well();
        }
    }

    /// Ends a request whose connection broke; the task says whether the target has died.
    ///
    /// Failure: a target dies in the middle of an answer, the gate passes the broken answer on and
    /// asks no further, and the request takes the next target when it is sent again.
    pub fn finish_broken(self) -> JoinHandle<bool> {
        let Self { slot, in_flight, trial, crash_check } = self;
        slot.finish_failed();
        // Both without a word: they stay open to blame for some seconds.
        drop((in_flight, trial));
        crash_check.start()
    }

    /// Ends a request that the target shed before running it.
    pub fn finish_shed(self) {
        self.slot.finish_shed();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.not_run();
        }
    }

    /// Ends a request of which nothing reached the target.
    pub fn finish_not_sent(self) {
        self.slot.finish_failed();
        self.in_flight.finish();
        if let Some(trial) = self.trial {
            trial.not_run();
        }
    }

    /// Ends a request whose deadline passed.
    pub fn finish_late(self) {
        self.slot.finish_failed();
    }
}

/// An answer's body that holds what its request holds, at most until the deadline.
///
/// A target that trickles its answer would otherwise keep a slot for as long as it likes.
pub struct GuardedBody {
    body: CallBody,
    running: Option<RunningRequest>,
    deadline: Pin<Box<Sleep>>,
}

impl GuardedBody {
    /// Guards `body` until `deadline`.
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
