use {
    super::{Change, RevisionBody, RevisionContent, SiteConfig},
    crate::{
        connection::platform::{Commit, Condition, ObjectStore, Row, Table, Transaction, Write},
        errors::{ConfigError, PlatformError},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// The table row that names the newest revision.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// Stands for operator and operation in a revision whose body was lost and written again.
const RESTORED: &str = "restored";

/// Every so many revisions the body holds the whole configuration.
const WHOLE_EVERY: u64 = 64;

/// Tries to learn whether a transaction with a lost reply took effect.
const SETTLE_TRIES: usize = 5;

/// The value of the row `config/head`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    pub revision: u64,
    /// Object name of the revision's body.
    pub object: String,
}

impl ConfigHead {
    /// Reads the head out of its table row.
    pub fn from_row(row: &Row) -> Result<Self, ConfigError> {
        serde_json::from_str(&row.value).map_err(|e| ConfigError::Corrupt(e.to_string()))
    }
}

/// Reads and commits configuration revisions through the platform's table and object store.
pub struct ConfigStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
}

impl ConfigStore {
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
    ) -> Self {
        Self { table, objects }
    }

    /// The newest configuration, built from what `known` lacks.
    pub fn read(
        &self,
        known: &SiteConfig,
    ) -> Result<SiteConfig, ConfigError> {
        match self.head()? {
            Some((head, _)) => self.read_to(&head, known),
            None => Ok(known.clone()),
        }
    }

    /// The configuration that `head` names, built from what `known` lacks.
    pub fn read_to(
        &self,
        head: &ConfigHead,
        known: &SiteConfig,
    ) -> Result<SiteConfig, ConfigError> {
        if head.revision <= known.revision {
            return Ok(known.clone());
        }
        let mut pending = Vec::new();
        let mut object = head.object.clone();
        let mut config = loop {
            let body = self.body(&object)?;
            match body.content {
                RevisionContent::Whole(config) => break config,
                RevisionContent::Changes(changes) => pending.push(changes),
            }
            if body.revision == known.revision + 1 {
                break known.clone();
            }
            object = body
                .previous
                .ok_or_else(|| ConfigError::Corrupt(format!("{object} has no predecessor")))?;
        };
        while let Some(changes) = pending.pop() {
            config = config.with(&changes)?;
        }
        Ok(config)
    }

    /// Commits `changes` on top of `seen`; the loser of a race is told the newer revision.
    pub fn commit(
        &self,
        seen: &SiteConfig,
        changes: Vec<Change>,
        operator: &str,
        operation: &str,
    ) -> Result<SiteConfig, ConfigError> {
        let head = self.head()?;
        let found = head.as_ref().map_or(0, |(head, _)| head.revision);
        if found != seen.revision {
            return Err(ConfigError::Conflict {
                seen: seen.revision,
                found,
            });
        }
        let next = seen.with(&changes)?;
        let object = format!("config-{:08}-{operation}", next.revision);
        let body = RevisionBody {
            revision: next.revision,
            previous: head.as_ref().map(|(head, _)| head.object.clone()),
            operation: operation.to_string(),
            operator: operator.to_string(),
            committed_ms: wall_clock_ms(),
            content: match next.revision % WHOLE_EVERY {
                1 => RevisionContent::Whole(next.clone()),
                _ => RevisionContent::Changes(changes),
            },
        };
        self.objects.put(&object, &to_json(&body))?;
        let new_head = ConfigHead {
            revision: next.revision,
            object,
        };
        self.commit_head(&new_head, head.map_or(0, |(_, row)| row.version))?;
        Ok(next)
    }

    /// Writes the head of a known configuration again, as the platform has come back from an older copy without it.
    ///
    /// Does nothing if the table names this revision or a newer one by now.
    pub fn restore(
        &self,
        head: &ConfigHead,
        config: &SiteConfig,
    ) -> Result<(), ConfigError> {
        let found = self.head()?;
        if found
            .as_ref()
            .is_some_and(|(found, _)| found.revision >= head.revision)
        {
            return Ok(());
        }
        if self.objects.get(&head.object)?.is_none() {
            let body = RevisionBody {
                revision: config.revision,
                previous: None,
                operation: RESTORED.to_string(),
                operator: RESTORED.to_string(),
                committed_ms: wall_clock_ms(),
                content: RevisionContent::Whole(config.clone()),
            };
            self.objects.put(&head.object, &to_json(&body))?;
        }
        self.commit_head(head, found.map_or(0, |(_, row)| row.version))
    }

    fn commit_head(
        &self,
        head: &ConfigHead,
        seen_version: u64,
    ) -> Result<(), ConfigError> {
        let transaction = Transaction {
            conditions: vec![Condition::new(CONFIG_HEAD_KEY, seen_version)],
            writes: vec![Write::put(CONFIG_HEAD_KEY, to_json(head))],
        };
        match self.table.transact(&transaction) {
            Ok(Commit::Done { .. }) => Ok(()),
            Ok(Commit::Conflict { .. }) => self.conflict_or_own(head),
            Err(error) if error.may_have_committed() => self.settle(head, error),
            Err(error) => Err(error.into()),
        }
    }

    /// After a lost reply: the object's name holds the operation id, so the head tells.
    fn settle(
        &self,
        head: &ConfigHead,
        lost: PlatformError,
    ) -> Result<(), ConfigError> {
        for _ in 0..SETTLE_TRIES {
            if let Ok(found) = self.head() {
                let ours = found.is_some_and(|(found, _)| found == *head);
                return match ours {
                    true => Ok(()),
                    false => self.conflict_or_own(head),
                };
            }
        }
        Err(ConfigError::Undecided(lost.to_string()))
    }

    /// Walks back from the newest revision to see whether ours is among them.
    fn conflict_or_own(
        &self,
        ours: &ConfigHead,
    ) -> Result<(), ConfigError> {
        let (found, _) = self
            .head()?
            .ok_or_else(|| ConfigError::Undecided("the head row vanished".into()))?;
        let mut object = Some(found.object);
        while let Some(name) = object {
            if name == ours.object {
                return Ok(());
            }
            let body = self.body(&name)?;
            if body.revision <= ours.revision {
                break;
            }
            object = body.previous;
        }
        Err(ConfigError::Conflict {
            seen: ours.revision - 1,
            found: found.revision,
        })
    }

    fn head(&self) -> Result<Option<(ConfigHead, Row)>, ConfigError> {
        let row = self.table.get(CONFIG_HEAD_KEY)?;
        row.map(|row| Ok((ConfigHead::from_row(&row)?, row)))
            .transpose()
    }

    fn body(
        &self,
        object: &str,
    ) -> Result<RevisionBody, ConfigError> {
        let text = self
            .objects
            .get(object)?
            .ok_or_else(|| ConfigError::Corrupt(format!("object {object} is missing")))?;
        serde_json::from_str(&text).map_err(|e| ConfigError::Corrupt(e.to_string()))
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("configuration types serialize")
}

fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
