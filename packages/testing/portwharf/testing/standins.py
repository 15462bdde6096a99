# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Runs the fake services in a process, for ``make run`` and ``make faults``.

``platform`` serves the key-value store and the VM list; ``vm`` serves the
worker and the runner of one endpoint VM.
"""

import contextlib
import json
import signal
import sys
import threading

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import web
from portwharf.testing import fake_store
from portwharf.testing import runner
from portwharf.testing import vms
from portwharf.testing import worker

_STORE_THREADS = 96
_LIST_THREADS = 32
_RUNNER_THREADS = 64


def run_platform(spec):
    """Serve the store and the VM list until a signal stops the process."""
    initial_vms = [codec.from_map(data.Vm, row) for row in spec['vms']]
    with contextlib.ExitStack() as stack:
        store = fake_store.FakeStore()
        _start_server(stack, spec['store'], store, _STORE_THREADS)
        stack.callback(store.close)
        _start_server(
            stack,
            spec['vm_list'],
            vms.FakeVmListService(initial_vms),
            _LIST_THREADS,
        )
        _wait_for_stop()


def run_vm(spec):
    """Serve a worker and a runner until a signal stops the process."""
    capacity = data.Resources(**spec['capacity'])
    with contextlib.ExitStack() as stack:
        _start_server(
            stack, spec['worker'], worker.FakeWorkerService(capacity), 4
        )
        _start_server(
            stack, spec['runner'], runner.FakeRunner(), _RUNNER_THREADS
        )
        _wait_for_stop()


def _start_server(stack, endpoint, app, threads):
    server = web.Server(endpoint['address'], endpoint['port'], app, threads)
    stack.enter_context(server)


def _wait_for_stop():
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    print('ready', flush=True)
    stop_requested.wait()


def main():
    """Run the kind that the first argument names; the second is its spec.

    The kind is ``platform`` or ``vm``, the spec a JSON object.
    """
    spec = json.loads(sys.argv[2])
    if sys.argv[1] == 'platform':
        run_platform(spec)
    else:
        run_vm(spec)


if __name__ == '__main__':
    main()
