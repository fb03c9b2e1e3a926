//! Responses to clients. Their texts and codes are part of the wire format.

use std::time::Duration;

use tidescale_policy::types::RequestId;

use super::Clients;
use super::connection::ClientState;
use crate::buffers::Chain;
use crate::postgres::{self, Severity, sqlstate};

/// The unit in which a client is sent the time until it may retry; a shorter time is not sent.
const RETRY_AFTER_UNIT: Duration = Duration::from_millis(1);

impl Clients {
    /// Forwards the response of an endpoint.
    pub fn complete_request(&mut self, id: RequestId, answer: &mut Chain) {
        self.respond(id, |output| answer.move_to(answer.len(), output));
    }

    /// An endpoint has found the request itself invalid.
    pub fn answer_invalid_request(&mut self, id: RequestId) {
        self.respond(id, |output| {
            let (code, message) = (sqlstate::SYNTAX_ERROR, "a machine turned it down");
            postgres::put_error(output, Severity::Error, code, message, "");
        });
    }

    /// Tells the client that it may send its request again, and when it may retry unless that is
    /// less than a millisecond.
    pub fn reject_request(&mut self, id: RequestId, retry_after: Duration) {
        let detail = if retry_after >= RETRY_AFTER_UNIT {
            retry_after.as_millis().to_string()
        } else {
            String::new()
        };
        self.respond(id, |output| {
            let code = sqlstate::TOO_MANY_CONNECTIONS;
            postgres::put_error(output, Severity::Error, code, "try again", &detail);
        });
    }

    /// Tells the client that its request has failed and may have been executed.
    pub fn fail_request(&mut self, id: RequestId) {
        self.respond(id, |output| {
            let (code, message) = (sqlstate::SYSTEM_ERROR, "not completed");
            postgres::put_error(output, Severity::Error, code, message, "");
        });
    }

    /// Writes the whole response to a request, if its client still waits for one.
    fn respond(&mut self, id: RequestId, write: impl FnOnce(&mut Chain)) {
        let Some(key) = self.requests.take_client(id) else {
            return;
        };
        if let Some(client) = self.connections.get_mut(key) {
            client.state = ClientState::Idle;
            write(&mut client.connection.output);
            postgres::put_ready(&mut client.connection.output);
            // An error is found when the connection is served in the next iteration.
            let _ = client.connection.flush();
            self.pending.push(key);
        }
        self.requests.remove_if_finished(id);
    }
}
