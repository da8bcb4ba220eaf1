//! The decisions against simple ones, in one run: service targets missed, batch finished by its
//! time, evictions, and work done over an hour in which a failure domain leaves and returns. Every
//! figure is a ratio to the policy's own, over many seeds, with its spread.
//!
//! `cargo bench -p jasminebend-placement --bench decisions -- [SEEDS]`

mod hour_outcome;
mod rule_set;
mod simulated_cluster;
mod simulated_load;
mod simulated_task;

use crate::{
    hour_outcome::HourOutcome,
    rule_set::RuleSet, //
    simulated_cluster::SimulatedCluster,
    simulated_load::{
        DeploymentShape, //
        SimulatedLoad,
    },
};

const SEEDS: u64 = 24;

fn main() {
    let seeds = std::env::args().filter_map(|text| text.parse().ok()).next();
    let seeds = seeds.unwrap_or(SEEDS);
    for shape in [DeploymentShape::SWAN_COAST, DeploymentShape::HAI_PHONG] {
        println!(
            "\n{}: {} workers of {} cores and {} GB, {} to a rack; {seeds} seeds",
            shape.name, shape.workers, shape.cores, shape.memory_gb, shape.rack
        );
        compare(shape, seeds);
    }
}

fn compare(shape: DeploymentShape, seeds: u64) {
    let run = |rules: RuleSet| -> Vec<HourOutcome> {
        (0..seeds)
            .map(|seed| {
                SimulatedCluster::new(shape, SimulatedLoad::new(shape, seed), rules, seed).run()
            })
            .collect()
    };
    let own = run(RuleSet::own());
    print_own(&own);
    println!(
        "{:<22} {:>24} {:>24} {:>24} {:>24}",
        "ratio to own", "missed", "in time", "evictions", "work in the hour"
    );
    for (name, rules) in RuleSet::others() {
        let other = run(rules);
        print!("{name:<22}");
        for measure in HourOutcome::MEASURES {
            print!(" {:>24}", ratios(&own, &other, measure));
        }
        println!();
    }
}

fn print_own(own: &[HourOutcome]) {
    for (name, measure) in HourOutcome::NAMES.iter().zip(HourOutcome::MEASURES) {
        let mut values: Vec<f64> = own.iter().map(measure).collect();
        println!("  own {name:<28} {}", spread(&mut values, 4));
    }
    let killed: f64 = own.iter().map(|outcome| outcome.killed).sum();
    let learned: f64 = own.iter().map(|outcome| outcome.readings_to_learn).sum();
    println!(
        "  own tasks killed for memory {killed}; late readings to learn a bad pair {:.1}",
        learned / own.len() as f64
    );
}

fn ratios(own: &[HourOutcome], other: &[HourOutcome], measure: fn(&HourOutcome) -> f64) -> String {
    let pairs = own.iter().zip(other);
    let mut values: Vec<f64> = pairs
        .map(|(own, other)| measure(other) / measure(own))
        .filter(|ratio| ratio.is_finite())
        .collect();
    spread(&mut values, 2)
}

/// Formats the median and, in brackets, the tenth and ninetieth hundredths.
fn spread(values: &mut [f64], digits: usize) -> String {
    if values.is_empty() {
        return "-".to_owned();
    }
    values.sort_by(f64::total_cmp);
    let at = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
    format!(
        "{:.digits$} [{:.digits$}, {:.digits$}]",
        at(0.5),
        at(0.1),
        at(0.9)
    )
}
