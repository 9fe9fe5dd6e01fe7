use {
    crate::{
        clock::Instant,
        connection::target::TargetClient,
        process::control::{ControlHandle, Input, SharedView},
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Time between looks at which engines are owned.
const STEP: Duration = Duration::from_millis(50);

/// Time between two reports of an engine.
const PERIOD: Duration = Duration::from_millis(250);

/// After a change of owner reports are asked for at each step for so long: the first may be from
/// before the former owner's last load had ended.
const YOUNG: Duration = Duration::from_millis(500);

/// When an engine was asked under one fence: first and last.
#[derive(Clone, Copy)]
struct Asked {
    first: Instant,
    last: Instant,
}

/// Asks each owned engine for reports; a slow one holds up none of the others.
pub async fn report_loop(
    view: SharedView,
    control: ControlHandle,
    client: TargetClient,
    stop: watch::Receiver<bool>,
) {
    let under_way: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut asked: HashMap<(String, u64), Asked> = HashMap::new();
    while !*stop.borrow() {
        let due = due_engines(&view, &mut asked);
        for (target, address) in due {
            let fresh = lock(&under_way).insert(target.clone());
            if !fresh {
                continue;
            }
            let (control, client) = (control.clone(), client.clone());
            let under_way = under_way.clone();
            tokio::spawn(async move {
                ask(&control, &client, &target, address).await;
                lock(&under_way).remove(&target);
            });
        }
        tokio::time::sleep(STEP).await;
    }
}

/// Owned engines whose next report is due; one with a new fence is due at once.
fn due_engines(
    view: &SharedView,
    asked: &mut HashMap<(String, u64), Asked>,
) -> Vec<(String, SocketAddr)> {
    let view = view.load();
    let mut due = Vec::new();
    let mut owned = HashSet::new();
    for (target, owner) in &view.owners {
        let Some(spec) = view.config.targets.get(target) else {
            continue;
        };
        if owner.host != view.me || spec.engine().is_none() {
            continue;
        }
        let name = (target.clone(), owner.fence);
        owned.insert(name.clone());
        let now = Instant::now();
        let times = asked.entry(name).or_insert(Asked {
            first: now,
            last: now - PERIOD,
        });
        let period = match now - times.first < YOUNG {
            true => Duration::ZERO,
            false => PERIOD,
        };
        if now - times.last >= period {
            times.last = now;
            due.push((target.clone(), spec.address));
        }
    }
    asked.retain(|name, _| owned.contains(name));
    due
}

async fn ask(
    control: &ControlHandle,
    client: &TargetClient,
    target: &str,
    address: SocketAddr,
) {
    let sent = Instant::now();
    let report = client.report(address).await;
    // Counted from before the call, so that a report is never taken for younger than it is.
    let age = report.as_ref().map_or(0, |report| report.age_ms);
    let made = sent.checked_sub(Duration::from_millis(age)).unwrap_or(sent);
    control.input(Input::Report {
        target: target.to_string(),
        made,
        report,
    });
}

fn lock(set: &Mutex<HashSet<String>>) -> std::sync::MutexGuard<'_, HashSet<String>> {
    set.lock().expect("no holder panics")
}
