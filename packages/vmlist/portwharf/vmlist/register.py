# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""VMs that register themselves in the store, where nobody lists them.

Each process keeps one key under a lease. The register serves for finding
each other and for noticing who is gone, and never for safety: a key can go
while its process lives, and comes back as soon as the process sees that.
The revision of a process's first registration is its fencing token: it
rises with each start and belongs to one process alone. The key names the
process's start, so that the token is found although no answer came.
"""

import dataclasses
import ipaddress
import logging
import threading

import result

from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.core import recent
from portwharf import store
from portwharf.vmlist import base
from portwharf.vmlist import metrics

LOG = logging.getLogger(__name__)

PREFIX = 'vms/'
# A key stays this long after its process's last sign of life.
LEASE_SECONDS = 6.0
# Between two looks; a key that has gone is back within this and a call.
LOOK_SECONDS = 1.5
_FIRST_SECONDS = 0.1
# Suspensions that are logged; clocks are read one after the other.
NOTABLE_SECONDS = 0.1
MOST_PORT = 65536
# Entries that cannot be read whose revisions are remembered.
MAX_SKIPPED = 1000
# Of a reason that is logged, in characters.
MAX_REASON = 200


class Register(base.VmList):
    """The list of all VMs that are registered."""

    def __init__(self, kv):
        """Take the store."""
        self._kv = kv
        # The revisions of entries that could not be read, by key.
        self._skipped = recent.Recent(MAX_SKIPPED)

    def read(self):
        last = store.find_prefix_end(PREFIX)
        listed = self._kv.read_range(PREFIX, last)
        if listed.is_err():
            return result.Err(listed.err_value.text)
        found = [self._read_vm(entry) for entry in listed.ok_value]
        return result.Ok([vm for vm in found if vm is not None])

    def _read_vm(self, entry):
        """Return the VM of an entry, or None if it cannot be read.

        Others can write there as well, and who is on the list is dialled.
        """
        try:
            vm = codec.unpack(data.Vm, entry.value)
            check_vm(entry.key, vm)
        except ValueError as exc:
            metrics.SKIPPED.inc()
            if self._skipped.get(entry.key) != entry.revision:
                self._skipped.put(entry.key, entry.revision)
                reason = f'{exc}'[:MAX_REASON]
                extra = logs.fields(vm=entry.key, reason=reason)
                LOG.warning('registration skipped', extra=extra)
            return None
        return dataclasses.replace(vm, instance='')


class Registration(Register):
    """The list, and this VM kept on it; a context manager.

    The key is left to its lease at the end, as most ends are restarts.
    """

    def __init__(self, kv, vm):
        """Take a ``store.LeaseStore`` and this process's VM."""
        super().__init__(kv)
        self._vm = dataclasses.replace(vm, instance=ids.make_nonce())
        self._key = PREFIX + vm.name
        self._lease = 0
        self._present = False
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

    def look(self):
        """Renew the lease, and write the key anew if it has gone.

        :returns: whether the key is there
        """
        if self._present and self._is_kept():
            return True
        if self._present:
            LOG.warning('registration lost', extra=logs.fields(vm=self._key))
        self._present = False
        opened = self._kv.open_lease(LEASE_SECONDS)
        if opened.is_err():
            return False
        self._lease = opened.ok_value
        revision = self._write()
        if not revision:
            return False
        self._present = True
        self.token = self.token or revision
        self.registered.set()
        LOG.info('registered', extra=logs.fields(vm=self._vm.name))
        return True

    def _write(self):
        """Write the key; returns the revision, or 0 if it may not be there.

        Without an answer the key is looked at. It counts only if this start
        of the process wrote it: a former one's token is never used twice.
        """
        written = self._kv.put(self._key, codec.pack(self._vm), self._lease)
        if written.is_ok():
            return written.ok_value.revision
        found = self._kv.read(self._key)
        if found.is_err() or found.ok_value is None:
            return 0
        try:
            there = codec.unpack(data.Vm, found.ok_value.value)
        except ValueError:
            # Another wrote it over ours.
            return 0
        ours = there.instance == self._vm.instance
        return found.ok_value.revision if ours else 0

    def _is_kept(self):
        """Renew; tells whether lease and key are still there.

        Without an answer both count as kept, until the store says more.
        """
        kept = self._kv.keep_lease(self._lease)
        if kept.is_err():
            return True
        if not kept.ok_value:
            return False
        found = self._kv.read(self._key)
        if found.is_err():
            return True
        # What another has garbled is written anew.
        entry = found.ok_value
        return entry is not None and self._read_vm(entry) is not None

    def _run(self):
        wait = _FIRST_SECONDS
        suspensions = clock.SuspensionMonitor()
        while not self._stop.is_set():
            seconds = suspensions.take_suspended_seconds()
            if seconds >= NOTABLE_SECONDS:
                extra = logs.fields(took_ms=int(seconds * 1000))
                LOG.warning('the machine was suspended', extra=extra)
            wait = LOOK_SECONDS if self.look() else _FIRST_SECONDS
            self._stop.wait(wait)


def check_vm(key, vm):
    """Check an entry of the register.

    :raises ValueError: it is of another VM, or cannot be dialled
    """
    if key != PREFIX + vm.name:
        raise ValueError(f'names {vm.name!r:.60}')
    ipaddress.ip_address(vm.address)
    if not 0 < vm.port < MOST_PORT:
        raise ValueError(f'port {vm.port}')
    data.Role(vm.role)
