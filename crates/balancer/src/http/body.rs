//! Buffers whole bodies.

use axum::BoxError;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use thiserror::Error;

use crate::http::MAX_BUFFERED_BYTES;

/// States why a body could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("too large")]
    TooLarge,
    /// The connection broke before the last byte of the body.
    #[error("incomplete")]
    Incomplete,
    /// The buffers of all connections hold as much as they may.
    #[error("too many large requests at once; this one did not run")]
    OutOfMemory,
}

/// Buffers a body of at most [`MAX_BUFFERED_BYTES`].
///
/// # Errors
///
/// Fails with [`BodyError::TooLarge`] if the body is longer than the limit, before anything is read if its
/// length is announced, and with [`BodyError::Incomplete`] if the body can't be read to its end.
pub async fn collect_body<B>(body: B) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    if body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    match Limited::new(body, MAX_BUFFERED_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}
