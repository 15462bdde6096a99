# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ids and rendezvous (highest random weight) choice.

Workload and request ids are UUID version 7: they sort by the time they
were made, and that time can be read back. A task's id is its workload's id
and its number.
"""

import uuid

import uuid6
import xxhash

TASK_SEPARATOR = '.'
_VERSION_7 = 7
_TIME_SHIFT = 80


def make_id():
    """Return a new UUID version 7 as text."""
    return str(uuid6.uuid7())


def make_nonce():
    """Return 16 random bytes as text, to tell one's own append."""
    return uuid.uuid4().hex


def make_task_id(workload_id, number):
    """Return the id of a workload's task by its number, from 0."""
    return f'{workload_id}{TASK_SEPARATOR}{number}'


def split_task_id(task_id):
    """Return the workload's id of a task's id."""
    return task_id.rpartition(TASK_SEPARATOR)[0]


def read_unix_ms(text):
    """Return when a UUID version 7 was made, or None if it is not one."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _VERSION_7:
        return None
    return value.int >> _TIME_SHIFT


def rank_by_rendezvous(key, names):
    """Return the names in the order in which they win the key.

    Taking a name away leaves the order of the others as it was.
    """
    return sorted(names, key=lambda name: _weigh(key, name), reverse=True)


def hash_to_shard(key, shards):
    """Return the shard of a key, 0 to shards - 1, alike everywhere."""
    return xxhash.xxh64_intdigest(key.encode()) % shards


def _weigh(key, name):
    return (xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()), name)
