# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ids sort by time; rendezvous moves only what it must."""

import time

from portwharf.core import ids

NAMES = [f'vm-{number}' for number in range(11)]


def test_id_tells_when_it_was_made(case):
    before = time.time_ns() // 1_000_000
    made = ids.read_unix_ms(ids.make_id())
    case.assertGreaterEqual(made, before)
    case.assertLessEqual(made, time.time_ns() // 1_000_000 + 1)


def test_other_text_is_no_id(case):
    case.assertIsNone(ids.read_unix_ms('hello'))
    case.assertIsNone(ids.read_unix_ms('0f8fad5b-d9cb-469f-a165-70867728950e'))


def test_task_id_gives_its_workload(case):
    task = ids.make_task_id('0-abc', 17)
    case.assertEqual(ids.split_task_id(task), '0-abc')


def test_rank_ignores_the_order_given(case):
    ranked = ids.rank_by_rendezvous('key', NAMES)
    case.assertEqual(ids.rank_by_rendezvous('key', NAMES[::-1]), ranked)


def test_rank_keeps_its_order_when_one_leaves(case):
    ranked = ids.rank_by_rendezvous('key', NAMES)
    fewer = [name for name in NAMES if name != ranked[3]]
    case.assertEqual(
        ids.rank_by_rendezvous('key', fewer), ranked[:3] + ranked[4:]
    )


def test_keys_spread_over_shards(case):
    shards = {ids.hash_to_shard(f'team/{n}', 24) for n in range(500)}
    case.assertEqual(shards, set(range(24)))
