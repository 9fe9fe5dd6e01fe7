//! Encoding of table changes for transfer between hosts, and the bandwidth allowance of the sender.

use {
    coveproxy::{
        clock::Instant,
        connection::pull::{ChangesBody, CopyPage, PageProblem},
        formats::Row,
        process::{
            host::{CopySource, CopyTransfer, SendAllowance, TableName},
            tables::TableChanges,
        },
    },
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    std::time::Duration,
};

const AGE: Duration = Duration::from_millis(70);

fn changes(rows: Vec<Row>) -> TableChanges {
    TableChanges {
        rows,
        version: 9.into(),
        digest: 7,
        is_full: false,
    }
}

fn row(
    key: &str,
    value: Option<Vec<u8>>,
) -> Row {
    Row {
        key: key.into(),
        version: 3.into(),
        value: value.map(Into::into),
    }
}

/// Returns a repetitive configuration, as operators declare it.
fn routes(count: usize) -> Vec<u8> {
    let route =
        |at: usize| format!("{{\"name\":\"r-{at}\",\"host\":\"h.example\",\"timeoutMs\":600}},");
    (0..count).map(route).collect::<String>().into_bytes()
}

fn read(bytes: &[u8]) -> (TableChanges, Duration) {
    let (body, age) = CopyPage::read(bytes).unwrap();
    (body.into(), age)
}

#[rstest]
#[case::small(10)]
#[case::large(5_000)]
fn a_page_brings_back_what_was_put_in(#[case] route_count: usize) {
    let sent = changes(vec![
        row("config", Some(routes(route_count))),
        row("gone", None),
    ]);
    let page = CopyPage::new(&ChangesBody::from(&sent));
    assert_eq!(read(&page.to_bytes(AGE)), (sent, AGE));
}

#[test]
fn a_large_table_shrinks_to_a_tenth() {
    let sent = changes(vec![row("config", Some(routes(5_000)))]);
    let page = CopyPage::new(&ChangesBody::from(&sent)).to_bytes(AGE);
    assert!(
        page.len() * 10 < sent.bytes(),
        "{} of {}",
        page.len(),
        sent.bytes()
    );
}

/// A forged uncompressed size must not cause a large allocation.
#[test]
fn a_page_that_claims_too_much_is_not_unpacked() {
    // Field 1: a body of one byte; field 2: 2^31 bytes.
    let page = [0x0a, 1, 0, 0x10, 0x80, 0x80, 0x80, 0x80, 0x08];
    let problem = CopyPage::read(&page).unwrap_err();
    assert!(matches!(problem, PageProblem::TooLarge(_)), "{problem}");
}

#[test]
fn a_page_that_is_cut_short_is_not_taken() {
    let sent = changes(vec![row("config", Some(routes(5_000)))]);
    let page = CopyPage::new(&ChangesBody::from(&sent)).to_bytes(AGE);
    for end in [1, page.len() / 2, page.len() - 3] {
        assert!(CopyPage::read(&page[..end]).is_err(), "{end} bytes");
    }
}

/// The duration of a transfer must not make a replica appear newer than it is.
#[test]
fn the_time_on_its_way_makes_no_copy_newer() {
    let transfer = CopyTransfer::begin(TableName::Targets, CopySource::Store, 0.into());
    let begun = Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(transfer.right_at(AGE).unwrap() <= begun - AGE);
}

proptest! {
    #[test]
    fn no_bytes_bring_the_reader_down(bytes in vec(any::<u8>(), 0..200)) {
        let _ = CopyPage::read(&bytes);
    }

    /// Over any period, a host sends at most its share of the link, one backlog and one page.
    #[test]
    fn no_more_is_admitted_than_the_link_carries(
        link_mbps in 1.0f64..1_000.0,
        requests in vec((0u64..50, 16_000usize..200_000), 1..200),
    ) {
        let start = Instant::now();
        let mut allowance = SendAllowance::new(Some(link_mbps));
        let (mut now, mut sent) = (start, 0);
        for (pause_ms, bytes) in requests {
            now += Duration::from_millis(pause_ms);
            if allowance.admit(bytes, now) {
                sent += bytes;
            }
            let time = now.duration_since(start) + Duration::from_millis(150);
            let max_bytes = link_mbps * 125_000.0 * 0.5 * time.as_secs_f64() + 200_000.0;
            prop_assert!(sent as f64 <= max_bytes, "{sent} of {max_bytes}");
        }
        prop_assert!(sent > 0, "the first request is always admitted");
    }
}

/// Transfers are admitted again once the link is free; an unknown bandwidth sets no limit.
#[test]
fn an_allowance_is_full_for_as_long_as_its_link_is() {
    let now = Instant::now();
    let mut allowance = SendAllowance::new(Some(10.0));
    assert!(allowance.admit(100_000, now));
    assert!(!allowance.admit(100_000, now), "160 ms of backlog remain");
    assert!(allowance.admit(100_000, now + Duration::from_millis(20)));
    let mut unlimited = SendAllowance::new(None);
    assert!((0..100).all(|_| unlimited.admit(1_000_000, now)));
}
