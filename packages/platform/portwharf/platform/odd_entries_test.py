# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What others write to the store costs their entries alone.

These guard against processes that end, or stop following a list, by one odd
entry of another writer (incident 0035).
"""

import base64
import json

import msgpack

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import store_client
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf import vmlist

LARGE = 10**400
GOOD = {'privateKey': 'a/2', 'value': 'eA==', 'rev': 12}
ODD_ITEMS = (
    None,
    7,
    [],
    {},
    {**GOOD, 'privateKey': 7},
    {**GOOD, 'privateKey': '\ud800'},
    {**GOOD, 'rev': LARGE},
    {**GOOD, 'rev': 'x'},
)
ODD_VALUES = (LARGE, [], 'no base64', '\ud800', {'a': 1})
DEEP = b'\x91' * 100_000 + b'\x90'
VM = data.Vm('vm-1', '127.0.0.1', 7720, 'zone-1')


def open_client(case, body, status=200):
    """Return the client of a store that always answers with a body."""

    def answer(environ, start_response):
        return platform_store.answer(start_response, status, body)

    port = fixtures.serve(case, answer)
    endpoint = settings.Endpoint('127.0.0.1', port)
    return case.enterContext(store_client.PlatformStore(endpoint))


def test_odd_items_of_a_range_are_passed_over(case):
    before = fixtures.read_counter('portwharf_unreadable', kind='store-item')
    items = [*ODD_ITEMS, GOOD]
    client = open_client(case, {'items': items, 'at': 20, 'more': False})
    (entry,) = client.read_range('a/', 'b').ok_value
    case.assertEqual((entry.key, entry.value), ('a/2', b'x'))
    case.assertEqual(client.list_keys('a/').ok_value.keys, ['a/2'])
    after = fixtures.read_counter('portwharf_unreadable', kind='store-item')
    case.assertEqual(after - before, 2 * len(ODD_ITEMS))


def test_odd_value_is_read_as_none(case):
    for value in ODD_VALUES:
        items = [{**GOOD, 'value': value}]
        client = open_client(case, {'items': items, 'at': 20})
        (entry,) = client.read_range('a/', 'b').ok_value
        case.assertEqual((entry.value, entry.revision), (b'', 12))


def test_odd_events_of_a_watch_are_passed_over(case):
    events = [*ODD_ITEMS, {**GOOD, 'privateKey': 'a'}]
    client = open_client(case, {'events': events, 'at': 20})
    entry = client.wait_for_change('a', 1, 1).ok_value
    case.assertEqual(entry.value, b'x')
    for odd in ODD_ITEMS:
        client = open_client(case, {'events': [odd], 'at': 20})
        case.assertIsNone(client.wait_for_change('a', 1, 1).ok_value)
        changed = client.wait_for_key_changes('a', 1, 1).ok_value
        case.assertEqual(changed.revision, 0)


def test_odd_answer_is_an_error(case):
    odd = ({}, {'items': 7}, {'events': {}}, {'lease': LARGE, 'rev': -1})
    for body in (*odd, {'items': [], 'at': LARGE}, {'items': [7], 'more': 1}):
        client = open_client(case, body)
        for found in (
            client.read('a'),
            client.read_range('a/', 'b'),
            client.list_keys('a/'),
            client.wait_for_change('a', 1, 1),
            client.grant_lease(5),
        ):
            case.assertIn('unreadable answer', found.err_value.text)
        written = client.swap('a', b'x', 0).err_value
        case.assertTrue(written.unknown)


def test_page_without_a_readable_item_ends_the_reading(case):
    client = open_client(case, {'items': [7, 8], 'at': 20, 'more': True})
    case.assertTrue(client.read_range('a/', 'b').is_err())


def test_page_that_leads_to_itself_ends_the_reading(case):
    """The last readable item of each page is the first one of the next."""
    client = open_client(case, {'items': [GOOD, 7], 'at': 20, 'more': True})
    calls = []
    original = client._call

    def count_call(*args, **options):
        calls.append(args)
        case.assertLess(len(calls), 10)
        return original(*args, **options)

    client._call = count_call
    case.assertTrue(client.read_range('a/', 'b').is_err())
    case.assertTrue(client.list_keys('a/').is_err())


def test_odd_registrations_are_passed_over(case):
    """An odd one among those of other VMs, as another writer leaves it."""
    odd = [
        DEEP,
        b'\xc1',
        msgpack.packb([]),
        msgpack.packb({'name': 'vm-2', 'port': 2**64 - 1}),
        msgpack.packb({'name': 'vm-2', 'port': 1.5}),
    ]
    changes = (
        {'port': 70_000},
        {'port': 0},
        {'port': -1},
        {'shard': 2**63},
        {'shard': -1},
        {'state': 'odd'},
        {'role': 'odd'},
        {'address': 'nowhere'},
        {'name': 'x' * 300},
    )
    for change in changes:
        fields = {**codec.to_map(VM), 'name': 'vm-2', **change}
        odd.append(msgpack.packb(fields))
    before = fixtures.read_counter('portwharf_register_skipped')
    items = [
        {
            'privateKey': f'vms/{name}',
            'value': base64.b64encode(raw).decode(),
            'rev': 12,
        }
        for name, raw in [('vm-1', codec.pack(VM))]
        + [('vm-2', raw) for raw in odd]
    ]
    client = open_client(case, {'items': items, 'at': 20})
    listed = vmlist.Registry(client).read().ok_value
    case.assertEqual([vm.name for vm in listed], ['vm-1'])
    after = fixtures.read_counter('portwharf_register_skipped')
    case.assertEqual(after - before, len(odd))


def test_odd_vms_of_a_list_over_http_are_passed_over(case):
    good = codec.to_map(VM)
    deep = json.loads('[' * 900 + ']' * 900)
    odd = [7, None, deep, {**good, 'port': 70_000}, {**good, 'port': LARGE}]
    odd += [{**good, 'shard': 2**64}, {**good, 'state': 'odd'}]
    before = fixtures.read_counter('portwharf_register_skipped')

    def answer(environ, start_response):
        body = {'vms': [*odd, good]}
        return platform_store.answer(start_response, 200, body)

    port = fixtures.serve(case, answer)
    with vmlist.HttpVmList('127.0.0.1', port) as listing:
        (vm,) = listing.read().ok_value
    case.assertEqual(vm.name, 'vm-1')
    after = fixtures.read_counter('portwharf_register_skipped')
    case.assertEqual(after - before, len(odd))


def test_list_over_http_that_cannot_be_read_is_an_error(case):
    for raw in (b'[' * 60_000, b'[]', b'{"vms": 7}', b'null', b'{}'):

        def answer(environ, start_response, raw=raw):
            start_response('200 OK', [('Content-Length', str(len(raw)))])
            return [raw]

        port = fixtures.serve(case, answer)
        with vmlist.HttpVmList('127.0.0.1', port) as listing:
            case.assertTrue(listing.read().is_err())
