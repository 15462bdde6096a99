# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""VMs stay registered while they run, in spite of faults of the store."""

import dataclasses
from unittest import mock

import msgpack
import result

from portwharf.core import codec
from portwharf.core import settings
from portwharf.platform import store_client
from portwharf import store
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf import vmlist


def open_registration(case):
    """Return a registration without its thread, its fake store and its VM."""
    fake = platform_store.FakePlatformStore()
    port = fixtures.serve(case, fake)
    client = store_client.PlatformStore(settings.Endpoint('127.0.0.1', port))
    case.enterContext(client)
    vm = fixtures.make_vm(3)
    return vmlist.Registration(client, vm), fake, vm


def test_registered_vm_is_listed(case):
    registration, _, vm = open_registration(case)
    case.assertEqual(registration.read().ok_value, [])
    case.assertTrue(registration.renew())
    case.assertEqual(registration.read().ok_value, [vm])


def test_token_is_the_first_revision_and_does_not_change(case):
    registration, fake, vm = open_registration(case)
    registration.renew()
    token = registration.token
    fake.end_leases()
    case.assertTrue(registration.renew())
    case.assertEqual(registration.token, token)
    other = vmlist.Registration(registration._kv, vm)
    other.renew()
    case.assertGreater(other.token, token)


def test_revoked_key_is_written_again(case):
    registration, fake, vm = open_registration(case)
    registration.renew()
    fake.revoke(f'vms/{vm.name}')
    case.assertEqual(registration.read().ok_value, [])
    registration.renew()
    case.assertEqual(registration.read().ok_value, [vm])


def test_registration_survives_an_outage(case):
    registration, fake, vm = open_registration(case)
    fake.faults.down = True
    case.assertFalse(registration.renew())
    case.assertFalse(registration.registered.is_set())
    fake.faults.down = False
    case.assertTrue(registration.renew())
    fake.faults.down = True
    case.assertTrue(registration.renew())
    case.assertTrue(registration.read().is_err())


def test_token_is_read_back_after_the_first_answer_was_lost(case):
    registration, fake, _ = open_registration(case)
    fake.faults.lost = True
    unread = result.Err(store.StoreError('lost'))
    with mock.patch.object(
        store_client.PlatformStore, 'read', lambda *_: unread
    ):
        case.assertFalse(registration.renew())
        case.assertEqual(registration.token, 0)
    fake.faults.lost = False
    case.assertTrue(registration.renew())
    case.assertGreater(registration.token, 0)
    case.assertTrue(registration.registered.is_set())


def test_token_is_read_back_although_no_write_is_ever_answered(case):
    """A VM that was heard from ran no tasks for a long time.

    Its side had restarted while the store carried out most writes without
    answering them; reads were answered. The side wrote its registration
    again and again. Without the revision of a write it had no token and
    could not contact its worker; it kept logging ``no fencing token yet``.
    """
    registration, fake, vm = open_registration(case)
    fake.faults.lost = True
    case.assertTrue(registration.renew())
    case.assertTrue(registration.registered.is_set())
    token = registration.token
    case.assertGreater(token, 0)
    other = vmlist.Registration(registration._kv, vm)
    case.assertTrue(other.renew())
    case.assertGreater(other.token, token)


def test_lost_write_gives_no_token(case):
    """The existing key is that of the previous start of the process."""
    registration, _, vm = open_registration(case)
    registration.renew()
    other = vmlist.Registration(registration._kv, vm)
    lost = result.Err(store.StoreError('lost', True))
    with mock.patch.object(store_client.PlatformStore, 'put', lambda *_: lost):
        case.assertFalse(other.renew())
    case.assertEqual(other.token, 0)
    case.assertTrue(other.renew())
    case.assertGreater(other.token, registration.token)


def test_token_is_never_that_of_a_former_life(case):
    registration, fake, vm = open_registration(case)
    registration.renew()
    other = vmlist.Registration(registration._kv, vm)
    # This is the state after a write that was lost on its way to the store.
    other._lease = other._kv.grant_lease(5).ok_value
    case.assertTrue(other.renew())
    case.assertGreater(other.token, registration.token)


def test_instance_is_not_part_of_the_list(case):
    """Otherwise every restart would be a change of the member list."""
    registration, _, vm = open_registration(case)
    registration.renew()
    vmlist.Registration(registration._kv, vm).renew()
    case.assertEqual(registration.read().ok_value, [vm])


def test_corrupt_entry_is_skipped_and_the_own_one_written_again(case):
    registration, fake, vm = open_registration(case)
    registration.renew()
    other = fixtures.make_vm(4)
    client = registration._kv
    client.put(f'vms/{other.name}', codec.pack(other), 0)
    corrupt = {
        'vms/not-msgpack': b'\xc1\xff',
        'vms/a-list': msgpack.packb([1]),
        'vms/typed': msgpack.packb({'name': 'typed', 'port': 'x'}),
        'vms/other-name': codec.pack(other),
        f'vms/{vm.name}': b'',
    }
    for key, raw in corrupt.items():
        client.put(key, raw, 0)
    case.assertEqual(registration.read().ok_value, [other])
    case.assertTrue(registration.renew())
    case.assertEqual(registration.read().ok_value, [vm, other])


def test_entry_with_invalid_fields_is_skipped(case):
    registration, _, _ = open_registration(case)
    invalid = (
        {'port': 0},
        {'port': 70_000},
        {'address': 'a.example'},
        {'role': 'pilot'},
    )
    for fields in invalid:
        vm = dataclasses.replace(fixtures.make_vm(5), **fields)
        registration._kv.put(f'vms/{vm.name}', codec.pack(vm), 0)
        case.assertEqual(registration.read().ok_value, [])


def test_skipped_entry_is_logged_once(case):
    registration, _, _ = open_registration(case)
    registration._kv.put('vms/garbled', b'\xc1', 0)
    with case.assertLogs('portwharf.vmlist.validators') as logged:
        registration.read()
        registration.read()
    case.assertEqual(len(logged.output), 1)
