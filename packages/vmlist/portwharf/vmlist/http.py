# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The VM list over HTTP: ``GET /vms`` returns JSON with a map for each VM."""

import json

import result
import urllib3

from portwharf.core import codec
from portwharf.core import data
from portwharf.vmlist import base

CALL_TIMEOUT_SECONDS = 2.0


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

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.close()

    def read(self):
        try:
            response = self._pool.request('GET', '/vms')
            if response.status != 200:
                return result.Err(f'HTTP status {response.status}')
            vms = json.loads(response.data)['vms']
            return result.Ok([codec.from_map(data.Vm, vm) for vm in vms])
        except (urllib3.exceptions.HTTPError, TypeError) as exc:
            return result.Err(str(exc))
        except (ValueError, KeyError) as exc:
            return result.Err(f'invalid VM list: {exc}')
