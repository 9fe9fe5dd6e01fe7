//! Whether a request's customer may use as much as the request costs, over all hosts.

use {
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        connection::{
            datagram::{ChargeAnswer, ChargeAsk, ChargeRefund},
            front::{OwnAnswer, OwnCause},
            targets::{TargetTable, count_charge_request},
        },
        request::{
            direct::CallRequest,
            quotas::{AskedParts, Charge, QuotaStep, slot_for},
        },
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// A host that counts a customer's use answers within this time: a round trip takes some 3 ms, and small hosts are
/// busy for some tens of ms now and then.
const ASK_LIMIT: Duration = Duration::from_millis(100);

/// Part of its aim for which a request waits until its customer may use what it costs: it is still answered in time then,
/// and if it came back, which many callers do once, it would not be.
const WAIT_SHARE: f64 = 0.4;

/// Part of its aim for which a request waits until it is known who counts its customer's use. When all hosts were lost at
/// once, that is known 0.2 to 0.6 s after they have started again, and requests come after 0.06 s.
const UNCOUNTED_WAIT_SHARE: f64 = 0.6;

/// Callers whose customer's use nobody counts come back after this time: most hosts that were lost have a successor
/// or are back by then.
const UNCOUNTED_COME_BACK: Duration = Duration::from_millis(300);

/// Callers that are over their limit are told to come back after this time at the least: several share what comes in.
const LEAST_COME_BACK: Duration = Duration::from_millis(50);

/// What a request was let use; it goes back when dropped before the request may have run.
pub struct Charged {
    board: Rc<RefCell<TargetTable>>,
    /// What it was granted by; none if it was paid for with what had been granted ahead.
    grant: Option<ChargeRefund>,
}

impl Charged {
    /// The request may have run.
    pub fn keep(&mut self) {
        self.grant = None;
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        if let Some(refund) = self.grant.take() {
            self.board.borrow().refund(refund);
        }
    }
}

/// Lets a request use what it costs, or gives the answer to it; `None` if nothing is counted for it.
pub async fn charge(
    board: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> Result<Option<Charged>, OwnAnswer> {
    let Some(credential) = &request.credential else {
        return Ok(None);
    };
    let Some(limit) = &credential.customer.limit else {
        return Ok(None);
    };
    let gate = QuotaGate {
        board,
        customer: &credential.customer.name,
        cost: limit.cost(request.told_tokens),
    };
    gate.note_request();
    let begun = Instant::now();
    let patience = begun + request.route.aim.mul_f64(WAIT_SHARE);
    let counted_by = begun + request.route.aim.mul_f64(UNCOUNTED_WAIT_SHARE);
    loop {
        match gate.charge().await {
            Ok(charged) => return Ok(Some(charged)),
            Err(Uncharged::Over { come_back }) if Instant::now() + come_back <= patience => {
                sleep_until(Instant::now() + come_back).await;
            }
            Err(Uncharged::Uncounted) if Instant::now() < counted_by => {
                let news = board.borrow().freshness_updates();
                let _ = timeout_at(counted_by, news.notified()).await;
            }
            Err(uncharged) => return Err(uncharged.answer()),
        }
    }
}

/// Why a request was not let use what it costs.
#[derive(Debug, Clone, Copy)]
enum Uncharged {
    /// It will be there after this time.
    Over { come_back: Duration },
    /// Nobody answers who counts its customer's use.
    Uncounted,
}

impl Uncharged {
    fn answer(self) -> OwnAnswer {
        match self {
            Self::Over { come_back } => {
                OwnAnswer::after(OwnCause::OverLimit, come_back.max(LEAST_COME_BACK))
            }
            Self::Uncounted => OwnAnswer::after(OwnCause::Uncounted, UNCOUNTED_COME_BACK),
        }
    }
}

/// One request before the hosts that count its customer's use.
struct QuotaGate<'a> {
    board: &'a Rc<RefCell<TargetTable>>,
    customer: &'a str,
    cost: f64,
}

impl QuotaGate<'_> {
    fn note_request(&self) {
        let mut board = self.board.borrow_mut();
        let known = board.quotas.of(self.customer);
        known.on_request(self.cost, Instant::now());
    }

    async fn charge(&self) -> Result<Charged, Uncharged> {
        let mut asked = AskedParts::default();
        loop {
            match self.next_step(&asked) {
                QuotaStep::Ask { part, charge } => {
                    asked[part] = true;
                    if let Some(charged) = self.ask(part, charge).await {
                        return Ok(charged);
                    }
                }
                QuotaStep::Paid => return Ok(self.charged(None)),
                QuotaStep::Over { come_back } => return Err(Uncharged::Over { come_back }),
                QuotaStep::Uncounted => return Err(Uncharged::Uncounted),
            }
        }
    }

    fn next_step(
        &self,
        asked: &AskedParts,
    ) -> QuotaStep {
        let mut board = self.board.borrow_mut();
        let known = board.quotas.of(self.customer);
        known.next_step(self.cost, asked, Instant::now())
    }

    /// Asks one host; gives what it granted.
    async fn ask(
        &self,
        part: usize,
        charge: Charge,
    ) -> Option<Charged> {
        let asked_at = Instant::now();
        let answer = self.answer_of(part, charge, asked_at + ASK_LIMIT).await;
        let granted = self.note_answer(part, &charge, answer, asked_at);
        granted.then(|| {
            self.charged(Some(ChargeRefund {
                slot: slot_for(self.customer, part) as u32,
                customer: self.customer.to_string(),
                id: charge.id,
                amount: self.cost.floor() as u32,
            }))
        })
    }

    async fn answer_of(
        &self,
        part: usize,
        charge: Charge,
        until: Instant,
    ) -> Option<ChargeAnswer> {
        let asked = ChargeAsk {
            slot: slot_for(self.customer, part) as u32,
            customer: self.customer.to_string(),
            id: charge.id,
            need: charge.need.ceil() as u32,
            ahead: charge.ahead.floor() as u32,
        };
        let mut ask = {
            let board = self.board.borrow();
            if !board.request_charge(asked) {
                count_charge_request("nobody");
                return None;
            }
            count_charge_request("asked");
            board.quotas.pending_charges.register(charge.id)
        };
        timeout_at(until, ask.answer()).await.ok().flatten()
    }

    /// Takes an answer in; true if the request was granted what it costs.
    fn note_answer(
        &self,
        part: usize,
        charge: &Charge,
        answer: Option<ChargeAnswer>,
        asked_at: Instant,
    ) -> bool {
        let now = Instant::now();
        let mut board = self.board.borrow_mut();
        let known = board.quotas.of(self.customer);
        let Some(answer) = answer.filter(|answer| !answer.not_counted) else {
            known.on_silent(part, now);
            return false;
        };
        if answer.granted == 0 && charge.need > 0.0 {
            let come_back = Duration::from_millis(u64::from(answer.come_back_ms));
            known.on_over(part, charge.need, come_back, now);
            return false;
        }
        known.on_answer(part);
        known.on_ahead(f64::from(answer.granted) - charge.need.ceil(), asked_at);
        true
    }

    fn charged(
        &self,
        grant: Option<ChargeRefund>,
    ) -> Charged {
        Charged {
            board: self.board.clone(),
            grant,
        }
    }
}
