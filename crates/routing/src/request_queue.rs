//! Queue of the requests that wait for a slot.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Order in which queued requests get slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// Earliest arrival first.
    Fifo,
    /// Earliest deadline first.
    EarliestDeadlineFirst,
    /// Earliest arrival first; latest arrival first while the request that arrived earliest has
    /// waited for more than half of the time between its arrival and its deadline.
    AdaptiveLifo,
}

/// Identifies a request in the queue; keys sort in queue order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    sort_time: Duration,
    sequence: u64,
}

#[derive(Debug)]
struct QueueEntry<Item> {
    item: Item,
    arrival: Duration,
    deadline: Duration,
}

/// Bounded priority queue of the requests that wait for a slot.
///
/// All times are relative to one origin, which the caller chooses.
#[derive(Debug)]
pub struct RequestQueue<Item> {
    order: QueueOrder,
    capacity: usize,
    entries: BTreeMap<QueueKey, QueueEntry<Item>>,
    next_sequence: u64,
}

impl<Item> RequestQueue<Item> {
    /// Creates an empty queue that holds at most `capacity` requests.
    pub fn new(order: QueueOrder, capacity: usize) -> Self {
        Self {
            order,
            capacity,
            entries: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request if the queue is full.
    pub fn push(
        &mut self,
        item: Item,
        arrival: Duration,
        deadline: Duration,
    ) -> Result<QueueKey, Item> {
        if self.entries.len() >= self.capacity {
            return Err(item);
        }
        let key = QueueKey {
            sort_time: self.sort_time(arrival, deadline),
            sequence: self.next_sequence,
        };
        self.next_sequence = self.next_sequence.wrapping_add(1);
        let entry = QueueEntry {
            item,
            arrival,
            deadline,
        };
        self.entries.insert(key, entry);
        Ok(key)
    }

    /// Removes a request, for example one whose caller disconnected; `None` if it is no longer
    /// queued.
    pub fn remove(&mut self, key: QueueKey) -> Option<Item> {
        self.entries.remove(&key).map(|entry| entry.item)
    }

    /// Removes and returns the next request; `None` if the queue is empty.
    pub fn pop(&mut self, now: Duration) -> Option<Item> {
        let entry = match self.is_newest_next(now) {
            true => self.entries.pop_last(),
            false => self.entries.pop_first(),
        };
        entry.map(|(_, entry)| entry.item)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sort_time(&self, arrival: Duration, deadline: Duration) -> Duration {
        match self.order {
            QueueOrder::EarliestDeadlineFirst => deadline,
            QueueOrder::Fifo | QueueOrder::AdaptiveLifo => arrival,
        }
    }

    fn is_newest_next(&self, now: Duration) -> bool {
        if self.order != QueueOrder::AdaptiveLifo {
            return false;
        }
        let Some((_, entry)) = self.entries.first_key_value() else {
            return false;
        };
        let max_fifo_wait = entry.deadline.saturating_sub(entry.arrival) / 2;
        now.saturating_sub(entry.arrival) > max_fifo_wait
    }
}
