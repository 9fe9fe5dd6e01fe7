//! What the hosts' log lines tell afterwards: the story of one request, and where a day's worth went.

mod adapter_loads;
mod belief_ages;
mod clock_offsets;
mod customer_report;
mod day_report;
mod end_cause;
mod engine_report;
mod least_loads;
mod log_line;
mod request_story;
mod served_line;
mod spread;

pub use {
    adapter_loads::AdapterLoads,
    belief_ages::{BeliefReport, TableAges},
    clock_offsets::ClockOffsets,
    customer_report::{CustomerReport, CustomerRow},
    day_report::{DayReport, KindCount},
    end_cause::EndCause,
    engine_report::{EngineReport, EngineRow},
    least_loads::least_loads,
    log_line::{LogLine, read_lines},
    request_story::{RequestStory, StoryStep},
    served_line::ServedLine,
    spread::Spread,
};
