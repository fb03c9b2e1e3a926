//! SIGHUP: reads the configuration again and moves the control streams to its addresses.
//!
//! Only addresses change; the endpoint list and the rollout status go on from where they stand. A configuration that
//! cannot be read leaves everything as it was.

use std::path::Path;

use slog::{info, warn};

use crate::config;
use crate::connection::IoContext;
use crate::discovery::Discovery;
use crate::rollout_status::RolloutStatusStream;
use crate::votes::Votes;

/// What a new configuration can change.
pub struct Reloadable<'a> {
    /// The endpoint list's stream.
    pub discovery: &'a mut Discovery,
    /// The rollout status stream.
    pub rollout_status: &'a mut RolloutStatusStream,
    /// The votes' connection.
    pub votes: &'a mut Votes,
}

/// Applies the configuration at `path`, if it can be used.
pub fn reload(path: &Path, targets: Reloadable<'_>, context: &mut IoContext) {
    let config = match config::read_file(path) {
        Ok(config) => config,
        Err(error) => {
            let why = error.to_string().replace('\n', " ");
            warn!(context.log, "cannot use the new configuration, the earlier one stays"; "why" => why);
            return;
        }
    };
    let discovery_moved = targets.discovery.change_address(config.discovery, context);
    let platform_moved = targets
        .rollout_status
        .change_address(config.platform, context);
    targets.votes.change_address(config.platform, context);
    info!(context.log, "configuration reloaded";
        "discovery" => discovery_moved, "platform" => platform_moved);
}
