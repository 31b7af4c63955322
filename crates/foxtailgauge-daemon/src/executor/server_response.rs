//! What the head of a backend server's response states about the request in flight.

use foxtailgauge_platform::headers;
use foxtailgauge_wire::http::VALID_STATUSES;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

/// What became of a request, by the head of the response on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseMeaning {
    /// The backend server ran the request.
    Ran,
    /// The backend server did not run the request and will not.
    Declined,
    /// Another backend server has taken the address. It did not run the request and will not.
    Misdirected,
    /// The response belongs to another request; whether this one ran is unknown.
    Mismatched,
    /// No response in the protocol: it proves nothing about the request.
    Invalid,
    /// A success without the proof that a backend server made it.
    Unproved,
}

impl ResponseMeaning {
    /// The meaning of a response for the request with this id.
    ///
    /// The id decides before anything else: a backend server may write an earlier response again.
    /// The response to a request without an id can't be told from such a one, so it never states that the
    /// request did not run.
    pub(crate) fn of<B>(response: &Response<B>, request_id: Option<&HeaderValue>) -> Self {
        if !VALID_STATUSES.contains(&response.status().as_u16()) {
            return ResponseMeaning::Invalid;
        }
        let mut response_ids = response.headers().get_all(headers::ATTEMPT_ID).iter();
        if response_ids.next() != request_id || response_ids.any(|id| Some(id) != request_id) {
            return ResponseMeaning::Mismatched;
        }
        let has_proof = response.headers().contains_key(headers::SERVER_PROOF);
        let is_refusal = request_id.is_some() && states_refusal(response);
        match response.status() {
            StatusCode::MISDIRECTED_REQUEST if is_refusal => ResponseMeaning::Misdirected,
            _ if is_refusal => ResponseMeaning::Declined,
            status if status.is_success() && !has_proof => ResponseMeaning::Unproved,
            _ => ResponseMeaning::Ran,
        }
    }
}

/// Whether a response states that the request with its id did not run.
pub(crate) fn states_refusal<B>(response: &Response<B>) -> bool {
    response.headers().contains_key(headers::NOT_EXECUTED)
        || response.status() == StatusCode::MISDIRECTED_REQUEST
}
