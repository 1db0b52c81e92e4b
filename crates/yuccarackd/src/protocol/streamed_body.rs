//! A request body that streams from its caller and stays with its call until a receiver reads it.

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

/// A body that is offered to one receiver after another until one begins to read it.
///
/// Guards against a request with a large body that is rejected by a gate without a free slot: its
/// body could not be sent a second time, so the refusal of the first gate would be final.
#[derive(Clone)]
pub struct StreamedBody {
    slot: Arc<Mutex<Slot>>,
}

struct Slot {
    body: Option<CallBody>,
    /// Number of the latest offer; older ones are void.
    offer: u64,
}

/// Signal that a receiver is ready to read the body.
#[derive(Clone, Debug, Default)]
pub struct DemandSignal(Arc<Notify>);

impl DemandSignal {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Signals that the receiver is ready, which releases the body.
    pub fn notify(&self) {
        self.0.notify_one();
    }
}

impl StreamedBody {
    /// Takes over a body of which nothing has been read.
    pub fn new(body: CallBody) -> Self {
        Self { slot: Arc::new(Mutex::new(Slot { body: Some(body), offer: 0 })) }
    }

    /// Returns whether no receiver has begun to read the body.
    pub fn is_unread(&self) -> bool {
        self.slot.lock().body.is_some()
    }

    /// Offers the body to a receiver that reads it at once.
    pub fn offer(&self) -> CallBody {
        self.make_offer(None).boxed_unsync()
    }

    /// Offers the body to a receiver that signals `demand` before it reads.
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

/// One offer of a body, which takes the body out of its slot on the first read.
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
