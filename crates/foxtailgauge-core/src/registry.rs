//! Replicated state of the configuration: teams, revisions, answers to changes, audit trail.

use crate::config::{is_valid_name, parse_team, ConfigProblem, ConfigProblemKind, TeamConfig};
use crate::fleet_check::check_fleet;
use crate::ids::{ChangeId, ConfigVersion, Revision, TeamName, UnixMs};
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Past revisions kept for each team.
pub const HISTORY_LIMIT: usize = 200;
/// Texts of past revisions kept for each team, in bytes: the state must fit a small instance.
pub const HISTORY_BYTES: usize = 1 << 20;
/// Audit entries kept in all.
pub const AUDIT_LIMIT: usize = 10_000;
/// Answers kept for resent changes.
pub const ANSWER_LIMIT: usize = 10_000;

/// An operator's own document that a change was translated from.
///
/// Its numbers take the place of revisions: a team that is driven by documents is changed only on
/// top of the document that the operator names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Operator's number for it; must lie above the number of the current document.
    pub number: u64,
    /// Number of the document it was made against; 0 for none.
    pub base_number: u64,
    /// The document as it was sent.
    pub bytes: Arc<Vec<u8>>,
}

/// An operator's change to one team's subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Team whose subtree is replaced.
    pub team: TeamName,
    /// Identifier kept across resends.
    pub change_id: ChangeId,
    /// Revision the change was made against; 0 for a team without configuration.
    pub base_revision: Revision,
    /// The team's whole new text, in INI.
    pub text: String,
    /// Who made the change.
    pub author: String,
    /// When it was submitted.
    pub at_ms: UnixMs,
    /// Revision that a rollback restores.
    pub rollback_of: Option<Revision>,
    /// Document the text was translated from; then `base_revision` does not count.
    pub document: Option<Document>,
}

/// The answer to a change. A resend of the same change gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is in the log of a majority of replicas.
    Accepted {
        /// Version of the whole configuration that holds the change.
        version: ConfigVersion,
        /// New revision of the team's subtree.
        revision: Revision,
    },
    /// Another change of the same team was accepted first.
    Conflict {
        /// The team's revision now.
        current_revision: Revision,
    },
    /// The configuration would not be valid as a whole.
    Invalid {
        /// All problems.
        problems: Vec<ConfigProblem>,
    },
    /// The change id was used before for another change.
    ChangeIdReused,
}

/// One accepted revision of a team's subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Revision of the team's subtree.
    pub revision: Revision,
    /// Version of the whole configuration that it made.
    pub version: ConfigVersion,
    /// Change that made it.
    pub change_id: ChangeId,
    /// Who made it.
    pub author: String,
    /// When it was submitted.
    pub at_ms: UnixMs,
    /// Revision it restored, if it was a rollback.
    pub rollback_of: Option<Revision>,
    /// The whole text.
    pub text: String,
}

/// One line of the audit trail: every change asked for, accepted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Number of the entry, without gaps.
    pub number: u64,
    /// Team concerned.
    pub team: TeamName,
    /// Change concerned.
    pub change_id: ChangeId,
    /// Who asked.
    pub author: String,
    /// When it was submitted.
    pub at_ms: UnixMs,
    /// Revision it was made against.
    pub base_revision: Revision,
    /// What was answered.
    pub answer: ChangeAnswer,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct TeamState {
    /// Newest last; never empty once the team exists.
    history: VecDeque<RevisionRecord>,
    /// Document of the newest revision, if it was made by one.
    document: Option<Document>,
    /// Highest number a document had.
    number: u64,
}

impl TeamState {
    fn revision(&self) -> Revision {
        self.history.back().map_or(0, |r| r.revision)
    }

    /// Keeps the texts of all revisions within [`HISTORY_BYTES`], without losing the newest.
    fn drop_old_texts(&mut self) {
        let mut bytes: usize = self.history.iter().map(|r| r.text.len()).sum();
        while bytes > HISTORY_BYTES && self.history.len() > 1 {
            bytes -= self.history.pop_front().map_or(0, |r| r.text.len());
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CachedAnswer {
    fingerprint: u64,
    answer: ChangeAnswer,
}

/// The configuration's replicated state machine. Deterministic in the order of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Grows by one with each accepted change.
    version: ConfigVersion,
    teams: BTreeMap<TeamName, TeamState>,
    /// Parsed form of every team's newest text.
    parsed: BTreeMap<TeamName, TeamConfig>,
    answers: BTreeMap<ChangeId, CachedAnswer>,
    /// Keys of `answers`, oldest first.
    answer_order: VecDeque<ChangeId>,
    audit: VecDeque<AuditEntry>,
    audit_count: u64,
}

impl Registry {
    /// Version of the whole configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The configuration as distributed.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::from_teams(self.version, &self.parsed)
    }

    /// Current revision of a team; 0 if it has none.
    pub fn revision(&self, team: &str) -> Revision {
        self.teams.get(team).map_or(0, TeamState::revision)
    }

    /// The newest or a named revision of a team.
    pub fn revision_record(
        &self,
        team: &str,
        revision: Option<Revision>,
    ) -> Option<&RevisionRecord> {
        let history = &self.teams.get(team)?.history;
        match revision {
            None => history.back(),
            Some(revision) => history.iter().find(|r| r.revision == revision),
        }
    }

    /// The document of a team's newest revision.
    pub fn document(&self, team: &str) -> Option<&Document> {
        self.teams.get(team)?.document.as_ref()
    }

    /// All revisions kept of a team, oldest first.
    pub fn history(&self, team: &str) -> impl Iterator<Item = &RevisionRecord> {
        self.teams.get(team).into_iter().flat_map(|t| &t.history)
    }

    /// The audit entries of one team, or of all, oldest first.
    pub fn audit<'a>(&'a self, team: Option<&'a str>) -> impl Iterator<Item = &'a AuditEntry> {
        self.audit
            .iter()
            .filter(move |entry| team.is_none_or(|team| entry.team == team))
    }

    /// Checks a text against the whole configuration without changing anything.
    pub fn check(&self, team: &str, text: &str) -> Result<TeamConfig, Vec<ConfigProblem>> {
        if !is_valid_name(team) {
            return Err(vec![ConfigProblem {
                section: String::new(),
                key: String::new(),
                kind: ConfigProblemKind::BadName,
            }]);
        }
        let config = parse_team(team, text)?;
        let mut teams = self.parsed.clone();
        teams.insert(team.to_owned(), config.clone());
        check_fleet(team, &teams)?;
        Ok(config)
    }

    /// The answer that a resent change already has.
    pub fn cached_answer(&self, change: &Change) -> Option<ChangeAnswer> {
        let cached_answer = self.answers.get(&change.change_id)?;
        Some(if cached_answer.fingerprint == fingerprint(change) {
            cached_answer.answer.clone()
        } else {
            ChangeAnswer::ChangeIdReused
        })
    }

    /// Applies one change in log order and answers it.
    pub fn apply(&mut self, change: &Change) -> ChangeAnswer {
        if let Some(answer) = self.cached_answer(change) {
            return answer;
        }
        let answer = self.decide(change);
        // A document refused for its base stays open: the order may reach another leader first.
        let is_retryable =
            change.document.is_some() && matches!(answer, ChangeAnswer::Conflict { .. });
        if !is_retryable {
            self.cache_answer(change, &answer);
        }
        answer
    }

    fn decide(&mut self, change: &Change) -> ChangeAnswer {
        let current_revision = self.revision(&change.team);
        let is_base_current = match &change.document {
            Some(document) => document.base_number == self.number(&change.team),
            None => change.base_revision == current_revision,
        };
        if !is_base_current {
            return ChangeAnswer::Conflict { current_revision };
        }
        if let Some(problem) = self.number_problem(change) {
            return ChangeAnswer::Invalid {
                problems: vec![problem],
            };
        }
        match self.check(&change.team, &change.text) {
            Err(problems) => ChangeAnswer::Invalid { problems },
            Ok(config) => self.accept(change, config),
        }
    }

    fn number(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |team| team.number)
    }

    fn number_problem(&self, change: &Change) -> Option<ConfigProblem> {
        let current = self.number(&change.team);
        let document = change.document.as_ref()?;
        (document.number <= current).then(|| ConfigProblem {
            section: String::new(),
            key: String::new(),
            kind: ConfigProblemKind::NumberNotAbove { current },
        })
    }

    fn accept(&mut self, change: &Change, config: TeamConfig) -> ChangeAnswer {
        self.version += 1;
        let team = self.teams.entry(change.team.clone()).or_default();
        let revision = team.revision() + 1;
        team.history.push_back(RevisionRecord {
            revision,
            version: self.version,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            at_ms: change.at_ms,
            rollback_of: change.rollback_of,
            text: change.text.clone(),
        });
        truncate_front(&mut team.history, HISTORY_LIMIT);
        team.drop_old_texts();
        team.number = change.document.as_ref().map_or(team.number, |d| d.number);
        team.document.clone_from(&change.document);
        self.parsed.insert(change.team.clone(), config);
        ChangeAnswer::Accepted {
            version: self.version,
            revision,
        }
    }

    fn cache_answer(&mut self, change: &Change, answer: &ChangeAnswer) {
        let cached_answer = CachedAnswer {
            fingerprint: fingerprint(change),
            answer: answer.clone(),
        };
        self.answers.insert(change.change_id.clone(), cached_answer);
        self.answer_order.push_back(change.change_id.clone());
        while self.answer_order.len() > ANSWER_LIMIT {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        self.audit_count += 1;
        self.audit.push_back(AuditEntry {
            number: self.audit_count,
            team: change.team.clone(),
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            at_ms: change.at_ms,
            base_revision: change.base_revision,
            answer: answer.clone(),
        });
        truncate_front(&mut self.audit, AUDIT_LIMIT);
    }
}

fn truncate_front<T>(queue: &mut VecDeque<T>, limit: usize) {
    while queue.len() > limit {
        queue.pop_front();
    }
}

/// Hash of what makes two changes the same one, whoever carries the resend and when.
fn fingerprint(change: &Change) -> u64 {
    use sha2::{Digest, Sha256};
    let mut hasher = Sha256::new();
    hasher.update((change.team.len() as u64).to_be_bytes());
    hasher.update(&change.team);
    hasher.update(change.base_revision.to_be_bytes());
    hasher.update(&change.text);
    let hash: [u8; 32] = hasher.finalize().into();
    u64::from_be_bytes(hash[..8].try_into().unwrap_or_default())
}
