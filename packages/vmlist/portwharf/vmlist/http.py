# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The VM list over HTTP: ``GET /vms`` returns JSON with a map for each VM."""

import result
import urllib3

from portwharf.core import bounded_cache
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import json_input
from portwharf.vmlist import base
from portwharf.vmlist import validators

CALL_TIMEOUT_SECONDS = 2.0
MAX_SKIPPED = 1000


class HttpVmList(base.VmList):
    """A client of the VM list, which the context manager closes."""

    def __init__(self, address, port):
        """Create a client of the service at an IP address and port."""
        self._pool = urllib3.HTTPConnectionPool(
            address,
            port,
            maxsize=1,
            retries=False,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        # Names of skipped entries, to log each of them once.
        self._skipped = bounded_cache.BoundedCache(MAX_SKIPPED)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def read(self):
        try:
            response = self._pool.request('GET', '/vms')
            if response.status != 200:
                return result.Err(f'HTTP status {response.status}')
            vms = json_input.decode_object(response.data)['vms']
            if not isinstance(vms, list):
                raise TypeError('"vms" is no list')
        except urllib3.exceptions.HTTPError as exc:
            return result.Err(str(exc))
        except (KeyError, TypeError, ValueError) as exc:
            return result.Err(f'invalid VM list: {exc}')
        found = [self._read_vm(value) for value in vms]
        return result.Ok([vm for vm in found if vm is not None])

    def _read_vm(self, value):
        """Return the ``data.Vm`` of an entry, or None if it is invalid."""
        try:
            vm = codec.from_map(data.Vm, value)
            validators.check_vm(vm)
        except (RecursionError, TypeError, ValueError) as exc:
            name = value.get('name') if isinstance(value, dict) else None
            name = ascii(name)[: validators.MAX_NAME_CHARACTERS]
            is_new = self._skipped.get(name) is None
            self._skipped.put(name, True)
            validators.record_skipped(name, exc, is_new)
            return None
        return vm
