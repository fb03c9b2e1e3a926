//! The platform's form of a vote and of the response to it. No I/O.

use tidescale_policy::types::{Ballot, Vote, VoteResult};

use crate::rollout_status::StatusMessage;

/// A response to a vote.
#[derive(Clone, Debug, PartialEq)]
pub struct VoteResponse {
    /// What became of the vote.
    pub result: VoteResult,
    /// The rollout's status after it, where the vote was accepted.
    pub rollout_status: Option<StatusMessage>,
}

impl VoteResponse {
    fn without_status(result: VoteResult) -> VoteResponse {
        VoteResponse {
            result,
            rollout_status: None,
        }
    }
}

/// A vote as the form that the platform takes.
pub(super) fn form(ballot: Ballot) -> String {
    let Ballot { build, stage, vote } = ballot;
    let opinion = match vote {
        Vote::Abstain => "clear",
        Vote::Advance => "approve",
        Vote::Hold => "wait",
        Vote::RollBack => "reject",
    };
    form_urlencoded::Serializer::new(String::new())
        .append_pair("Action", "RecordOpinion")
        .append_pair("version", &build.to_string())
        .append_pair("step", &stage.to_string())
        .append_pair("vote", opinion)
        .finish()
}

/// Reads a response's status code and XML body; none where they make no sense.
pub fn parse_response(status: u16, body: &[u8]) -> Option<VoteResponse> {
    let text = std::str::from_utf8(body).ok()?;
    let document = roxmltree::Document::parse(text).ok()?;
    let text_of = |name: &str| {
        document
            .descendants()
            .find(|node| node.has_tag_name(name))
            .and_then(|node| node.text())
    };
    match (status, text_of("Code")) {
        (200, _) => Some(VoteResponse {
            result: VoteResult::Accepted,
            rollout_status: Some(StatusMessage::from_fields(text_of)?),
        }),
        (400, Some("Throttling")) => Some(VoteResponse::without_status(VoteResult::Busy)),
        (400, Some("ConditionFailed")) => {
            Some(VoteResponse::without_status(VoteResult::Superseded))
        }
        (500, Some("InternalFailure")) | (400, Some("ValidationError")) => {
            Some(VoteResponse::without_status(VoteResult::Failed))
        }
        _ => None,
    }
}
