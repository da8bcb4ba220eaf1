//! Compares the placement decisions with simpler rules in a simulated hour in which a failure
//! domain closes and reopens: requests over target, batch tasks finished in time, evictions, and
//! batch work done. Each figure is the ratio to the result of the policy itself, as a median over
//! many seeds with the 10th and 90th percentile.
//!
//! `cargo bench -p jasminebend-placement --bench decisions -- [SEEDS]`

mod hour_outcome;
mod rule_set;
mod simulated_cluster;
mod simulated_load;
mod simulated_task;

use crate::{
    hour_outcome::HourOutcome,
    rule_set::RuleSet,
    simulated_cluster::SimulatedCluster,
    simulated_load::{
        DeploymentShape,
        SimulatedLoad, //
    },
};

const DEFAULT_SEED_COUNT: u64 = 24;

fn main() {
    let seed_count = std::env::args().filter_map(|text| text.parse().ok()).next();
    let seed_count = seed_count.unwrap_or(DEFAULT_SEED_COUNT);
    for shape in [DeploymentShape::SWAN_COAST, DeploymentShape::HAI_PHONG] {
        println!(
            "\n{}: {} workers of {} cores and {} GB, {} to a rack; {seed_count} seeds",
            shape.name, shape.workers, shape.cores, shape.memory_gb, shape.workers_per_rack
        );
        print_comparison(shape, seed_count);
    }
}

fn print_comparison(shape: DeploymentShape, seed_count: u64) {
    let run = |rules: RuleSet| -> Vec<HourOutcome> {
        (0..seed_count)
            .map(|seed| {
                SimulatedCluster::new(shape, SimulatedLoad::new(shape, seed), rules, seed).run()
            })
            .collect()
    };
    let policy = run(RuleSet::full_policy());
    print_policy_outcome(&policy);
    println!(
        "{:<22} {:>24} {:>24} {:>24} {:>24}",
        "ratio to own", "missed", "in time", "evictions", "work in the hour"
    );
    for (name, rules) in RuleSet::alternatives() {
        let other = run(rules);
        print!("{name:<22}");
        for measure in HourOutcome::MEASURES {
            print!(" {:>24}", format_ratios(&policy, &other, measure));
        }
        println!();
    }
}

fn print_policy_outcome(policy: &[HourOutcome]) {
    for (name, measure) in HourOutcome::NAMES.iter().zip(HourOutcome::MEASURES) {
        let mut values: Vec<f64> = policy.iter().map(measure).collect();
        println!("  own {name:<28} {}", format_quantiles(&mut values, 4));
    }
    let killed_for_memory: f64 = policy.iter().map(|outcome| outcome.killed_for_memory).sum();
    let learned: f64 = policy.iter().map(|outcome| outcome.readings_to_learn).sum();
    println!(
        "  own tasks killed for memory {killed_for_memory}; late readings to learn a bad pair {:.1}",
        learned / policy.len() as f64
    );
}

fn format_ratios(
    policy: &[HourOutcome],
    other: &[HourOutcome],
    measure: fn(&HourOutcome) -> f64,
) -> String {
    let pairs = policy.iter().zip(other);
    let mut values: Vec<f64> = pairs
        .map(|(policy, other)| measure(other) / measure(policy))
        .filter(|ratio| ratio.is_finite())
        .collect();
    format_quantiles(&mut values, 2)
}

/// Formats the median and, in brackets, the 10th and 90th percentile.
fn format_quantiles(values: &mut [f64], digits: usize) -> String {
    if values.is_empty() {
        return "-".to_owned();
    }
    values.sort_by(f64::total_cmp);
    let quantile = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
    format!(
        "{:.digits$} [{:.digits$}, {:.digits$}]",
        quantile(0.5),
        quantile(0.1),
        quantile(0.9)
    )
}
