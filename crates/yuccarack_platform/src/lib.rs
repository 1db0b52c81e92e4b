//! Client of the platform's transactional table service and object store, and the rows kept there.
//!
//! [`response_head`] is the check that all HTTP clients of this project share.

pub mod accept;
pub mod client;
pub mod errors;
pub mod escape;
pub mod feed;
pub mod hex_id;
pub mod messages;
pub mod response_head;
pub mod rows;
pub mod transfer;

pub use client::PlatformClient;
pub use errors::PlatformError;
