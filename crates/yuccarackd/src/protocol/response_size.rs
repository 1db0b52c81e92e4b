//! Size of a response that may still arrive.

use http::{Response, header};
use http_body::Body;

use super::body::CallBody;

/// Returns the size of a response's body, if it is known before its end.
pub fn declared_size(response: &Response<CallBody>) -> Option<u64> {
    response.body().size_hint().exact().or_else(|| {
        let length = response.headers().get(header::CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    })
}
