use http::HeaderName;

/// Names of the headers of requests and answers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request, made by its caller, and echoed in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller, or whoever passes the request on, will wait.
    pub deadline_ms: HeaderName,
    /// Base model, and after a slash its adapter.
    pub model: HeaderName,
    /// Tokens of the prompt and most tokens of the answer, separated by a comma.
    pub token_counts: HeaderName,
    /// Parts of the prompt in order, `ID:TOKENS` each, separated by commas.
    pub prompt_parts: HeaderName,
    /// The caller's guess of the tokens of the answer.
    pub length_hint: HeaderName,
    /// Rank among the requests that wait at an engine; 0 goes first.
    pub priority: HeaderName,
    /// Id of the one target that may run the request.
    pub expect_target: HeaderName,
    /// Version of the adapter that the request must run with.
    pub expect_version: HeaderName,
    /// Name of the customer on whose behalf a request runs.
    pub customer: HeaderName,
    /// Mark by which a target vouches for its answer; each success bears it.
    pub stamp: HeaderName,
    /// Says that the target did not run the request.
    pub not_run: HeaderName,
    /// Requests a second that the target which answers takes from all hosts together, as a decimal number.
    pub target_limit: HeaderName,
    /// Rejections a second above which the target that answers falls over, as a decimal number.
    pub target_brittle: HeaderName,
    /// Says that the target which answers is leaving.
    pub target_leaving: HeaderName,
    /// Last event of a stream that its receiver has.
    pub last_event_id: HeaderName,
    /// Id of the request that brought the first event of a stream which its caller takes up.
    pub resumes: HeaderName,
    /// Headers by which a request would use memory, places or copies that engines keep for another
    /// one. Only coveproxy may set them: a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// True for headers that coveproxy sets itself, or that no caller may set.
    pub fn is_set_by_hosts(
        &self,
        name: &HeaderName,
    ) -> bool {
        let own = [
            &self.deadline_ms,
            &self.expect_target,
            &self.expect_version,
            &self.priority,
            &self.customer,
            &self.target_limit,
            &self.target_brittle,
            &self.target_leaving,
        ];
        own.contains(&name) || self.reserved.contains(name)
    }

    /// True for headers without which a request would be another one; they go on even if the caller
    /// lists them as headers of its connection.
    pub fn is_of_request(
        &self,
        name: &HeaderName,
    ) -> bool {
        let own = [
            &self.request_id,
            &self.model,
            &self.token_counts,
            &self.prompt_parts,
            &self.length_hint,
            &self.last_event_id,
            &self.resumes,
        ];
        own.contains(&name)
    }
}
