# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The log survives lost answers, competing writers and trimming."""

import itertools
import random

import msgpack

from portwharf.scheduler import events
from portwharf.scheduler import shardlog
from portwharf.testing import fixtures

EVENT = events.WorkloadCancelled('0-job')


def open_log(kv, shard=0):
    """Return a log that was read to its end."""
    log = shardlog.ShardLog(kv, shard)
    log.read()
    return log


def append_all(log, count):
    """Append entries that are distinguished by an id."""
    for number in range(count):
        log.append([events.WorkloadCancelled(str(number))])


def list_ids(contents):
    """Return the ids of the events in a log, in order."""
    return [event.id for batch in contents.batches for event in batch]


def write_snapshot(log, *parts):
    """Write a snapshot and delete all that it replaces."""
    written = log.write_snapshot(*parts)
    while log.trim().ok_value:
        pass
    return written


def test_read_gives_what_was_appended(case):
    kv, _ = fixtures.make_store()
    append_all(open_log(kv), 3)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(list_ids(contents), ['0', '1', '2'])


def test_empty_log_is_reported(case):
    kv, _ = fixtures.make_store()
    case.assertTrue(shardlog.ShardLog(kv, 0).read().ok_value.empty)


def test_shards_have_separate_logs(case):
    kv, _ = fixtures.make_store()
    append_all(open_log(kv, 1), 2)
    case.assertTrue(shardlog.ShardLog(kv, 0).read().ok_value.empty)


def test_read_takes_several_calls(case):
    kv, _ = fixtures.make_store()
    append_all(open_log(kv), shardlog.READ_MAX_ENTRIES + 1)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(len(contents.batches), shardlog.READ_MAX_ENTRIES + 1)


def test_lost_answer_counts_as_ours(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    fake.faults.lose_answers = 1
    case.assertEqual(log.append([EVENT]).ok(), 0)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(len(contents.batches), 1)


def test_lost_request_is_sent_again_once(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    fake.faults.lose_requests = 1
    case.assertIsInstance(log.append([EVENT]).err_value, shardlog.Stalled)
    case.assertEqual(log.append([EVENT]).ok_value, 0)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(len(contents.batches), 1)


def test_append_before_an_outage_is_confirmed_later(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    log.append([EVENT])
    fake.faults.lose_answers = 1
    read = kv.read
    kv.read = lambda key: _read_after_failure(fake, read, key)
    case.assertIsInstance(log.append([EVENT]).err_value, shardlog.Stalled)
    kv.read = read
    fake.faults.down = False
    case.assertEqual(log.append([EVENT]).ok_value, 1)
    case.assertEqual(log.next_seq, 2)


def test_second_writer_deposes_the_first(case):
    kv, _ = fixtures.make_store()
    first, second = open_log(kv), open_log(kv)
    case.assertTrue(second.append([EVENT]).is_ok())
    deposed = first.append([EVENT]).err()
    case.assertIsInstance(deposed, shardlog.Deposed)


def test_same_events_of_two_writers_are_distinguished(case):
    kv, fake = fixtures.make_store()
    first, second = open_log(kv), open_log(kv)
    second.append([EVENT])
    fake.faults.lose_requests = 1
    deposed = first.append([EVENT]).err()
    case.assertIsInstance(deposed, shardlog.Deposed)


def test_trimmed_number_is_not_free_for_a_former_owner(case):
    kv, _ = fixtures.make_store()
    former = open_log(kv)
    append_all(former, 3)
    later = open_log(kv)
    append_all(later, 5)
    case.assertTrue(write_snapshot(later, b'state').is_ok())
    deposed = former.append([EVENT]).err()
    case.assertIsInstance(deposed, shardlog.Deposed)


def test_entry_zero_is_never_free_again(case):
    kv, _ = fixtures.make_store()
    founder = open_log(kv)
    later = open_log(kv)
    append_all(later, 5)
    write_snapshot(later, b'state')
    deposed = founder.append([EVENT]).err_value
    case.assertIsInstance(deposed, shardlog.Deposed)


def test_snapshot_replaces_the_trimmed_entries(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 4)
    raw = bytes(range(256)) * 8000
    write_snapshot(log, raw)
    append_all(log, 2)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(contents.snapshot, raw)
    case.assertEqual(list_ids(contents), ['0', '1'])
    entries = [key for key in fake.list_keys() if '/log/' in key]
    case.assertEqual(len(entries), 4)


def test_second_snapshot_replaces_the_first(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 2)
    write_snapshot(log, b'one')
    append_all(log, 2)
    write_snapshot(log, b'two')
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(contents.snapshot, b'two')
    chunks = [key for key in fake.list_keys() if '/snapshot/' in key]
    case.assertEqual(len(chunks), 1)


def test_former_owner_cannot_replace_a_snapshot(case):
    kv, _ = fixtures.make_store()
    former = open_log(kv)
    append_all(former, 2)
    later = open_log(kv)
    append_all(later, 2)
    write_snapshot(later, b'later')
    case.assertTrue(write_snapshot(former, b'former').is_err())
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(contents.snapshot, b'later')


def test_head_is_confirmed_until_another_appends(case):
    kv, _ = fixtures.make_store()
    log = open_log(kv)
    log.append([EVENT])
    case.assertTrue(log.check_head().ok_value)
    open_log(kv).append([EVENT])
    case.assertFalse(log.check_head().ok_value)


def test_store_down_stalls_and_loses_nothing(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    fake.faults.down = True
    case.assertIsInstance(log.append([EVENT]).err_value, shardlog.Stalled)
    fake.faults.down = False
    case.assertEqual(log.append([EVENT]).ok_value, 0)


def _read_after_failure(fake, read, key):
    """Read a key just after the store went down."""
    fake.faults.down = True
    return read(key)


def test_only_owners_read_the_owner_part_of_a_snapshot(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 2)
    write_snapshot(log, b'one', b'history of one')
    append_all(log, 1)
    history = random.Random(1).randbytes(shardlog.SNAPSHOT_CHUNK_BYTES + 1)
    write_snapshot(log, b'two', history)
    owner = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(owner.snapshot, b'two')
    case.assertEqual(owner.aside, history)
    side = shardlog.ShardLog(kv, 0).read(whole=False).ok_value
    case.assertEqual((side.snapshot, side.aside), (b'two', b''))
    # The chunks of the first snapshot are deleted.
    chunks = [key for key in fake.list_keys() if '/snapshot/' in key]
    case.assertEqual(len(chunks), 3)


def make_placements(count):
    """Return the events that a pass of an owner makes to place tasks."""
    made = []
    for number in range(count):
        task = f'5c0e7a21d94b36f8.0.0.{number}'
        parts = [events.Part(n, 0.125) for n in ('fill', 'busy', 'paced')]
        decision = events.Decision(1, 'placed', task, 'vm-1', [], parts)
        made += [
            events.TaskPlaced(task, 1, 'vm-1'),
            events.DecisionMade(decision),
        ]
    return made


def test_entry_takes_a_quarter_of_its_bytes_or_less(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    placed = make_placements(30)
    log.append(placed)
    (entry,) = [
        kv.read(key).ok_value for key in fake.list_keys() if '/log/' in key
    ]
    uncompressed = msgpack.packb(events.write_events(placed))
    case.assertLess(len(entry.value), len(uncompressed) / 4)
    (batch,) = shardlog.ShardLog(kv, 0).read().ok_value.batches
    case.assertEqual(batch, placed)


def test_uncompressed_entry_is_read(case):
    kv, _ = fixtures.make_store()
    value = {'nonce': 'n', 'events': events.write_events([EVENT])}
    kv.swap('shards/0000/log/000000000000', msgpack.packb(value), 0)
    (batch,) = shardlog.ShardLog(kv, 0).read().ok_value.batches
    case.assertEqual(batch, [EVENT])


def test_garbled_entry_is_told_from_a_lost_one(case):
    kv, _ = fixtures.make_store()
    kv.swap('shards/0000/log/000000000000', b'\x78\x01garbled', 0)
    with case.assertRaises(ValueError):
        shardlog.ShardLog(kv, 0).read()


def test_trimming_deletes_few_entries_at_a_time(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 3 * shardlog.TRIM_ENTRIES)
    log.write_snapshot(b'state')
    counts = [len(fake.list_keys())]
    while log.trim().ok_value:
        counts.append(len(fake.list_keys()))
    deleted = [a - b for a, b in itertools.pairwise(counts)]
    case.assertLessEqual(max(deleted), shardlog.TRIM_ENTRIES)
    entries = [key for key in fake.list_keys() if '/log/' in key]
    case.assertEqual(len(entries), 2)


def test_log_is_read_whole_while_it_is_partly_trimmed(case):
    kv, _ = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 3 * shardlog.TRIM_ENTRIES)
    log.write_snapshot(b'state')
    log.trim()
    append_all(log, 2)
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    case.assertEqual(contents.snapshot, b'state')
    case.assertEqual(list_ids(contents), ['0', '1'])


def test_rest_of_a_trimming_that_failed_is_deleted_later(case):
    kv, fake = fixtures.make_store()
    log = open_log(kv)
    append_all(log, 2 * shardlog.TRIM_ENTRIES)
    log.write_snapshot(b'one')
    fake.faults.down = True
    case.assertTrue(log.trim().is_err())
    fake.faults.down = False
    case.assertFalse(log.trim().ok_value)
    append_all(log, 2)
    write_snapshot(log, b'two')
    entries = [key for key in fake.list_keys() if '/log/' in key]
    case.assertEqual(len(entries), 2)
