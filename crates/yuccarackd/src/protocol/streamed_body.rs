//! A request's body that arrives while it is sent, and stays with its call until somebody takes it.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::sync::{Notify, futures::OwnedNotified};

use super::body::{BodyError, CallBody};

/// A body that is offered to one receiver after the other until one begins to read it.
///
/// Failure: a request with a large body is turned away by a gate that has no slot. Its body can't be
/// sent a second time, so that the first gate's word would be the last one.
#[derive(Clone)]
pub struct StreamedBody {
    slot: Arc<Mutex<Slot>>,
}

struct Slot {
    body: Option<CallBody>,
    /// Number of the newest offer; older ones are void.
    offer: u64,
}

/// Says that the receiver wants the body.
#[derive(Clone, Debug, Default)]
pub struct DemandSignal(Arc<Notify>);

impl DemandSignal {
    /// Starts as not demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets the body go.
    pub fn notify(&self) {
        self.0.notify_one();
    }
}

impl StreamedBody {
    /// Takes in a body of which nothing was read.
    pub fn new(body: CallBody) -> Self {
        Self { slot: Arc::new(Mutex::new(Slot { body: Some(body), offer: 0 })) }
    }

    /// Whether nobody has begun to read it.
    pub fn is_unread(&self) -> bool {
        self.slot.lock().body.is_some()
    }

    /// The body for whoever reads it at once.
    pub fn offer(&self) -> CallBody {
        self.make_offer(None).boxed_unsync()
    }

    /// The body for a receiver that says first whether it is `demand`.
    pub fn offer_when(&self, demand: &DemandSignal) -> CallBody {
        let wait = Box::pin(Arc::clone(&demand.0).notified_owned());
        self.make_offer(Some(wait)).boxed_unsync()
    }

    fn make_offer(&self, wait: Option<Pin<Box<OwnedNotified>>>) -> OfferedBody {
        let mut slot = self.slot.lock();
        slot.offer += 1;
        let size = slot.body.as_ref().map_or_else(SizeHint::default, Body::size_hint);
        let (slot, offer) = (Arc::clone(&self.slot), slot.offer);
        OfferedBody { slot, offer, wait, size, taken: None }
    }
}

/// One offer of a body, which takes it when it is first read.
struct OfferedBody {
    slot: Arc<Mutex<Slot>>,
    offer: u64,
    wait: Option<Pin<Box<OwnedNotified>>>,
    size: SizeHint,
    taken: Option<CallBody>,
}

impl OfferedBody {
    fn take(&self) -> Result<CallBody, BodyError> {
        let mut slot = self.slot.lock();
        if slot.offer != self.offer {
            return Err(BodyError::Withdrawn);
        }
        slot.body.take().ok_or(BodyError::Withdrawn)
    }
}

impl Body for OfferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(wait) = &mut self.wait {
            ready!(wait.as_mut().poll(cx));
            self.wait = None;
        }
        if self.taken.is_none() {
            match self.take() {
                Ok(body) => self.taken = Some(body),
                Err(error) => return Poll::Ready(Some(Err(error))),
            }
        }
        match &mut self.taken {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.taken.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.taken.as_ref().map_or(self.size, Body::size_hint)
    }
}
