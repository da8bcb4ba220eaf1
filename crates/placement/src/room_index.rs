//! Workers by what they have left.

use jasminebend_base::ResourceAmount;

use crate::WorkerKey;

/// The cells of one line; a line's occupied cells fit in one word.
const CELLS: usize = 64;
const CPU_STEP_MILLIS: u64 = 250;
const MEMORY_STEP_MIB: u64 = 256;

/// Workers in a grid by the processors and the memory that they have left, each in steps that double
/// every four cells. Moving a worker costs the same however many there are, and a search visits only
/// cells that may have room.
#[derive(Clone, Debug)]
pub(crate) struct RoomIndex {
    cells: Vec<Vec<WorkerKey>>,
    occupied: [u64; CELLS],
    places: Vec<Option<(usize, usize)>>,
}

impl RoomIndex {
    pub(crate) fn new() -> Self {
        Self {
            cells: vec![Vec::new(); CELLS * CELLS],
            occupied: [0; CELLS],
            places: Vec::new(),
        }
    }

    pub(crate) fn set(&mut self, worker: WorkerKey, room: ResourceAmount) {
        let (row, column) = cell_of(room);
        let cell = row * CELLS + column;
        if let Some(Some((held, _))) = self.places.get(worker.slot())
            && *held == cell
        {
            return;
        }
        self.remove(worker);
        if self.places.len() <= worker.slot() {
            self.places.resize(worker.slot() + 1, None);
        }
        self.places[worker.slot()] = Some((cell, self.cells[cell].len()));
        self.cells[cell].push(worker);
        self.occupied[row] |= 1 << column;
    }

    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        let Some(place) = self.places.get_mut(worker.slot()) else {
            return;
        };
        let Some((cell, at)) = place.take() else {
            return;
        };
        self.cells[cell].swap_remove(at);
        if let Some(moved) = self.cells[cell].get(at) {
            self.places[moved.slot()] = Some((cell, at));
        }
        if self.cells[cell].is_empty() {
            self.occupied[cell / CELLS] &= !(1 << (cell % CELLS));
        }
    }

    /// Visits workers that may have this much, those with the fewest processors left first.
    pub(crate) fn fullest_first(&self, size: ResourceAmount) -> impl Iterator<Item = WorkerKey> {
        let (row, column) = cell_of(size);
        (row..CELLS).flat_map(move |row| self.row_from(row, column))
    }

    /// Visits workers that may have this much, those with the most processors left first.
    pub(crate) fn emptiest_first(&self, size: ResourceAmount) -> impl Iterator<Item = WorkerKey> {
        let (row, column) = cell_of(size);
        (row..CELLS)
            .rev()
            .flat_map(move |row| self.row_from(row, column))
    }

    fn row_from(&self, row: usize, column: usize) -> impl Iterator<Item = WorkerKey> {
        let mut left = self.occupied[row] & (u64::MAX << column);
        let columns = std::iter::from_fn(move || {
            let next = left.trailing_zeros() as usize;
            left &= left.wrapping_sub(1);
            (next < CELLS).then_some(next)
        });
        columns.flat_map(move |column| self.cells[row * CELLS + column].iter().copied())
    }
}

fn cell_of(room: ResourceAmount) -> (usize, usize) {
    let row = step_of(room.cpu_millis / CPU_STEP_MILLIS);
    let column = step_of(room.memory_mib / MEMORY_STEP_MIB);
    (row, column)
}

/// Steps of one up to eight, then four to each doubling.
fn step_of(steps: u64) -> usize {
    if steps < 8 {
        // CAST: Less than eight.
        return steps as usize;
    }
    let doubling = u64::from(steps.ilog2());
    let within = (steps >> (doubling - 2)) & 3;
    // CAST: The last cell bounds it.
    ((8 + (doubling - 3) * 4 + within) as usize).min(CELLS - 1)
}
