# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The etcd client against a fake gateway, with and without faults."""

import threading

from portwharf import store
from portwharf.testing import fake_store as fakes
from portwharf.testing import fixtures


def open_served(case):
    """Return a client and the fake gateway, which a real server serves."""
    fake = fakes.FakeStore()
    port = fixtures.serve(case, fake, threads=8)
    case.addCleanup(fake.close)
    return case.enterContext(store.open_etcd('127.0.0.1', port)), fake


def test_swap_creates_a_key_only_once(case):
    kv, _ = fixtures.make_store()
    case.assertTrue(kv.swap('a', b'one', 0).ok_value.done)
    case.assertFalse(kv.swap('a', b'two', 0).ok_value.done)
    case.assertEqual(kv.read('a').ok_value.value, b'one')


def test_swap_requires_the_current_revision(case):
    kv, _ = fixtures.make_store()
    first = kv.swap('a', b'one', 0).ok_value.revision
    second = kv.swap('a', b'two', first).ok_value.revision
    case.assertGreater(second, first)
    case.assertFalse(kv.swap('a', b'three', first).ok_value.done)


def test_swap_requires_an_unchanged_guard(case):
    kv, _ = fixtures.make_store()
    kv.swap('guard', b'', 0)
    guard = kv.read('guard').ok_value
    kv.swap('guard', b'changed', guard.revision)
    case.assertFalse(kv.swap('a', b'x', 0, guard).ok_value.done)
    case.assertIsNone(kv.read('a').ok_value)


def test_range_is_sorted_and_limited(case):
    kv, _ = fixtures.make_store()
    for key in ('k/2', 'k/1', 'k/3', 'l/1'):
        kv.swap(key, key.encode(), 0)
    last = store.find_prefix_end('k/')
    entries = kv.read_range('k/', last, limit=2).ok_value
    case.assertEqual([entry.key for entry in entries], ['k/1', 'k/2'])


def test_delete_range_excludes_its_end(case):
    kv, _ = fixtures.make_store()
    for key in ('k/1', 'k/2', 'k/3'):
        kv.swap(key, b'', 0)
    case.assertEqual(kv.delete_range('k/1', 'k/3').ok_value, 2)
    case.assertIsNotNone(kv.read('k/3').ok_value)


def test_effect_is_unknown_if_the_answer_is_lost(case):
    kv, fake = fixtures.make_store()
    fake.faults.lose_answers = 1
    case.assertTrue(kv.swap('a', b'one', 0).err_value.unknown)
    case.assertEqual(kv.read('a').ok_value.value, b'one')


def test_call_refused_by_the_rate_limit_has_no_effect(case):
    kv, fake = fixtures.make_store()
    fake.faults.writes_per_second = 1
    errors = [
        answer.err_value
        for answer in (kv.swap(f'k{n}', b'', 0) for n in range(20))
        if answer.is_err()
    ]
    case.assertTrue(errors)
    case.assertFalse(any(error.unknown for error in errors))
    case.assertEqual(len(fake.list_keys()), 20 - len(errors))


def test_calls_are_counted(case):
    kv, fake = fixtures.make_store()
    kv.read('a')
    kv.swap('a', b'', 0)
    case.assertEqual((fake.reads, fake.writes), (1, 1))


def test_call_without_a_server_has_no_effect(case):
    kv, fake = open_served(case)
    with store.open_etcd('127.0.0.1', 1) as unreachable:
        case.assertFalse(unreachable.swap('a', b'', 0).err_value.unknown)


def test_watch_reports_a_later_change(case):
    kv, fake = open_served(case)
    revision = kv.swap('a', b'one', 0).ok_value.revision
    found = []
    thread = threading.Thread(
        target=lambda: found.append(kv.wait_for_change('a', revision, 20))
    )
    thread.start()
    kv.swap('a', b'two', revision)
    thread.join()
    case.assertEqual(found[0].ok_value.value, b'two')
    case.assertEqual(fake.watches, 1)


def test_watch_reports_a_change_before_it_was_opened(case):
    kv, _ = open_served(case)
    revision = kv.swap('a', b'one', 0).ok_value.revision
    kv.swap('a', b'two', revision)
    found = kv.wait_for_change('a', revision, 20)
    case.assertEqual(found.ok_value.value, b'two')


def test_dropped_watch_ends_without_a_change(case):
    kv, fake = open_served(case)
    revision = kv.swap('a', b'one', 0).ok_value.revision
    fake.faults.drop_watches = True
    case.assertIsNone(kv.wait_for_change('a', revision, 20).ok_value)


def test_slow_answer_is_accepted(case):
    kv, fake = open_served(case)
    fake.faults.slow_seconds = 0.6
    case.assertTrue(kv.swap('a', b'', 0).is_ok())


def test_keys_are_listed_and_their_changes_reported(case):
    kv, fake = open_served(case)
    kv.swap('z/a', b'one', 0)
    kv.swap('zz', b'other', 0)
    names = kv.list_keys('z/').ok_value
    case.assertEqual(names.keys, ['z/a'])
    kv.swap('other', b'', 0)
    quiet = kv.wait_for_key_changes('z/', names.revision, 0.2)
    case.assertEqual(quiet.ok_value.revision, names.revision)
    fake.remove('z/a')
    changed = kv.wait_for_key_changes('z/', names.revision, 2.0)
    case.assertEqual(changed.ok_value.revision, 0)


def open_odd(case, raw):
    """Return the client of a gateway that always answers with a body."""

    def answer(environ, start_response):
        start_response('200 OK', [('Content-Length', str(len(raw)))])
        return [raw]

    port = fixtures.serve(case, answer)
    return case.enterContext(store.open_etcd('127.0.0.1', port))


def test_odd_answer_is_an_error(case):
    """Guards against threads that end by one answer (incident 0035)."""
    large = b'9' * 400
    odd = (
        b'[' * 60_000,
        b'[]',
        b'null',
        b'{"kvs": [7], "succeeded": true, "deleted": []}',
        b'{"kvs": [{"key": "a"}], "succeeded": true, "deleted": "x"}',
        b'{"kvs": {"a": 1}, "header": {"revision": []}, "succeeded": 1,'
        b' "deleted": {}}',
        b'{"kvs": [{"key": 7, "mod_revision": ' + large + b'}],'
        b' "succeeded": true, "header": 7, "deleted": null}',
    )
    for raw in odd:
        kv = open_odd(case, raw)
        for found in (
            kv.read('a'),
            kv.read_range('a', 'b'),
            kv.list_keys('a'),
        ):
            case.assertTrue(found.is_err(), raw[:60])
        for written in (kv.swap('a', b'x', 0), kv.delete_range('a', 'b')):
            case.assertTrue(written.err_value.unknown)


def test_odd_event_of_a_watch_is_an_error(case):
    odd = (
        b'[' * 60_000,
        b'[]',
        b'{"result": 7}',
        b'{"result": {"events": 7}}',
        b'{"result": {"events": [{"kv": 7}]}}',
        b'{"result": {"events": [{"kv": {"key": "a"}}]}}',
    )
    for raw in odd:
        kv = open_odd(case, raw + b'\n')
        case.assertTrue(kv.wait_for_change('a', 1, 1).is_err(), raw[:60])
