# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The platform's store fulfils the contract of ``store.LeaseStore``."""

from portwharf.core import settings
from portwharf.platform import store_client
from portwharf.scheduler import configuration
from portwharf.scheduler import events
from portwharf.scheduler import shardlog
from portwharf import store
from portwharf.testing import fixtures
from portwharf.testing import platform_store

# More than a test needs, to end it where pages are read without end.
MAX_CALLS = 40


def open_store(case, page_items=platform_store.PAGE_ITEMS):
    """Return a client of a fake store, and the fake."""
    fake = platform_store.FakePlatformStore(page_items)
    port = fixtures.serve(case, fake)
    endpoint = settings.Endpoint('127.0.0.1', port)
    return case.enterContext(store_client.PlatformStore(endpoint)), fake


def test_key_is_created_once(case):
    client, _ = open_store(case)
    case.assertTrue(client.swap('a', b'\0\xff', 0).ok_value.done)
    case.assertFalse(client.swap('a', b'other', 0).ok_value.done)
    case.assertEqual(client.read('a').ok_value.value, b'\0\xff')
    case.assertIsNone(client.read('b').ok_value)


def test_swap_needs_its_guard_unchanged(case):
    client, _ = open_store(case)
    first = client.swap('a', b'1', 0).ok_value
    guard = store.Entry('a', b'', first.revision)
    client.swap('a', b'2', first.revision)
    case.assertFalse(client.swap('b', b'x', 0, guard).ok_value.done)


def test_lost_answer_is_unknown_and_a_refusal_is_not(case):
    client, fake = open_store(case)
    fake.faults.lost = True
    lost = client.swap('a', b'1', 0)
    case.assertTrue(lost.err_value.unknown)
    case.assertEqual(client.read('a').ok_value.value, b'1')
    fake.faults.down = True
    case.assertFalse(client.swap('b', b'1', 0).err_value.unknown)


def test_range_reads_all_pages_within_its_bounds(case):
    client, _ = open_store(case)
    for number in range(9):
        client.swap(f'log/{number}', b'%d' % number, 0)
    found = client.read_range('log/1', 'log/8').ok_value
    case.assertEqual([e.key[-1] for e in found], list('1234567'))
    case.assertEqual(len(client.read_range('log/1', 'log/8', 2).ok_value), 2)


def test_range_of_large_values_is_read_to_its_end(case):
    """A page of one item was followed by itself, without end.

    The deciding thread of an owner read it as it trimmed a snapshot of over
    1 MB.
    """
    client, fake = open_store(case, page_items=1)
    for number in range(4):
        client.swap(f'log/{number}', b'%d' % number, 0)
    call = client._call

    def call_and_count(*arguments, **options):
        case.assertLess(len(fake.calls), MAX_CALLS)
        return call(*arguments, **options)

    client._call = call_and_count
    found = client.read_range('log/0', 'log/9').ok_value
    case.assertEqual([e.key[-1] for e in found], list('0123'))
    names = client.list_keys('log/').ok_value
    case.assertEqual([key[-1] for key in names.keys], list('0123'))
    case.assertEqual(client.delete_range('log/0', 'log/9').ok_value, 4)


def test_range_of_keys_has_no_values(case):
    client, _ = open_store(case)
    for number in range(9):
        client.swap(f'log/{number}', b'%d' % number, 0)
    found = client.read_range('log/1', 'log/8', keys_only=True).ok_value
    case.assertEqual([e.key[-1] for e in found], list('1234567'))
    case.assertEqual({e.value for e in found}, {b''})
    case.assertTrue(all(e.revision for e in found))


def test_range_is_deleted_without_its_end(case):
    client, _ = open_store(case)
    for number in range(5):
        client.swap(f'log/{number}', b'', 0)
    case.assertEqual(client.delete_range('log/1', 'log/4').ok_value, 3)
    left = client.read_range('log/', 'log0').ok_value
    case.assertEqual([e.key for e in left], ['log/0', 'log/4'])


def test_watch_returns_the_changed_entry(case):
    client, fake = open_store(case)
    entry = client.swap('a', b'1', 0).ok_value
    fake.set_item('a', 'Mg==')
    found = client.wait_for_change('a', entry.revision, 1)
    case.assertEqual(found.ok_value.value, b'2')


def test_watch_begins_at_the_revision_of_the_last_read(case):
    client, fake = open_store(case)
    entry = client.swap('a', b'1', 0).ok_value
    fake.set_item('other', '')
    client.read('a')
    fake.faults.history = entry.revision + 1
    found = client.wait_for_change('a', entry.revision, 0.05)
    case.assertIsNone(found.ok_value)
    case.assertEqual(fake.calls[-1], 'kv-watch')


def test_dropped_history_ends_the_watch(case):
    client, fake = open_store(case)
    fake.faults.history = 10**6
    found = client.wait_for_change('a', 3, 0.05)
    case.assertTrue(found.is_ok())
    case.assertIsNone(found.ok_value)


def test_keys_are_deleted_with_their_lease(case):
    client, fake = open_store(case)
    lease = client.grant_lease(5).ok_value
    client.put('a', b'1', lease)
    case.assertTrue(client.renew_lease(lease).ok_value)
    fake.end_leases()
    case.assertFalse(client.renew_lease(lease).ok_value)
    case.assertIsNone(client.read('a').ok_value)


def test_shard_log_works_on_the_store(case):
    client, fake = open_store(case)
    log = shardlog.ShardLog(client, 0)
    case.assertTrue(log.read().ok_value.empty)
    event = events.OwnerChanged(1, 'vm-1', [])
    case.assertEqual(log.append([event]).ok_value, 0)
    fake.faults.lost = True
    case.assertEqual(log.append([event]).ok_value, 1)
    fake.faults.lost = False
    case.assertTrue(log.check_head().ok_value)
    rival_log = shardlog.ShardLog(client, 0)
    rival_log.read()
    rival_log.append([event])
    case.assertIsInstance(log.append([event]).err_value, shardlog.Deposed)
    case.assertEqual(
        len(shardlog.ShardLog(client, 0).read().ok_value.batches), 3
    )


def test_lost_watch_is_replaced_within_the_contact_limit(case):
    noticed_seconds = store_client.WATCH_SECONDS + store_client.CALL_SECONDS
    read_again_seconds = noticed_seconds + 1.5 * configuration.RETRY_SECONDS
    # The platform's contact limit, contactMs in its bounds.
    case.assertLess(read_again_seconds, 3.0)


def test_names_are_listed_over_all_pages(case):
    client, fake = open_store(case)
    for number in range(8):
        fake.set_item(f'zones/{number}', '')
    fake.set_item('zonesque', '')
    names = client.list_keys('zones/').ok_value
    case.assertEqual([key[-1] for key in names.keys], list('01234567'))


def test_watch_of_names_reports_writes_and_deletions(case):
    client, fake = open_store(case)
    empty = client.list_keys('zones/').ok_value
    fake.set_item('zones/a', '')
    changed = client.wait_for_key_changes('zones/', empty.revision, 1)
    case.assertEqual(changed.ok_value.revision, 0)
    listed = client.list_keys('zones/').ok_value
    case.assertEqual(listed.keys, ['zones/a'])
    fake.revoke('zones/a')
    changed = client.wait_for_key_changes('zones/', listed.revision, 1)
    case.assertEqual(changed.ok_value.revision, 0)


def test_unchanged_watch_of_names_returns_a_later_revision(case):
    client, fake = open_store(case)
    empty = client.list_keys('zones/').ok_value
    fake.set_item('other', '')
    found = client.wait_for_key_changes(
        'zones/', empty.revision, 0.05
    ).ok_value
    case.assertGreater(found.revision, empty.revision)


def test_names_are_reported_changed_after_dropped_history(case):
    client, fake = open_store(case)
    fake.faults.history = 10**6
    found = client.wait_for_key_changes('zones/', 3, 0.05)
    case.assertEqual(found.ok_value.revision, 0)
