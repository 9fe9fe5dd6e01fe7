//! One request at the engine: accepted, batched, generated.

use {
    super::{
        EngineFaults,
        engine_http::refusal,
        engine_standin::{SharedEngine, lock},
        engine_stream::EngineStream,
        prefix_cache::PrefixCache,
    },
    crate::{
        clock::{Instant, sleep_until},
        connection::header_text,
        connection::target::{FENCE_HEADER, KEY_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER},
        version::AdapterVersion,
    },
    axum::{
        http::{HeaderMap, StatusCode},
        response::Response,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long a finished stream can still be resumed.
const KEPT_AFTER_END: Duration = Duration::from_secs(10);

const DEFAULT_TOKENS: u64 = 16;

/// Another adapter's name, for answers that are wrong on purpose.
const FOREIGN_MODEL: &str = "foreign@0";

/// The parts of a completion request that the stand-in heeds.
#[derive(Debug, Deserialize)]
pub struct CompletionBody {
    pub model: AdapterVersion,
    #[serde(default)]
    pub prompt: Option<String>,
    #[serde(default)]
    pub messages: Option<Value>,
    #[serde(default)]
    pub max_tokens: Option<u64>,
    #[serde(default)]
    pub stream: bool,
    /// Tokens of the answer that the caller already has.
    #[serde(default)]
    pub continue_from: u64,
}

/// One request as the engine runs it.
pub struct Job {
    pub id: String,
    pub shown_id: String,
    pub shown_model: String,
    pub model: AdapterVersion,
    pub chat: bool,
    pub first: u64,
    pub tokens: u64,
    pub prefill: Duration,
    pub priority: u32,
    pub execution: usize,
    pub boot: u64,
    pub token_time: Duration,
    pub abandoned_after: Duration,
    pub faults: EngineFaults,
}

/// Admits a request: from here on it counts as run.
pub fn accept(
    state: &SharedEngine,
    headers: &HeaderMap,
    body: CompletionBody,
    chat: bool,
) -> Result<(Job, Arc<EngineStream>), Box<Response>> {
    let mut state = lock(state);
    if let Ok(fence) = header_text(headers, FENCE_HEADER).parse::<u64>()
        && state.spec.checks_fences
        && fence < state.fence
    {
        state.record.fenced_off += 1;
        return Err(Box::new(refusal(
            StatusCode::CONFLICT,
            "fenced_off",
            "old fence",
        )));
    }
    if EngineFaults::take(&mut state.faults.refuse) {
        return Err(Box::new(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "refused",
        )));
    }
    if !state.start_using(&body.model) {
        let code = "adapter_not_loaded";
        return Err(Box::new(refusal(
            StatusCode::CONFLICT,
            code,
            body.model.as_str(),
        )));
    }
    let id = header_text(headers, REQUEST_ID_HEADER).to_string();
    let key = header_text(headers, KEY_HEADER);
    let prompt = match (body.prompt, body.messages) {
        (Some(prompt), _) => prompt,
        (None, Some(messages)) => messages.to_string(),
        (None, None) => String::new(),
    };
    let prefix = PrefixCache::key(body.model.as_str(), &prompt);
    let prefill = match state.cache.touch(prefix) {
        true => Duration::ZERO,
        false => state.spec.prefill_time,
    };
    let faults = take_answer_faults(&mut state.faults);
    let stream = Arc::new(EngineStream::new(body.continue_from));
    state.streams.insert(id.clone(), stream.clone());
    let job = Job {
        execution: state.note_execution(&id, key, &body.model),
        boot: state.boot,
        shown_id: match faults.foreign_id {
            0 => id.clone(),
            _ => format!("other-{id}"),
        },
        shown_model: match faults.foreign_adapter {
            0 => body.model.to_string(),
            _ => FOREIGN_MODEL.to_string(),
        },
        id,
        model: body.model,
        chat,
        first: body.continue_from,
        tokens: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
        prefill,
        priority: header_text(headers, PRIORITY_HEADER).parse().unwrap_or(0),
        token_time: state.spec.token_time,
        abandoned_after: state.spec.abandoned_after,
        faults,
    };
    Ok((job, stream))
}

/// Takes the faults that one answer shows: 1 where it shows it, else 0.
fn take_answer_faults(faults: &mut EngineFaults) -> EngineFaults {
    let mut taken = EngineFaults::default();
    let counts = [
        (&mut faults.foreign_adapter, &mut taken.foreign_adapter),
        (&mut faults.foreign_id, &mut taken.foreign_id),
        (&mut faults.doubled_event, &mut taken.doubled_event),
        (&mut faults.skipped_event, &mut taken.skipped_event),
        (&mut faults.swapped_events, &mut taken.swapped_events),
        (&mut faults.cut_short, &mut taken.cut_short),
        (&mut faults.lose_answers, &mut taken.lose_answers),
    ];
    for (left, shown) in counts {
        *shown = EngineFaults::take(left) as u32;
    }
    taken
}

pub async fn run(
    state: SharedEngine,
    job: Job,
    stream: Arc<EngineStream>,
) {
    let granted = lock(&state).batch.ask(job.priority);
    let in_batch = granted.await.is_ok();
    if in_batch {
        generate(&state, &job, &stream).await;
        lock(&state).batch.release();
    }
    {
        let mut state = lock(&state);
        state.stop_using(&job.model, job.boot);
        state.record.executions[job.execution].cancelled = stream.is_cancelled();
    }
    sleep(KEPT_AFTER_END).await;
    let mut state = lock(&state);
    let ours = state
        .streams
        .get(&job.id)
        .is_some_and(|kept| Arc::ptr_eq(kept, &stream));
    if ours {
        state.streams.remove(&job.id);
    }
}

async fn generate(
    state: &SharedEngine,
    job: &Job,
    stream: &Arc<EngineStream>,
) {
    sleep(job.prefill).await;
    let start = Instant::now();
    for index in job.first..job.tokens {
        let due = job.token_time.mul_f64((index - job.first + 1) as f64);
        sleep_until(start + due).await;
        if stream.is_abandoned(job.abandoned_after) {
            stream.cancel();
        }
        if stream.is_over() || lock(state).boot != job.boot {
            return;
        }
        stream.push(event(job, index));
        lock(state).record.executions[job.execution].tokens += 1;
    }
    lock(state).record.executions[job.execution].finished = true;
    stream.end();
}

fn event(
    job: &Job,
    index: u64,
) -> String {
    let finish = (index + 1 >= job.tokens).then_some("length");
    let text = format!("t{index} ");
    let choice = match job.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        false => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    let object = match job.chat {
        true => "chat.completion.chunk",
        false => "text_completion",
    };
    json!({
        "id": job.shown_id,
        "object": object,
        "model": job.shown_model,
        "choices": [choice],
    })
    .to_string()
}
