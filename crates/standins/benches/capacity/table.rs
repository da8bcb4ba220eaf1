//! Measures the cost of a poll of the table and of a commit.

use std::{
    hint::black_box,
    net::SocketAddr, //
};

use jasminebend_ports::{
    HttpTableService,
    RowChange,
    RowExpectation,
    TableService,
    WriteId, //
};
use jasminebend_standins::TableStandIn;

use crate::{
    cpu_time::cpu_time_per_call,
    wire::{
        count_wire_bytes,
        runtime,
        serve_on_own_thread, //
    }, //
};

fn serve_table(rows: usize, bytes: usize) -> SocketAddr {
    serve_on_own_thread(move || async move {
        let table = TableStandIn::new();
        let rows = (0..rows).map(|row| {
            RowChange::put(format!("row/{row:06}"), RowExpectation::Any, vec![7; bytes])
        });
        table.commit_without_faults(WriteId(1), &rows.collect::<Vec<_>>());
        table.start().await.unwrap()
    })
}

pub(crate) fn measure_scans() {
    println!("### A poll of the table, over HTTP\n");
    println!("| rows | bytes per row | bytes sent | bytes received | reader's CPU time, us |");
    println!("|---|---|---|---|---|");
    let sizes = [
        (1, 100),
        (1, 1_000),
        (1, 10_000),
        (1, 100_000),
        (10, 100),
        (70, 100),
        (700, 100),
    ];
    for (rows, bytes) in sizes {
        let server = serve_table(rows, bytes);
        let poll = async |table: &HttpTableService, _| {
            black_box(table.scan(&"row/".into(), None, rows).await.unwrap());
        };
        let (sent, received) = count_wire_bytes(server, HttpTableService::new, poll);
        let table = HttpTableService::new(server);
        let runtime = runtime();
        let time = cpu_time_per_call(|| runtime.block_on(poll(&table, server)));
        println!("| {rows} | {bytes} | {sent} | {received} | {time} |");
    }
    println!();
}

pub(crate) fn measure_commits() {
    println!("### A commit of one row, over HTTP\n");
    println!("| bytes per row | bytes sent | bytes received | writer's CPU time, us |");
    println!("|---|---|---|---|");
    for bytes in [100, 1_000, 10_000, 100_000] {
        let server = serve_table(0, 0);
        let commit = async |table: &HttpTableService, _| {
            let change = RowChange::put("row", RowExpectation::Any, vec![7; bytes]);
            black_box(table.commit(WriteId(1), vec![change]).await.unwrap());
        };
        let (sent, received) = count_wire_bytes(server, HttpTableService::new, commit);
        let table = HttpTableService::new(server);
        let runtime = runtime();
        let time = cpu_time_per_call(|| runtime.block_on(commit(&table, server)));
        println!("| {bytes} | {sent} | {received} | {time} |");
    }
    println!();
}
