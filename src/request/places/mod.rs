//! Places at the targets of plain services, given out by one host for all: what each host sends by itself is too
//! little to tell it how busy a target is. Nothing here waits or sends.

mod place_end;
mod service_places;
mod target_places;

pub use {
    place_end::PlaceEnd,
    service_places::{PlaceAnswer, PlaceAsk, ServicePlaces},
    target_places::TargetPlaces,
};
