//! Replicated state machine of the configuration: teams, revisions, cached answers and audit trail.

use crate::config::{is_valid_name, parse_team_from, ConfigProblem, ConfigProblemKind, TeamConfig};
use crate::fleet_check::check_fleet;
use crate::ids::{ChangeId, ConfigVersion, Revision, TeamName, UnixMs};
use crate::registry_v1::TeamConfigV1;
use crate::rollout::{RolloutAnswer, RolloutCommand, Rollouts, RolloutsV3};
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of past revisions kept per team.
pub const MAX_REVISIONS: usize = 200;
/// Maximum size of all revision texts kept per team, in bytes. Bounded so that the state fits the
/// memory of a small instance.
pub const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Maximum number of audit entries kept, over all teams.
pub const MAX_AUDIT_ENTRIES: usize = 10_000;
/// Maximum number of answers cached for retries of changes.
pub const MAX_CACHED_ANSWERS: usize = 10_000;
/// Maximum number of refused document versions kept per team.
const MAX_REFUSED_NUMBERS: usize = 64;

/// A document supplied by an operator's own system, from which a change was translated.
///
/// Document versions replace revisions: a team configured by documents is changed only if the base
/// that the operator names is its current document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Document version, assigned by the operator; must be greater than the current one.
    pub number: u64,
    /// Version of the document it is based on; 0 for none.
    pub base_number: u64,
    /// The document as received.
    pub bytes: Arc<Vec<u8>>,
}

/// An operator's change to the configuration of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Team whose configuration is replaced.
    pub team: TeamName,
    /// Identifier that stays the same across retries.
    pub change_id: ChangeId,
    /// Revision the change is based on; 0 for a team without configuration.
    pub base_revision: Revision,
    /// The complete new configuration of the team, as INI text.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Time of submission.
    pub at_ms: UnixMs,
    /// Revision that a rollback restores.
    pub rollback_of: Option<Revision>,
    /// Document the text was translated from. If present, `base_revision` is ignored.
    pub document: Option<Document>,
}

/// Answer to a change. All answers but [`ChangeAnswer::BaseMissing`] are final: a retry of the same
/// change gets the same one, at any later point of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is stored in the log of a quorum of replicas.
    Accepted {
        /// Version of the whole configuration that contains the change.
        version: ConfigVersion,
        /// New revision of the team.
        revision: Revision,
    },
    /// The change is not based on the team's current revision or document, usually because another
    /// change of the same team was accepted first.
    Conflict {
        /// Current revision of the team.
        current_revision: Revision,
    },
    /// The resulting configuration of all teams would be invalid.
    Invalid {
        /// All problems found.
        problems: Vec<ConfigProblem>,
    },
    /// The change id already belongs to another change.
    ChangeIdReused,
    /// The document is based on a version above the current one, which may still be on its way. The
    /// change has no effect and is not decided; a retry is decided again.
    BaseMissing,
}

/// One accepted revision of a team's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Revision of the team.
    pub revision: Revision,
    /// Version of the whole configuration that it produced.
    pub version: ConfigVersion,
    /// Change that created it.
    pub change_id: ChangeId,
    /// Author of the change.
    pub author: String,
    /// Time of submission.
    pub at_ms: UnixMs,
    /// Revision that it restores, if it is a rollback.
    pub rollback_of: Option<Revision>,
    /// The complete configuration, as INI text.
    pub text: String,
}

/// One entry of the audit trail, which lists every decided change, accepted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Sequence number of the entry, without gaps.
    pub number: u64,
    /// Team of the change.
    pub team: TeamName,
    /// Identifier of the change.
    pub change_id: ChangeId,
    /// Author of the change.
    pub author: String,
    /// Time of submission.
    pub at_ms: UnixMs,
    /// Revision the change was based on.
    pub base_revision: Revision,
    /// Answer that was given.
    pub answer: ChangeAnswer,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct TeamState {
    /// Oldest first; never empty once the team exists.
    history: VecDeque<RevisionRecord>,
    /// Document of the current revision, if it was translated from one.
    document: Option<Document>,
    /// Highest document version accepted so far.
    number: u64,
}

impl TeamState {
    fn revision(&self) -> Revision {
        self.history.back().map_or(0, |r| r.revision)
    }

    /// Drops the oldest revisions until the texts fit [`MAX_HISTORY_BYTES`]; always keeps the
    /// newest.
    fn drop_oldest_revisions(&mut self) {
        let mut bytes: usize = self.history.iter().map(|r| r.text.len()).sum();
        while bytes > MAX_HISTORY_BYTES && self.history.len() > 1 {
            bytes -= self.history.pop_front().map_or(0, |r| r.text.len());
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CachedAnswer {
    fingerprint: u64,
    answer: ChangeAnswer,
}

/// Replicated state machine of the configuration. Its state depends only on the changes and their
/// order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registry {
    /// Incremented by each accepted change.
    version: ConfigVersion,
    teams: BTreeMap<TeamName, TeamState>,
    /// Parsed configuration of each team's current revision.
    parsed: BTreeMap<TeamName, TeamConfig>,
    answers: BTreeMap<ChangeId, CachedAnswer>,
    /// Keys of `answers`, oldest first.
    answer_order: VecDeque<ChangeId>,
    audit: VecDeque<AuditEntry>,
    audit_count: u64,
    rollouts: Rollouts,
    /// Versions of refused documents, all of them above the team's current one.
    refused_numbers: BTreeMap<TeamName, BTreeSet<u64>>,
}

/// A [`Registry`] in the layout that releases before workspaces stored.
pub type RegistryV1 = EarlierRegistry<TeamConfigV1, ()>;
/// A [`Registry`] in the layout that releases before rollouts stored.
pub type RegistryV2 = EarlierRegistry<TeamConfig, ()>;
/// A [`Registry`] in the layout that releases before refused documents and copies of orders stored.
pub type RegistryV3 = EarlierRegistry<TeamConfig, RolloutsV3>;

/// A [`Registry`] in the layout of earlier releases; `C` is the configuration of a team, `R` the
/// rollouts, if there were any.
#[derive(Deserialize)]
pub struct EarlierRegistry<C, R> {
    version: ConfigVersion,
    teams: BTreeMap<TeamName, TeamState>,
    parsed: BTreeMap<TeamName, C>,
    answers: BTreeMap<ChangeId, CachedAnswer>,
    answer_order: VecDeque<ChangeId>,
    audit: VecDeque<AuditEntry>,
    audit_count: u64,
    rollouts: R,
}

impl<C: Into<TeamConfig>, R: Into<Rollouts>> From<EarlierRegistry<C, R>> for Registry {
    fn from(stored: EarlierRegistry<C, R>) -> Self {
        let parsed = stored.parsed.into_iter();
        Registry {
            version: stored.version,
            teams: stored.teams,
            parsed: parsed.map(|(team, config)| (team, config.into())).collect(),
            answers: stored.answers,
            answer_order: stored.answer_order,
            audit: stored.audit,
            audit_count: stored.audit_count,
            rollouts: stored.rollouts.into(),
            refused_numbers: BTreeMap::new(),
        }
    }
}

impl Registry {
    /// Version of the whole configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The current configuration, in the form in which it is distributed.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::from_teams(self.version, &self.parsed).with_rollouts(self.rollouts.latest())
    }

    /// Rollouts of all services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Applies a command of a rollout; commands and changes must be applied in log order.
    pub fn apply_rollout(&mut self, command: &RolloutCommand) -> RolloutAnswer {
        let mut configs = self.parsed.values();
        let is_known = configs.any(|config| config.services.contains_key(&command.service));
        let version = self.version + 1;
        let answer = self.rollouts.apply(command, version, is_known);
        if answer == (RolloutAnswer::Accepted { version }) {
            self.version = version;
        }
        answer
    }

    /// Current revision of a team; 0 if it has no configuration.
    pub fn revision(&self, team: &str) -> Revision {
        self.teams.get(team).map_or(0, TeamState::revision)
    }

    /// The given revision of a team, or its current one if `revision` is `None`.
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

    /// The document that a team's current revision was translated from, if any.
    pub fn document(&self, team: &str) -> Option<&Document> {
        self.teams.get(team)?.document.as_ref()
    }

    /// The retained revisions of a team, oldest first.
    pub fn history(&self, team: &str) -> impl Iterator<Item = &RevisionRecord> {
        self.teams.get(team).into_iter().flat_map(|t| &t.history)
    }

    /// The audit entries of one team, or of all teams, oldest first.
    pub fn audit<'a>(&'a self, team: Option<&'a str>) -> impl Iterator<Item = &'a AuditEntry> {
        self.audit
            .iter()
            .filter(move |entry| team.is_none_or(|team| entry.team == team))
    }

    /// Validates a team's new text together with the configuration of all other teams, without
    /// applying it.
    ///
    /// # Errors
    ///
    /// Returns the problems of the text, or those of the resulting configuration of all teams.
    pub fn check(&self, team: &str, text: &str) -> Result<TeamConfig, Vec<ConfigProblem>> {
        if !is_valid_name(team) {
            return Err(vec![ConfigProblem {
                section: String::new(),
                key: String::new(),
                kind: ConfigProblemKind::BadName,
            }]);
        }
        let current_text = self.revision_record(team, None).map(|r| r.text.as_str());
        let base = current_text.zip(self.parsed.get(team));
        let config = parse_team_from(team, text, base)?.config;
        check_fleet(team, &config, &self.parsed)?;
        Ok(config)
    }

    /// The cached answer of a change that is retried, or [`ChangeAnswer::ChangeIdReused`] if its id
    /// belongs to another change.
    pub fn cached_answer(&self, change: &Change) -> Option<ChangeAnswer> {
        let cached_answer = self.answers.get(&change.change_id)?;
        Some(if cached_answer.fingerprint == fingerprint(change) {
            cached_answer.answer.clone()
        } else {
            ChangeAnswer::ChangeIdReused
        })
    }

    /// Whether the base of a change is a document that may still come, so that
    /// [`Registry::apply`] would not decide the change.
    pub fn is_base_missing(&self, change: &Change) -> bool {
        self.base_state(change) == BaseState::Missing
    }

    /// Whether the base of a change is above the current document and a document of that version
    /// was refused. [`Registry::apply`] refuses such a change for good, although another document
    /// of the same version may come.
    pub fn is_base_refused(&self, change: &Change) -> bool {
        self.base_state(change) == BaseState::Refused
    }

    /// Applies one change; changes must be applied in log order.
    ///
    /// Every answer but [`ChangeAnswer::BaseMissing`] is cached: a copy of the change that was
    /// delayed on its way gets it as well.
    pub fn apply(&mut self, change: &Change) -> ChangeAnswer {
        if let Some(answer) = self.cached_answer(change) {
            return answer;
        }
        let answer = self.decide(change);
        if answer != ChangeAnswer::BaseMissing {
            self.cache_answer(change, &answer);
            self.note_refused_number(change, &answer);
        }
        answer
    }

    fn decide(&mut self, change: &Change) -> ChangeAnswer {
        match self.base_state(change) {
            BaseState::Current => {}
            BaseState::NotBelow { base } => {
                return ChangeAnswer::Invalid {
                    problems: vec![ConfigProblem {
                        section: String::new(),
                        key: String::new(),
                        kind: ConfigProblemKind::NumberNotAbove { current: base },
                    }],
                };
            }
            BaseState::Missing => return ChangeAnswer::BaseMissing,
            BaseState::Past | BaseState::Refused => {
                return ChangeAnswer::Conflict {
                    current_revision: self.revision(&change.team),
                };
            }
        }
        match self.check(&change.team, &change.text) {
            Err(problems) => ChangeAnswer::Invalid { problems },
            Ok(config) => self.accept(change, config),
        }
    }

    fn base_state(&self, change: &Change) -> BaseState {
        let Some(document) = &change.document else {
            return match change.base_revision == self.revision(&change.team) {
                true => BaseState::Current,
                false => BaseState::Past,
            };
        };
        let base = document.base_number;
        if document.number <= base {
            return BaseState::NotBelow { base };
        }
        match base.cmp(&self.document_version(&change.team)) {
            Ordering::Equal => BaseState::Current,
            Ordering::Less => BaseState::Past,
            Ordering::Greater => {
                let refused = self.refused_numbers.get(&change.team);
                match refused.is_some_and(|numbers| numbers.contains(&base)) {
                    true => BaseState::Refused,
                    false => BaseState::Missing,
                }
            }
        }
    }

    fn document_version(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |team| team.number)
    }

    /// Keeps the version of a refused document while another one may be based on it.
    fn note_refused_number(&mut self, change: &Change, answer: &ChangeAnswer) {
        let Some(document) = &change.document else {
            return;
        };
        let current = self.document_version(&change.team);
        let numbers = self.refused_numbers.entry(change.team.clone()).or_default();
        if !matches!(answer, ChangeAnswer::Accepted { .. }) {
            numbers.insert(document.number);
        }
        numbers.retain(|number| *number > current);
        while numbers.len() > MAX_REFUSED_NUMBERS {
            numbers.pop_last();
        }
        if numbers.is_empty() {
            self.refused_numbers.remove(&change.team);
        }
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
        truncate_front(&mut team.history, MAX_REVISIONS);
        team.drop_oldest_revisions();
        team.number = change.document.as_ref().map_or(team.number, |d| d.number);
        team.document.clone_from(&change.document);
        self.parsed.insert(change.team.clone(), config);
        ChangeAnswer::Accepted {
            version: self.version,
            revision,
        }
    }

    /// Caches the answer for retries of the change and adds it to the audit trail.
    fn cache_answer(&mut self, change: &Change, answer: &ChangeAnswer) {
        let cached_answer = CachedAnswer {
            fingerprint: fingerprint(change),
            answer: answer.clone(),
        };
        self.answers.insert(change.change_id.clone(), cached_answer);
        self.answer_order.push_back(change.change_id.clone());
        while self.answer_order.len() > MAX_CACHED_ANSWERS {
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
        truncate_front(&mut self.audit, MAX_AUDIT_ENTRIES);
    }
}

/// The base of a change, beside the team's current revision or document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BaseState {
    Current,
    /// Not below the version of the document itself.
    NotBelow {
        base: u64,
    },
    /// Never current again.
    Past,
    /// Above the current document, and may still come.
    Missing,
    /// Above the current document, and a document of that version was refused.
    Refused,
}

fn truncate_front<T>(queue: &mut VecDeque<T>, limit: usize) {
    while queue.len() > limit {
        queue.pop_front();
    }
}

/// Hash of the content that identifies a change. Author and time are left out, because a retry may
/// differ in them.
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
