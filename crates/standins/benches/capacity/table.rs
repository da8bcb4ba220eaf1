//! What a poll of the table and a commit cost.

use std::{
    hint::black_box,
    net::SocketAddr, //
};

use jasminebend_ports::{
    HttpTable,
    RowChange,
    RowExpectation,
    TableService,
    WriteId, //
};
use jasminebend_standins::TableStandIn;

use crate::{
    spread::spread,
    wire::{
        runtime,
        serve_apart,
        wire_bytes, //
    }, //
};

fn serve_table(rows: usize, bytes: usize) -> SocketAddr {
    serve_apart(move || async move {
        let table = TableStandIn::new();
        let rows = (0..rows).map(|row| {
            RowChange::put(format!("row/{row:06}"), RowExpectation::Any, vec![7; bytes])
        });
        table.commit_surely(WriteId(1), &rows.collect::<Vec<_>>());
        table.start().await.unwrap()
    })
}

pub(crate) fn reads() {
    println!("### A poll of the table, over HTTP\n");
    println!("| rows | bytes a row | bytes there | bytes back | time of the reader, us |");
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
        let poll = async |table: &HttpTable, _| {
            black_box(table.scan(&"row/".into(), None, rows).await.unwrap());
        };
        let (there, back) = wire_bytes(server, HttpTable::new, poll);
        let table = HttpTable::new(server);
        let runtime = runtime();
        let time = spread(|| runtime.block_on(poll(&table, server)));
        println!("| {rows} | {bytes} | {there} | {back} | {time} |");
    }
    println!();
}

pub(crate) fn commits() {
    println!("### A commit of one row, over HTTP\n");
    println!("| bytes | bytes there | bytes back | time of the writer, us |");
    println!("|---|---|---|---|");
    for bytes in [100, 1_000, 10_000, 100_000] {
        let server = serve_table(0, 0);
        let commit = async |table: &HttpTable, _| {
            let change = RowChange::put("row", RowExpectation::Any, vec![7; bytes]);
            black_box(table.commit(WriteId(1), vec![change]).await.unwrap());
        };
        let (there, back) = wire_bytes(server, HttpTable::new, commit);
        let table = HttpTable::new(server);
        let runtime = runtime();
        let time = spread(|| runtime.block_on(commit(&table, server)));
        println!("| {bytes} | {there} | {back} | {time} |");
    }
    println!();
}
