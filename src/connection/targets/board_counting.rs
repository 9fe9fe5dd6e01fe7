//! What other hosts count: customers' use, places at plain targets, and repeats.

use {
    super::{ControlRequest, TargetBoard},
    crate::{
        clock::Instant,
        connection::datagram::{ChargeAsk, ChargeRefund, Loan, LoanAsk, PlaceEnded, PlaceWanted},
        request::{quotas::shard_for, repeats::RepeatBudget},
    },
    std::net::SocketAddr,
};

impl TargetBoard {
    /// Asks the host that counts a part of a customer's use; false if nobody is known to.
    pub fn ask_charge(
        &self,
        ask: ChargeAsk,
    ) -> bool {
        let Some(to) = self.slot_holder(ask.slot as usize) else {
            return false;
        };
        let _ = self.control.send(ControlRequest::Charge { to, ask });
        true
    }

    /// Asks for a place at a target of a plain service; false if nobody is known to give any out.
    pub fn ask_place(
        &self,
        wanted: PlaceWanted,
    ) -> bool {
        let Some(to) = self.place_giver(&wanted.service) else {
            return false;
        };
        let _ = self.control.send(ControlRequest::WantPlace { to, wanted });
        true
    }

    /// Tells the host that gives out places that one is free again.
    pub fn end_place(
        &self,
        ended: PlaceEnded,
    ) {
        if let Some(to) = self.place_giver(&ended.service) {
            let _ = self.control.send(ControlRequest::EndPlace { to, ended });
        }
    }

    /// Tells the host that counts a part of a customer's use that some is not used after all.
    pub fn refund(
        &self,
        refund: ChargeRefund,
    ) {
        if let Some(to) = self.slot_holder(refund.slot as usize) {
            let _ = self.control.send(ControlRequest::Refund { to, refund });
        }
    }

    fn place_giver(
        &self,
        service: &str,
    ) -> Option<SocketAddr> {
        self.slot_holder(shard_for(service, 0))
    }

    /// The host that holds a slot, if one does that answers.
    fn slot_holder(
        &self,
        slot: usize,
    ) -> Option<SocketAddr> {
        let holder = self.view.slot_holders.get(slot);
        holder.copied().flatten()
    }

    /// The budget of repeats of a service.
    pub fn budget(
        &mut self,
        service: &str,
    ) -> &mut RepeatBudget {
        self.budgets.of(service)
    }

    /// Asks other hosts for parts of their allowance of a service, if this host needs some.
    pub fn ask_for_loans(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        for ask in self.budgets.loan_asks(service, now) {
            let _ = self.control.send(ControlRequest::AskLoan(ask));
        }
    }

    /// Does what is due about the budgets of repeats: asks for loans, and tells how they stand.
    pub fn look_at_budgets(
        &mut self,
        now: Instant,
    ) {
        for service in self.budgets.services() {
            self.ask_for_loans(&service, now);
        }
        self.budgets.tell(now);
    }

    /// A loan has come.
    pub fn on_loan(
        &mut self,
        loan: &Loan,
        now: Instant,
    ) {
        self.budgets.on_loan(loan, now);
    }

    /// Another host asks for a loan.
    pub fn on_loan_ask(
        &mut self,
        to: SocketAddr,
        ask: &LoanAsk,
        now: Instant,
    ) {
        // Hosts with another configuration may name services that this one does not know.
        if self.view.routing.service(&ask.service).is_none() {
            return;
        }
        if let Some(loan) = self.budgets.lend(ask, now) {
            let _ = self.control.send(ControlRequest::GiveLoan { to, loan });
        }
    }
}
