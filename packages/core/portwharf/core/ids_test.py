# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ids contain their creation time; rendezvous hashing is stable."""

import time

from portwharf.core import ids

NAMES = [f'vm-{number}' for number in range(11)]


def test_id_contains_its_creation_time(case):
    before = time.time_ns() // 1_000_000
    created = ids.read_unix_ms(ids.make_id())
    case.assertGreaterEqual(created, before)
    case.assertLessEqual(created, time.time_ns() // 1_000_000 + 1)


def test_text_that_is_not_a_uuid_7_has_no_creation_time(case):
    case.assertIsNone(ids.read_unix_ms('hello'))
    case.assertIsNone(ids.read_unix_ms('0f8fad5b-d9cb-469f-a165-70867728950e'))


def test_task_id_contains_its_workload_id(case):
    task = ids.make_task_id('0-abc', 17)
    case.assertEqual(ids.split_task_id(task), '0-abc')


def test_rank_does_not_depend_on_the_order_of_the_names(case):
    ranked = ids.rank_by_rendezvous_hash('key', NAMES)
    case.assertEqual(ids.rank_by_rendezvous_hash('key', NAMES[::-1]), ranked)


def test_rank_keeps_its_order_when_a_name_is_removed(case):
    ranked = ids.rank_by_rendezvous_hash('key', NAMES)
    remaining = [name for name in NAMES if name != ranked[3]]
    case.assertEqual(
        ids.rank_by_rendezvous_hash('key', remaining), ranked[:3] + ranked[4:]
    )


def test_keys_spread_over_shards(case):
    shards = {ids.hash_to_shard(f'team/{n}', 24) for n in range(500)}
    case.assertEqual(shards, set(range(24)))
