use {crate::version::AdapterVersion, serde_json::json, std::time::Duration};

/// A request that a caller makes.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The service's key.
    pub service_key: String,
    pub kind: Option<String>,
    pub outfitter: Option<String>,
    pub deadline: Option<Duration>,
    /// Idempotency key and attempt number; 0 leaves the number out.
    pub key: Option<(String, u32)>,
    pub what: CallKind,
}

/// What a request is for.
#[derive(Debug, Clone)]
pub enum CallKind {
    /// A completion by an adapter version.
    Completion {
        model: AdapterVersion,
        prompt: String,
        max_tokens: u64,
        stream: bool,
    },
    /// A call to a plain service.
    Plain {
        service: String,
        path: String,
        body: String,
    },
}

impl CallSpec {
    /// A completion with everything else left to the configuration.
    pub fn completion(
        service_key: &str,
        model: AdapterVersion,
        max_tokens: u64,
        stream: bool,
    ) -> Self {
        let what = CallKind::Completion {
            model,
            prompt: "Summarise the log".to_string(),
            max_tokens,
            stream,
        };
        Self::new(service_key, what)
    }

    /// A call to a plain service.
    pub fn plain(
        service_key: &str,
        service: &str,
        path: &str,
    ) -> Self {
        let what = CallKind::Plain {
            service: service.to_string(),
            path: path.to_string(),
            body: "{}".to_string(),
        };
        Self::new(service_key, what)
    }

    fn new(
        service_key: &str,
        what: CallKind,
    ) -> Self {
        Self {
            service_key: service_key.to_string(),
            kind: None,
            outfitter: None,
            deadline: None,
            key: None,
            what,
        }
    }

    /// The path that the request is sent to.
    pub fn path(&self) -> String {
        match &self.what {
            CallKind::Completion { .. } => "/v1/completions".to_string(),
            CallKind::Plain { service, path, .. } => format!("/v1/services/{service}/{path}"),
        }
    }

    /// The body that is sent.
    pub fn body(&self) -> String {
        match &self.what {
            CallKind::Completion {
                model,
                prompt,
                max_tokens,
                stream,
            } => json!({
                "model": model.as_str(),
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": stream,
            })
            .to_string(),
            CallKind::Plain { body, .. } => body.clone(),
        }
    }

    /// The adapter version asked for.
    pub fn model(&self) -> Option<&AdapterVersion> {
        match &self.what {
            CallKind::Completion { model, .. } => Some(model),
            CallKind::Plain { .. } => None,
        }
    }

    /// True when the answer is asked for as a stream.
    pub fn streams(&self) -> bool {
        matches!(&self.what, CallKind::Completion { stream: true, .. })
    }
}
