//! Analysis of the log files of daemons for routed calls: parsing, order, causes.

mod announcements;
mod cause;
mod chart;
mod event;
mod reader;
mod request_trace;
mod summary;

pub use announcements::Announcements;
pub use cause::Cause;
pub use chart::{ChartError, draw_chart};
pub use event::{Event, EventKind};
pub use reader::{LogError, for_each_event};
pub use request_trace::RequestTrace;
pub use summary::Summary;
