//! Check of a configuration before it is sent.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use note::{Difference, Fault, Finding, Listing, OperatorConfig, State};
use platform::RefusedVersion;
use serde::Serialize;
use types::Revision;

use crate::{client::AdminClient, error::ToolError, text::single_line};

/// What a configuration is compared with.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    /// File with the configuration in force.
    pub file: Option<PathBuf>,
    /// Admin address of a node that has the configuration in force, and the servers.
    pub admin: Option<SocketAddr>,
}

/// Result of checking a configuration.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Version of the configuration, if it can be read.
    pub version: Option<u64>,
    /// Version that it was compared with, if a file named it.
    pub in_force: Option<u64>,
    /// Whether nodes ignore it, since its version isn't higher than the one in force.
    pub is_old: bool,
    /// Faults. If there are any, nodes refuse the configuration.
    pub faults: Vec<Fault>,
    /// Faults of entries that nodes leave out.
    pub unusable: Vec<Fault>,
    /// What nodes take, but can't have been meant.
    pub findings: Vec<Finding>,
    /// What differs from the configuration in force, `None` without a baseline.
    pub differences: Option<Vec<Difference>>,
}

impl Report {
    /// Whether nodes would take the configuration, and nothing in it is doubtful.
    pub fn is_clean(&self) -> bool {
        let has_faults = !self.faults.is_empty() || !self.unusable.is_empty();
        !has_faults && self.findings.is_empty() && !self.is_old
    }
}

/// Checks the configuration in `file`.
///
/// # Errors
///
/// [`ToolError::File`] or [`ToolError::Admin`] if a file or the view of a node can't be read, and
/// [`ToolError::Refused`] if the configuration to compare with isn't valid itself.
pub async fn check(file: &Path, baseline: &Baseline) -> Result<Report, ToolError> {
    let fleet = match baseline.admin {
        Some(admin) => Some(AdminClient::new().view(admin).await?.state),
        None => None,
    };
    let old = match &baseline.file {
        Some(path) => Some(parse(path)?.map_err(|refused| ToolError::Refused {
            path: path.clone(),
            faults: refused.faults.len(),
        })?),
        None => None,
    };
    let in_force = old.as_ref().map(|config| config.version);
    let config = match parse(file)? {
        Ok(config) => config,
        Err(RefusedVersion { version, faults }) => {
            return Ok(Report {
                version,
                in_force,
                faults,
                ..Report::default()
            });
        }
    };
    let state = state_of(&config);
    let before = old.as_ref().map(state_of).or(fleet.clone());
    Ok(Report {
        version: Some(config.version),
        in_force,
        is_old: in_force.is_some_and(|in_force| config.version <= in_force),
        faults: Vec::new(),
        unusable: config.unusable,
        findings: note::lint(&state, fleet.as_ref()),
        differences: before.map(|before| note::diff(&before, &state)),
    })
}

fn parse(path: &Path) -> Result<Result<OperatorConfig, RefusedVersion>, ToolError> {
    let text = fs::read(path).map_err(|cause| ToolError::File {
        path: path.to_owned(),
        cause,
    })?;
    Ok(adapter::parse_config(&text))
}

fn state_of(config: &OperatorConfig) -> State {
    State::assemble(&Listing::default(), config, Revision(config.version))
}

/// Formats a report as text.
pub fn render(report: &Report) -> String {
    let Report {
        version,
        in_force,
        is_old,
        faults,
        unusable,
        findings,
        differences,
    } = report;
    let mut text = match version {
        Some(version) => format!("version {version}"),
        None => "version unreadable".to_owned(),
    };
    match in_force {
        Some(in_force) if *is_old => text += &format!(", not above {in_force}: nodes ignore it"),
        Some(in_force) => text += &format!(", after {in_force}"),
        None => {}
    }
    text += "\n";
    let lines = faults.iter().map(|fault| format!("refused  {fault}"));
    let lines = lines.chain(unusable.iter().map(|fault| format!("left out {fault}")));
    let lines = lines.chain(findings.iter().map(|found| format!("doubtful {found}")));
    let differences = differences.iter().flatten();
    let lines = lines.chain(differences.map(|d| format!("differs  {d}")));
    text.extend(lines.map(|line| single_line(&line) + "\n"));
    if report.is_clean() {
        text += "in order\n";
    }
    text
}
