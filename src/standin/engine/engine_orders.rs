//! Orders to the engine.

use {
    super::{
        EngineFaults,
        engine_http::{Shared, refusal},
        engine_standin::{SharedEngine, lock},
        engine_state::HeldAdapter,
    },
    crate::{
        connection::{
            caller::DropConnection,
            target::{AdapterState, EngineOrder, OrderRequest},
        },
        version::AdapterVersion,
    },
    axum::{
        Json,
        body::Body,
        extract::State,
        http::StatusCode,
        response::{IntoResponse, Response},
    },
    http_body_util::BodyExt,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::json,
};

pub async fn order(
    State(state): Shared,
    Json(request): Json<OrderRequest>,
) -> Response {
    if !lock(&state).admits_fence(request.fence) {
        return refusal(StatusCode::CONFLICT, "fenced_off", "old fence");
    }
    let done = match request.order {
        EngineOrder::Raise => Ok(()),
        EngineOrder::LoadAdapter { model } => load(&state, model).await,
        EngineOrder::UnloadAdapter { model } => unload(&state, &model),
        EngineOrder::LoadModel { base_model } => {
            lock(&state).base_model = base_model;
            Ok(())
        }
        EngineOrder::SetRole { role } => {
            lock(&state).role = role;
            Ok(())
        }
    };
    if EngineFaults::take(&mut lock(&state).faults.lose_orders) {
        let mut response = StatusCode::OK.into_response();
        response.extensions_mut().insert(DropConnection);
        return response;
    }
    match done {
        Ok(()) => Json(json!({"done": true})).into_response(),
        Err(refused) => *refused,
    }
}

async fn load(
    state: &SharedEngine,
    model: AdapterVersion,
) -> Result<(), Box<Response>> {
    let (boot, weight_store, fails, hangs) = {
        let mut state = lock(state);
        if state.adapters.contains_key(&model) {
            return Ok(());
        }
        if state.adapters.len() >= state.spec.adapter_slots {
            let full = refusal(StatusCode::CONFLICT, "no_adapter_slot", model.as_str());
            return Err(Box::new(full));
        }
        let held = HeldAdapter {
            state: AdapterState::Loading,
            using: 0,
        };
        state.adapters.insert(model.clone(), held);
        let fails = EngineFaults::take(&mut state.faults.fail_loads);
        let hangs = EngineFaults::take(&mut state.faults.hang_loads);
        (state.boot, state.spec.weight_store, fails, hangs)
    };
    if hangs {
        std::future::pending::<()>().await;
    }
    let fetched = match weight_store {
        Some(address) => fetch(address).await,
        None => true,
    };
    let mut state = lock(state);
    let same_boot = state.boot == boot;
    if !same_boot || !fetched || fails {
        if same_boot {
            state.adapters.remove(&model);
        }
        let failed = refusal(StatusCode::BAD_GATEWAY, "load_failed", model.as_str());
        return Err(Box::new(failed));
    }
    state.record.loads += 1;
    if let Some(held) = state.adapters.get_mut(&model) {
        held.state = AdapterState::Ready;
    }
    Ok(())
}

async fn fetch(address: std::net::SocketAddr) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let request = axum::http::Request::post(format!("http://{address}/weights/fetch"))
        .body(Body::empty())
        .expect("the address makes a valid URI");
    match client.request(request).await {
        Ok(response) => {
            let well = response.status().is_success();
            well && response.into_body().collect().await.is_ok()
        }
        Err(_) => false,
    }
}

fn unload(
    state: &SharedEngine,
    model: &AdapterVersion,
) -> Result<(), Box<Response>> {
    let mut state = lock(state);
    if let Some(held) = state.adapters.remove(model) {
        state.record.unloads += 1;
        if held.using > 0 {
            state.record.unloaded_in_use += 1;
        }
    }
    Ok(())
}
