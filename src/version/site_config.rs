use {
    super::{
        AdapterVersion, Change, KeyHash, KindSpec, OutfitterSpec, ServiceSpec, TargetRole,
        TargetSpec,
    },
    crate::errors::ConfigError,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The declared configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Grows by one with each accepted transaction; 0 is the empty configuration.
    pub revision: u64,
    /// Base model of each adapter version.
    pub adapters: BTreeMap<AdapterVersion, Arc<str>>,
    pub services: BTreeMap<String, ServiceSpec>,
    pub kinds: BTreeMap<String, KindSpec>,
    pub outfitters: BTreeMap<String, OutfitterSpec>,
    pub targets: BTreeMap<String, TargetSpec>,
}

impl SiteConfig {
    /// The configuration after `changes`, with the next revision; refused as a whole.
    pub fn with(
        &self,
        changes: &[Change],
    ) -> Result<SiteConfig, ConfigError> {
        let mut next = self.clone();
        for change in changes {
            next.apply(change)?;
        }
        next.check()?;
        next.revision += 1;
        Ok(next)
    }

    /// Base model of a declared adapter version.
    pub fn base_model(
        &self,
        version: &AdapterVersion,
    ) -> Option<&str> {
        self.adapters.get(version).map(|base| base.as_ref())
    }

    /// The service that a key belongs to; every service is compared.
    pub fn service_of_key(
        &self,
        shown: &KeyHash,
    ) -> Option<&str> {
        self.services
            .iter()
            .fold(None, |found, (name, spec)| match spec.admits(shown) {
                true => Some(name.as_str()),
                false => found,
            })
    }

    /// Worth of an outfitter; 1.0 when none is named or known.
    pub fn worth(
        &self,
        outfitter: Option<&str>,
    ) -> f64 {
        outfitter
            .and_then(|name| self.outfitters.get(name))
            .map_or(1.0, |spec| spec.worth)
    }

    fn apply(
        &mut self,
        change: &Change,
    ) -> Result<(), ConfigError> {
        match change {
            Change::DeclareAdapters {
                base_model,
                versions,
            } => self.declare(base_model, versions),
            Change::RetireAdapter { version } => {
                let gone = self.adapters.remove(version);
                require(gone, "adapter", version.as_str())?;
            }
            Change::SetKind { name, spec } => {
                self.kinds.insert(name.clone(), spec.clone());
            }
            Change::SetService { name, spec } => {
                self.services.insert(name.clone(), spec.clone());
            }
            Change::RemoveService { name } => {
                require(self.services.remove(name), "service", name)?;
            }
            Change::SetTarget { name, spec } => {
                self.targets.insert(name.clone(), spec.clone());
            }
            Change::RemoveTarget { name } => {
                require(self.targets.remove(name), "target", name)?;
            }
            Change::SetOutfitter { name, spec } => {
                self.outfitters.insert(name.clone(), spec.clone());
            }
            Change::SetLeaving { target, leaving } => {
                let spec = require(self.targets.get_mut(target), "target", target)?;
                spec.leaving = *leaving;
            }
        }
        Ok(())
    }

    fn declare(
        &mut self,
        base_model: &str,
        versions: &[AdapterVersion],
    ) {
        let base: Arc<str> = base_model.into();
        for version in versions {
            self.adapters.insert(version.clone(), base.clone());
        }
    }

    fn check(&self) -> Result<(), ConfigError> {
        for (name, kind) in &self.kinds {
            if kind.priority > KindSpec::MAX_PRIORITY {
                return Err(ConfigError::PriorityOutOfRange(name.clone()));
            }
        }
        for (name, service) in &self.services {
            self.check_service(name, service)?;
        }
        for (name, target) in &self.targets {
            self.check_target(name, target)?;
        }
        for (name, outfitter) in &self.outfitters {
            if !(outfitter.worth.is_finite() && outfitter.worth > 0.0) {
                return Err(ConfigError::BadWorth(name.clone()));
            }
        }
        Ok(())
    }

    fn check_service(
        &self,
        name: &str,
        service: &ServiceSpec,
    ) -> Result<(), ConfigError> {
        if service.kinds.is_empty() {
            return Err(ConfigError::NoKind(name.to_string()));
        }
        for kind in &service.kinds {
            require(self.kinds.get(kind), "kind", kind)?;
        }
        if let Some(outfitter) = &service.outfitter {
            require(self.outfitters.get(outfitter), "outfitter", outfitter)?;
        }
        Ok(())
    }

    fn check_target(
        &self,
        name: &str,
        target: &TargetSpec,
    ) -> Result<(), ConfigError> {
        if target.max_running() == 0 {
            return Err(ConfigError::NoRoom(name.to_string()));
        }
        if let TargetRole::Plain { service, .. } = &target.role {
            require(self.services.get(service), "service", service)?;
        }
        Ok(())
    }
}

fn require<T>(
    found: Option<T>,
    what: &'static str,
    name: &str,
) -> Result<T, ConfigError> {
    found.ok_or_else(|| ConfigError::Unknown {
        what,
        name: name.to_string(),
    })
}
