//! Requests to the hosts that count customers' usage, concurrency slots of plain targets, and repeat budgets.

use {
    super::{ControlRequest, TargetTable},
    crate::{
        clock::Instant,
        connection::datagram::{ChargeAsk, ChargeRefund, Loan, LoanAsk, PlaceEnded, PlaceWanted},
        request::{quotas::shard_for, repeats::RepeatBudget},
    },
    std::net::SocketAddr,
};

impl TargetTable {
    /// Requests a charge from the host that counts a part of a customer's usage; returns false if no such host is
    /// known.
    pub fn request_charge(
        &self,
        request: ChargeAsk,
    ) -> bool {
        let Some(to) = self.hash_slot_holder(request.slot as usize) else {
            return false;
        };
        let _ = self
            .control
            .send(ControlRequest::RequestCharge { to, request });
        true
    }

    /// Requests a concurrency slot at a target of a plain service; returns false if no allocating host is known.
    pub fn request_slot(
        &self,
        request: PlaceWanted,
    ) -> bool {
        let Some(to) = self.slot_allocator(&request.service) else {
            return false;
        };
        let _ = self
            .control
            .send(ControlRequest::RequestSlot { to, request });
        true
    }

    /// Returns a concurrency slot to the host that allocated it.
    pub fn release_slot(
        &self,
        release: PlaceEnded,
    ) {
        if let Some(to) = self.slot_allocator(&release.service) {
            let _ = self
                .control
                .send(ControlRequest::ReleaseSlot { to, release });
        }
    }

    /// Returns an unused part of a charge to the host that counts it.
    pub fn refund(
        &self,
        refund: ChargeRefund,
    ) {
        if let Some(to) = self.hash_slot_holder(refund.slot as usize) {
            let _ = self
                .control
                .send(ControlRequest::RefundCharge { to, refund });
        }
    }

    fn slot_allocator(
        &self,
        service: &str,
    ) -> Option<SocketAddr> {
        self.hash_slot_holder(shard_for(service, 0))
    }

    /// Returns the host that holds a hash slot, if one does and is reachable.
    fn hash_slot_holder(
        &self,
        slot: usize,
    ) -> Option<SocketAddr> {
        let holder = self.view.hash_slot_holders.get(slot);
        holder.copied().flatten()
    }

    /// Returns the repeat budget of a service.
    pub fn budget(
        &mut self,
        service: &str,
    ) -> &mut RepeatBudget {
        self.budgets.of(service)
    }

    /// Requests loans of repeat budget from other hosts if this host's budget for a service runs low.
    pub fn request_loans(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        for request in self.budgets.loan_requests(service, now) {
            let _ = self.control.send(ControlRequest::RequestLoan(request));
        }
    }

    /// Requests the loans that repeat budgets need, and reports the state of the budgets when that is due.
    pub fn maintain_budgets(
        &mut self,
        now: Instant,
    ) {
        for service in self.budgets.services() {
            self.request_loans(&service, now);
        }
        self.budgets.report(now);
    }

    /// Handles another host's loan of repeat budget.
    pub fn on_loan(
        &mut self,
        loan: &Loan,
        now: Instant,
    ) {
        self.budgets.on_loan(loan, now);
    }

    /// Handles another host's request for a loan of repeat budget.
    pub fn on_loan_request(
        &mut self,
        to: SocketAddr,
        request: &LoanAsk,
        now: Instant,
    ) {
        // Hosts with another configuration may send services that are unknown here.
        if self.view.routing.service(&request.service).is_none() {
            return;
        }
        if let Some(loan) = self.budgets.lend(request, now) {
            let _ = self.control.send(ControlRequest::GrantLoan { to, loan });
        }
    }
}
