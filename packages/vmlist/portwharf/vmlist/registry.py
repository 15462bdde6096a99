# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A registry of VMs in the store, for platforms without a VM list.

Each process keeps one key under a lease. The registry is used for discovery
and to notice failed VMs, never for safety: a key may be deleted while its
process is running, until the process notices and writes it again. The
revision of a process's first registration is its fencing token, which is
unique and increases with each start. The value identifies the start of the
process, so that the token can be read back if the write was not answered.
"""

import dataclasses
import logging
import threading

import result

from portwharf.core import bounded_cache
from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf import store
from portwharf.vmlist import base
from portwharf.vmlist import validators

LOG = logging.getLogger(__name__)

PREFIX = 'vms/'
LEASE_SECONDS = 6.0
# A deleted key is written again after at most this time plus that of a call to
# the store.
RENEWAL_INTERVAL_SECONDS = 1.5
_RETRY_INTERVAL_SECONDS = 0.1
# Shortest suspension that is logged, above the error from reading two clocks
# one after the other.
MIN_LOGGED_SUSPENSION_SECONDS = 0.1
MAX_SKIPPED_REVISIONS = 1000


class Registry(base.VmList):
    """The list of all registered VMs."""

    def __init__(self, kv):
        """Create a reader of the registry in a ``store.Store``."""
        self._kv = kv
        # Revisions of unreadable entries by key, to log each of them once.
        self._skipped_revisions = bounded_cache.BoundedCache(
            MAX_SKIPPED_REVISIONS
        )

    def read(self):
        last = store.find_prefix_end(PREFIX)
        listed = self._kv.read_range(PREFIX, last)
        if listed.is_err():
            return result.Err(listed.err_value.text)
        found = [self._read_vm(entry) for entry in listed.ok_value]
        return result.Ok([vm for vm in found if vm is not None])

    def _read_vm(self, entry):
        """Return the VM of an entry, or None if the entry is invalid.

        Entries are validated because other programs can write to the store
        and processes connect to every VM on the list.
        """
        try:
            vm = codec.unpack(data.Vm, entry.value)
            check_vm(entry.key, vm)
        except (RecursionError, ValueError) as exc:
            known = self._skipped_revisions.get(entry.key)
            self._skipped_revisions.put(entry.key, entry.revision)
            is_new = known != entry.revision
            validators.record_skipped(entry.key, exc, is_new)
            return None
        return dataclasses.replace(vm, instance='')


class Registration(Registry):
    """Keeps this VM registered while the context manager is open.

    The key is not deleted on exit but expires with its lease, as most
    processes that exit are restarted.

    :ivar registered: an event that is set by the first registration
    :ivar token: the fencing token, 0 before the first registration
    """

    def __init__(self, kv, vm):
        """Create the registration of a VM.

        :param kv: a ``store.LeaseStore``
        :param vm: the ``data.Vm`` of this process
        """
        super().__init__(kv)
        self._vm = dataclasses.replace(vm, instance=ids.make_nonce())
        self._key = PREFIX + vm.name
        self._lease = 0
        self._key_exists = False
        self._stop = threading.Event()
        self.registered = threading.Event()
        self.token = 0
        self._thread = threading.Thread(
            target=self._run, name='register', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()

    def renew(self):
        """Renew the lease, and write the key again if it was deleted.

        :returns: whether the VM is registered
        """
        if self._key_exists and self._renew_lease():
            return True
        if self._key_exists:
            LOG.warning('registration lost', extra=logs.fields(vm=self._key))
        self._key_exists = False
        opened = self._kv.grant_lease(LEASE_SECONDS)
        if opened.is_err():
            return False
        self._lease = opened.ok_value
        revision = self._write()
        if not revision:
            return False
        self._key_exists = True
        self.token = self.token or revision
        self.registered.set()
        LOG.info('VM registered', extra=logs.fields(vm=self._vm.name))
        return True

    def _write(self):
        """Write the key.

        If the write is not answered, the key is read back. It counts as
        written only if its value is from this start of the process, so that
        the token of a previous start is never reused.

        :returns: the revision, or 0 if the key may not have been written
        """
        written = self._kv.put(self._key, codec.pack(self._vm), self._lease)
        if written.is_ok():
            return written.ok_value.revision
        found = self._kv.read(self._key)
        if found.is_err() or found.ok_value is None:
            return 0
        try:
            stored = codec.unpack(data.Vm, found.ok_value.value)
        except ValueError:
            # Another program has overwritten the key.
            return 0
        is_own = stored.instance == self._vm.instance
        return found.ok_value.revision if is_own else 0

    def _renew_lease(self):
        """Renew the lease and return whether lease and key still exist.

        Both are assumed to exist while the store does not answer.
        """
        renewed = self._kv.renew_lease(self._lease)
        if renewed.is_err():
            return True
        if not renewed.ok_value:
            return False
        found = self._kv.read(self._key)
        if found.is_err():
            return True
        # An invalid value counts as missing, so that it is replaced.
        entry = found.ok_value
        return entry is not None and self._read_vm(entry) is not None

    def _run(self):
        wait_seconds = _RETRY_INTERVAL_SECONDS
        monitor = clock.SuspensionMonitor()
        while not self._stop.is_set():
            seconds = monitor.take_suspended_seconds()
            if seconds >= MIN_LOGGED_SUSPENSION_SECONDS:
                extra = logs.fields(took_ms=int(seconds * 1000))
                LOG.warning('machine was suspended', extra=extra)
            wait_seconds = (
                RENEWAL_INTERVAL_SECONDS
                if self.renew()
                else _RETRY_INTERVAL_SECONDS
            )
            self._stop.wait(wait_seconds)


def check_vm(key, vm):
    """Validate an entry of the registry.

    :param key: the key of the entry
    :param vm: the ``data.Vm`` that was read from its value
    :raises ValueError: the key is not that of the VM, or the VM is not valid
    """
    if key != PREFIX + vm.name:
        raise ValueError(f'key does not match the VM name {vm.name!r:.60}')
    validators.check_vm(vm)
