# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""VMs are registered for as long as they live, whatever the store does."""

import dataclasses
from unittest import mock

import msgpack
import result

from portwharf.core import codec
from portwharf.core import settings
from portwharf.platform import kv
from portwharf import store
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf import vmlist


def open_registration(case):
    """Return a registration that is stepped by hand, and its store."""
    standin = platform_store.PlatformStoreStandIn()
    port = fixtures.serve(case, standin)
    client = kv.PlatformStore(settings.Endpoint('127.0.0.1', port))
    case.enterContext(client)
    vm = fixtures.make_vm(3)
    return vmlist.Registration(client, vm), standin, vm


def test_registered_vm_is_listed(case):
    made, _, vm = open_registration(case)
    case.assertEqual(made.read().ok_value, [])
    case.assertTrue(made.look())
    case.assertEqual(made.read().ok_value, [vm])


def test_token_is_the_first_revision_and_stays(case):
    made, standin, vm = open_registration(case)
    made.look()
    token = made.token
    standin.end_leases()
    case.assertTrue(made.look())
    case.assertEqual(made.token, token)
    other = vmlist.Registration(made._kv, vm)
    other.look()
    case.assertGreater(other.token, token)


def test_revoked_key_comes_back(case):
    made, standin, vm = open_registration(case)
    made.look()
    standin.revoke(f'vms/{vm.name}')
    case.assertEqual(made.read().ok_value, [])
    made.look()
    case.assertEqual(made.read().ok_value, [vm])


def test_outage_is_borne(case):
    made, standin, vm = open_registration(case)
    standin.faults.down = True
    case.assertFalse(made.look())
    case.assertFalse(made.registered.is_set())
    standin.faults.down = False
    case.assertTrue(made.look())
    standin.faults.down = True
    case.assertTrue(made.look())
    case.assertTrue(made.read().is_err())


def test_token_is_found_although_the_first_answer_was_lost(case):
    made, standin, _ = open_registration(case)
    standin.faults.lost = True
    unread = result.Err(store.StoreError('lost'))
    with mock.patch.object(kv.PlatformStore, 'read', lambda *_: unread):
        case.assertFalse(made.look())
        case.assertEqual(made.token, 0)
    standin.faults.lost = False
    case.assertTrue(made.look())
    case.assertGreater(made.token, 0)
    case.assertTrue(made.registered.is_set())


def test_token_is_found_although_no_writing_is_ever_answered(case):
    """What users saw: a VM that was heard ran nothing, for long.

    Its side had started again while most writings to the store were done
    and not answered. It wrote its registration again and again, and without
    the revision of one it has no token and may not look at its worker. The
    log said ``no fencing token yet`` all the while; reads were answered.
    """
    made, standin, vm = open_registration(case)
    standin.faults.lost = True
    case.assertTrue(made.look())
    case.assertTrue(made.registered.is_set())
    token = made.token
    case.assertGreater(token, 0)
    other = vmlist.Registration(made._kv, vm)
    case.assertTrue(other.look())
    case.assertGreater(other.token, token)


def test_writing_that_did_not_arrive_gives_no_token(case):
    """The key that is there is a former life's then."""
    made, _, vm = open_registration(case)
    made.look()
    other = vmlist.Registration(made._kv, vm)
    lost = result.Err(store.StoreError('lost', True))
    with mock.patch.object(kv.PlatformStore, 'put', lambda *_: lost):
        case.assertFalse(other.look())
    case.assertEqual(other.token, 0)
    case.assertTrue(other.look())
    case.assertGreater(other.token, made.token)


def test_token_is_never_that_of_a_former_life(case):
    made, standin, vm = open_registration(case)
    made.look()
    other = vmlist.Registration(made._kv, vm)
    # As after a writing that got no answer and did not arrive.
    other._lease = other._kv.open_lease(5).ok_value
    case.assertTrue(other.look())
    case.assertGreater(other.token, made.token)


def test_start_of_the_process_is_not_part_of_the_list(case):
    """It would count as a change of the member list with each restart."""
    made, _, vm = open_registration(case)
    made.look()
    vmlist.Registration(made._kv, vm).look()
    case.assertEqual(made.read().ok_value, [vm])


def test_entry_that_another_has_garbled_is_skipped_and_written_anew(case):
    made, standin, vm = open_registration(case)
    made.look()
    other = fixtures.make_vm(4)
    client = made._kv
    client.put(f'vms/{other.name}', codec.pack(other), 0)
    strange = {
        'vms/not-msgpack': b'\xc1\xff',
        'vms/a-list': msgpack.packb([1]),
        'vms/typed': msgpack.packb({'name': 'typed', 'port': 'x'}),
        'vms/other-name': codec.pack(other),
        f'vms/{vm.name}': b'',
    }
    for key, raw in strange.items():
        client.put(key, raw, 0)
    case.assertEqual(made.read().ok_value, [other])
    case.assertTrue(made.look())
    case.assertEqual(made.read().ok_value, [vm, other])


def test_entry_that_cannot_be_dialled_is_skipped(case):
    made, _, _ = open_registration(case)
    odd = (
        {'port': 0},
        {'port': 70_000},
        {'address': 'a.example'},
        {'role': 'pilot'},
    )
    for fields in odd:
        vm = dataclasses.replace(fixtures.make_vm(5), **fields)
        made._kv.put(f'vms/{vm.name}', codec.pack(vm), 0)
        case.assertEqual(made.read().ok_value, [])


def test_skipped_entry_is_logged_once(case):
    made, _, _ = open_registration(case)
    made._kv.put('vms/garbled', b'\xc1', 0)
    with case.assertLogs('portwharf.vmlist.register') as logged:
        made.read()
        made.read()
    case.assertEqual(len(logged.output), 1)
