//! Delivers the response of a target, streamed or buffered.

use crate::request_context::TargetResponse;
use crate::response_body::BodyTimes;
use crate::stored_response::{STORED_BODY_MAX_BYTES, stored_response};
use crate::{ResponseBody, StreamedResponseBody};
use heatherhinge_claims::Outcome;
use heatherhinge_types::Code;
use http::Response;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::timeout;

/// Forwards a response as it arrives.
pub(crate) fn stream(target_response: TargetResponse, times: BodyTimes) -> Response<ResponseBody> {
    let TargetResponse { response, acquired } = target_response;
    response.map(|incoming| {
        let body =
            StreamedResponseBody::new(incoming, times, acquired.chosen.in_flight, acquired.wake);
        ResponseBody::from(body)
    })
}

/// Buffers a small response, so that the owner of the key can replay it, and streams a larger one.
pub(crate) async fn buffer_small(
    target_response: TargetResponse,
    times: BodyTimes,
) -> (Outcome, Result<Response<ResponseBody>, Code>) {
    let size = target_response.response.body().size_hint().exact();
    if size.is_none_or(|bytes| bytes > STORED_BODY_MAX_BYTES) {
        return (Outcome::Completed(None), Ok(stream(target_response, times)));
    }
    let (head, body) = target_response.response.into_parts();
    let collected = timeout(times.idle.min(times.left), body.collect()).await;
    drop(target_response.acquired);
    match collected {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            let stored = stored_response(&head, &body);
            let response = Response::from_parts(head, ResponseBody::full(body));
            (Outcome::Completed(Some(stored)), Ok(response))
        }
        _ => (Outcome::Completed(None), Err(Code::TargetBroke)),
    }
}
