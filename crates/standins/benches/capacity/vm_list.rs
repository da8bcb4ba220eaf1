//! Measures the cost of a poll of the VM list.

use std::{
    hint::black_box,
    net::SocketAddr, //
};

use jasminebend_base::{
    ResourceAmount,
    VmRecord,
    VmState,
    WorkerRecord, //
};
use jasminebend_ports::{
    HttpVmList,
    VmList, //
};
use jasminebend_standins::VmListStandIn;

use crate::{
    cpu_time::cpu_time_per_call,
    wire::{
        count_wire_bytes,
        runtime,
        serve_on_own_thread, //
    }, //
};

fn vm(index: u32) -> VmRecord {
    VmRecord {
        name: format!("worker-{index}").into(),
        incarnation: 1,
        domain: "north".into(),
        state: VmState::Live,
        executor: None,
        worker: Some(WorkerRecord {
            address: SocketAddr::from(([10, 1, 1, 1], 7000)),
            rack: format!("rack-{}", index / 8),
            capacity: ResourceAmount::new(32_000, 125_000),
        }),
    }
}

pub(crate) fn measure_polls() {
    println!("### A poll of the VM list, over HTTP\n");
    println!("| VMs | list | bytes sent | bytes received | reader's CPU time, us |");
    println!("|---|---|---|---|---|");
    for vms in [100, 500, 2_600, 5_200] {
        let server = serve_on_own_thread(move || async move {
            let list = VmListStandIn::new((0..vms).map(vm).collect());
            list.start().await.unwrap()
        });
        let read = async |list: &HttpVmList, _| drop(black_box(list.read().await.unwrap()));
        let twice = async |list: &HttpVmList, address| {
            read(list, address).await;
            read(list, address).await;
        };
        let first = count_wire_bytes(server, HttpVmList::new, read);
        let both = count_wire_bytes(server, HttpVmList::new, twice);
        let runtime = runtime();
        let changed =
            cpu_time_per_call(|| runtime.block_on(read(&HttpVmList::new(server), server)));
        let list = HttpVmList::new(server);
        let unchanged = cpu_time_per_call(|| runtime.block_on(read(&list, server)));
        println!(
            "| {vms} | changed | {} | {} | {changed} |",
            first.0, first.1
        );
        let (sent, received) = (both.0 - first.0, both.1 - first.1);
        println!("| {vms} | unchanged | {sent} | {received} | {unchanged} |");
    }
    println!();
}
