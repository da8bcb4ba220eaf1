//! An index of workers by free capacity.

use jasminebend_base::ResourceAmount;

use crate::WorkerKey;

/// The rows of the grid, and the cells of each row: the occupied cells of a row fit into the bits
/// of a `u64`.
const CELLS_PER_AXIS: usize = 64;
const CPU_STEP_MILLIS: u64 = 250;
const MEMORY_STEP_MIB: u64 = 256;

/// An index of workers by free capacity: a grid with free CPU on one axis and free memory on the
/// other. The steps of both axes double every four cells. Moving a worker takes constant time, and
/// a search visits only cells that may have enough free capacity.
#[derive(Clone, Debug)]
pub(crate) struct FreeCapacityIndex {
    /// The workers of each cell, row by row.
    cells: Vec<Vec<WorkerKey>>,
    /// A bit for each cell of a row that has workers.
    occupied: [u64; CELLS_PER_AXIS],
    /// The cell of each worker and its index there, by the worker's index; `None` if not in the
    /// grid.
    positions: Vec<Option<(usize, usize)>>,
}

impl FreeCapacityIndex {
    pub(crate) fn new() -> Self {
        Self {
            cells: vec![Vec::new(); CELLS_PER_AXIS * CELLS_PER_AXIS],
            occupied: [0; CELLS_PER_AXIS],
            positions: Vec::new(),
        }
    }

    pub(crate) fn insert_or_move(&mut self, worker: WorkerKey, free: ResourceAmount) {
        let (row, column) = cell_of(free);
        let cell = row * CELLS_PER_AXIS + column;
        if let Some(Some((current_cell, _))) = self.positions.get(worker.index())
            && *current_cell == cell
        {
            return;
        }
        self.remove(worker);
        if self.positions.len() <= worker.index() {
            self.positions.resize(worker.index() + 1, None);
        }
        self.positions[worker.index()] = Some((cell, self.cells[cell].len()));
        self.cells[cell].push(worker);
        self.occupied[row] |= 1 << column;
    }

    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        let Some(position) = self.positions.get_mut(worker.index()) else {
            return;
        };
        let Some((cell, index_in_cell)) = position.take() else {
            return;
        };
        self.cells[cell].swap_remove(index_in_cell);
        if let Some(moved) = self.cells[cell].get(index_in_cell) {
            self.positions[moved.index()] = Some((cell, index_in_cell));
        }
        if self.cells[cell].is_empty() {
            self.occupied[cell / CELLS_PER_AXIS] &= !(1 << (cell % CELLS_PER_AXIS));
        }
    }

    /// Iterates over the workers that may have this free capacity, in increasing order of free CPU.
    pub(crate) fn fullest_first(&self, size: ResourceAmount) -> impl Iterator<Item = WorkerKey> {
        let (row, column) = cell_of(size);
        (row..CELLS_PER_AXIS).flat_map(move |row| self.workers_in_row(row, column))
    }

    /// Iterates over the workers that may have this free capacity, in decreasing order of free CPU.
    pub(crate) fn emptiest_first(&self, size: ResourceAmount) -> impl Iterator<Item = WorkerKey> {
        let (row, column) = cell_of(size);
        (row..CELLS_PER_AXIS)
            .rev()
            .flat_map(move |row| self.workers_in_row(row, column))
    }

    fn workers_in_row(&self, row: usize, column: usize) -> impl Iterator<Item = WorkerKey> {
        let mut remaining_columns = self.occupied[row] & (u64::MAX << column);
        let columns = std::iter::from_fn(move || {
            let next = remaining_columns.trailing_zeros() as usize;
            remaining_columns &= remaining_columns.wrapping_sub(1);
            (next < CELLS_PER_AXIS).then_some(next)
        });
        columns.flat_map(move |column| self.cells[row * CELLS_PER_AXIS + column].iter().copied())
    }
}

fn cell_of(free: ResourceAmount) -> (usize, usize) {
    let row = axis_cell(free.cpu_millis / CPU_STEP_MILLIS);
    let column = axis_cell(free.memory_mib / MEMORY_STEP_MIB);
    (row, column)
}

/// Returns the cell of an amount on one axis: one cell for each step below eight, then four cells
/// for each doubling.
fn axis_cell(steps: u64) -> usize {
    if steps < 8 {
        // CAST: The value is less than eight.
        return steps as usize;
    }
    let doubling = u64::from(steps.ilog2());
    let within = (steps >> (doubling - 2)) & 3;
    // CAST: The value is at most 251 before it is limited to the last cell.
    ((8 + (doubling - 3) * 4 + within) as usize).min(CELLS_PER_AXIS - 1)
}
