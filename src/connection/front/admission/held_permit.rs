use {
    crate::{
        connection::{
            datagram::{PermitReport, PermitStage},
            targets::TargetTable,
        },
        formats::TargetStart,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::task::spawn_local,
};

/// A target that has not rejected a request by then has accepted it: rejections come at once.
const ACCEPTED_AFTER: Duration = Duration::from_millis(100);

/// A permit for one request to a brittle target, until the request has ended.
pub struct HeldPermit {
    table: Rc<RefCell<TargetTable>>,
    target: Arc<str>,
    start: Option<TargetStart>,
    id: u64,
    /// The request was rejected, or has ended.
    is_over: Rc<Cell<bool>>,
}

impl HeldPermit {
    pub fn new(
        table: &Rc<RefCell<TargetTable>>,
        target: &Arc<str>,
        id: u64,
    ) -> Self {
        let start = table.borrow().incarnation(target);
        Self {
            table: table.clone(),
            target: target.clone(),
            start,
            id,
            is_over: Rc::default(),
        }
    }

    /// The request is sent now.
    pub fn on_sent(&self) {
        let is_over = self.is_over.clone();
        let (table, report) = (self.table.clone(), self.report(PermitStage::Accepted));
        spawn_local(async move {
            tokio::time::sleep(ACCEPTED_AFTER).await;
            if !is_over.get() {
                table.borrow().report_permit(report);
            }
        });
    }

    /// The target has rejected the request.
    pub fn on_rejected(&self) {
        self.end(PermitStage::Rejected);
    }

    fn end(
        &self,
        stage: PermitStage,
    ) {
        if !self.is_over.replace(true) {
            self.table.borrow().report_permit(self.report(stage));
        }
    }

    fn report(
        &self,
        stage: PermitStage,
    ) -> PermitReport {
        PermitReport {
            id: self.id,
            target: self.target.to_string(),
            start_ms: self.start.map(TargetStart::unix_ms),
            stage: stage.into(),
        }
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        self.end(PermitStage::Ended);
    }
}
