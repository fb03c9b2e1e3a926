//! Sending responses to clients. Their texts and codes are part of the wire format.

use std::time::Duration;

use tidescale_policy::types::RequestId;

use super::Clients;
use super::connection::ClientState;
use crate::buffers::Chain;
use crate::postgres::{self, ErrorFields, Severity, sqlstate};

/// The unit, one millisecond, of the retry delay that is sent to clients; a shorter delay is not
/// sent.
const RETRY_AFTER_UNIT: Duration = Duration::from_millis(1);

impl Clients {
    /// Forwards the response of an endpoint to the client.
    pub fn complete_request(&mut self, id: RequestId, response: &mut Chain) {
        self.respond(id, |output| response.move_to(response.len(), output));
    }

    /// Responds that an endpoint has rejected the request as invalid.
    pub fn reject_invalid_request(&mut self, id: RequestId) {
        self.respond(id, |output| {
            let message = "a machine turned it down";
            postgres::put_error(
                output,
                error_without_detail(sqlstate::SYNTAX_ERROR, message),
            );
        });
    }

    /// Responds that the client may retry its request, after `retry_after` if that is at least a
    /// millisecond.
    pub fn reject_request(&mut self, id: RequestId, retry_after: Duration) {
        self.respond(id, |output| put_retryable_rejection(output, retry_after));
    }

    /// Responds that the request has failed and may have been executed.
    pub fn fail_request(&mut self, id: RequestId) {
        self.respond(id, |output| {
            let error = error_without_detail(sqlstate::SYSTEM_ERROR, "not completed");
            postgres::put_error(output, error);
        });
    }

    /// Writes a complete response, if the client still waits for it.
    fn respond(&mut self, id: RequestId, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.requests.take_client(id) else {
            return;
        };
        if let Some(client) = self.connections.get_mut(key) {
            client.state = ClientState::Idle;
            write(&mut client.connection.output);
            postgres::put_ready_for_query(&mut client.connection.output);
            // The next iteration flushes again and handles a write error.
            let _ = client.connection.flush();
            self.read_schedule.schedule(key);
        }
        self.requests.remove_if_finished(id);
    }
}

/// Writes the error of a rejected request, with the delay after which the client should retry if
/// that is at least a millisecond.
pub(super) fn put_retryable_rejection(output: &mut Chain, retry_after: Duration) {
    let detail = if retry_after >= RETRY_AFTER_UNIT {
        retry_after.as_millis().to_string()
    } else {
        String::new()
    };
    let error = ErrorFields {
        detail: &detail,
        ..error_without_detail(sqlstate::TOO_MANY_CONNECTIONS, "try again")
    };
    postgres::put_error(output, error);
}

/// Returns an error after which the connection stays open.
pub(super) fn error_without_detail<'a>(code: &'a str, message: &'a str) -> ErrorFields<'a> {
    ErrorFields {
        severity: Severity::Error,
        code,
        message,
        detail: "",
    }
}
