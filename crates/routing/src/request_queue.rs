//! The requests that wait for a slot.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// In which order waiting requests get slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// The earliest arrival first.
    FirstInFirstOut,
    /// The earliest deadline first.
    EarliestDeadline,
    /// The earliest arrival first, but the latest first while the earliest has waited longer than
    /// half of its time.
    AdaptiveLastIn,
}

/// The place of a request in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    rank: Duration,
    number: u64,
}

#[derive(Debug)]
struct QueueEntry<Item> {
    item: Item,
    arrival: Duration,
    deadline: Duration,
}

/// The requests that wait for a slot, bounded and in order.
#[derive(Debug)]
pub struct RequestQueue<Item> {
    order: QueueOrder,
    bound: usize,
    entries: BTreeMap<QueueKey, QueueEntry<Item>>,
    number: u64,
}

impl<Item> RequestQueue<Item> {
    /// Creates an empty queue that holds at most `bound` requests.
    pub fn new(order: QueueOrder, bound: usize) -> Self {
        Self {
            order,
            bound,
            entries: BTreeMap::new(),
            number: 0,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Gives the request back if the queue is full.
    pub fn push(
        &mut self,
        item: Item,
        arrival: Duration,
        deadline: Duration,
    ) -> Result<QueueKey, Item> {
        if self.entries.len() >= self.bound {
            return Err(item);
        }
        let key = QueueKey {
            rank: self.rank(arrival, deadline),
            number: self.number,
        };
        self.number = self.number.wrapping_add(1);
        let entry = QueueEntry {
            item,
            arrival,
            deadline,
        };
        self.entries.insert(key, entry);
        Ok(key)
    }

    /// Takes a request out that waits no more.
    pub fn remove(&mut self, key: QueueKey) -> Option<Item> {
        self.entries.remove(&key).map(|entry| entry.item)
    }

    /// Takes out the request that is next.
    pub fn pop(&mut self, now: Duration) -> Option<Item> {
        let entry = match self.last_is_next(now) {
            true => self.entries.pop_last(),
            false => self.entries.pop_first(),
        };
        entry.map(|(_, entry)| entry.item)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn rank(&self, arrival: Duration, deadline: Duration) -> Duration {
        match self.order {
            QueueOrder::EarliestDeadline => deadline,
            QueueOrder::FirstInFirstOut | QueueOrder::AdaptiveLastIn => arrival,
        }
    }

    fn last_is_next(&self, now: Duration) -> bool {
        if self.order != QueueOrder::AdaptiveLastIn {
            return false;
        }
        let Some((_, entry)) = self.entries.first_key_value() else {
            return false;
        };
        let allowed = entry.deadline.saturating_sub(entry.arrival) / 2;
        now.saturating_sub(entry.arrival) > allowed
    }
}
