# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ids, rendezvous hashing (highest random weight) and shard hashing.

Workload and request ids are UUID version 7: they sort by creation time, and
that time can be read back. A task's id is its workload's id followed by
the task's number.
"""

import uuid

import uuid6
import xxhash

TASK_SEPARATOR = '.'
_VERSION_7 = 7
_TIMESTAMP_SHIFT_BITS = 80


def make_id():
    """Return a new UUID version 7 as text."""
    return str(uuid6.uuid7())


def make_nonce():
    """Return 16 random bytes as text, to recognize one's own write."""
    return uuid.uuid4().hex


def make_task_id(workload_id, number):
    """Return the id of a workload's task; tasks are numbered from 0."""
    return f'{workload_id}{TASK_SEPARATOR}{number}'


def split_task_id(task_id):
    """Return the workload id that a task id contains."""
    return task_id.rpartition(TASK_SEPARATOR)[0]


def read_unix_ms(text):
    """Return the creation time of a UUID version 7, or None for other text.

    :returns: Unix time in milliseconds, or None
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _VERSION_7:
        return None
    return value.int >> _TIMESTAMP_SHIFT_BITS


def rank_by_rendezvous_hash(key, names):
    """Return the names by rendezvous weight for a key, highest first.

    Removing a name does not change the order of the others.
    """
    return sorted(
        names, key=lambda name: _compute_weight(key, name), reverse=True
    )


def hash_to_shard(key, shards):
    """Return the shard of a key, from 0 to ``shards - 1``.

    All processes and versions must agree on the result.
    """
    return xxhash.xxh64_intdigest(key.encode()) % shards


def _compute_weight(key, name):
    return (xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()), name)
