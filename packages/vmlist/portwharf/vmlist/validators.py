# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Validates listed VMs, as others write them and processes connect to them."""

import ipaddress
import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.vmlist import metrics

LOG = logging.getLogger(__name__)

# One more than the highest port, and than the highest shard.
PORT_LIMIT = 65536
SHARD_LIMIT = 10_000
MAX_NAME_CHARACTERS = 200
MAX_REASON_CHARACTERS = 200


def check_vm(vm):
    """Validate a listed VM.

    :param vm: the ``data.Vm``
    :raises ValueError: its name, address, port, shard, role or state is not
        valid
    """
    if not 0 < len(vm.name) <= MAX_NAME_CHARACTERS:
        raise ValueError(f'the VM name {vm.name!r:.60} is empty or too long')
    ipaddress.ip_address(vm.address)
    if not 0 < vm.port < PORT_LIMIT:
        raise ValueError(f'port {vm.port} is not from 1 to 65535')
    if not 0 <= vm.shard < SHARD_LIMIT:
        raise ValueError(f'shard {vm.shard} is not from 0 to 9999')
    data.Role(vm.role)
    data.VmState(vm.state)


def record_skipped(name, exc, is_new=True):
    """Count an entry that is skipped, and log it.

    :param name: the name or key of the entry, as far as it is known
    :param exc: why it cannot be read
    :param is_new: whether it is logged
    """
    metrics.SKIPPED_ENTRIES.inc()
    if is_new:
        reason = f'{type(exc).__name__}: {exc}'[:MAX_REASON_CHARACTERS]
        extra = logs.fields(vm=name, reason=reason)
        LOG.warning('registration skipped', extra=extra)
