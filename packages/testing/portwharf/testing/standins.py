# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Run stand-ins as processes of their own, for ``make run`` and faults.

``platform`` is the key-value service and the VM list; ``vm`` is a worker
and a runner, as they stand on one endpoint VM.
"""

import contextlib
import json
import signal
import sys
import threading

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import web
from portwharf.testing import kv
from portwharf.testing import runner
from portwharf.testing import vms
from portwharf.testing import worker

_STORE_THREADS = 96
_LIST_THREADS = 32
_RUNNER_THREADS = 64


def run_platform(spec):
    """Serve the store and the VM list."""
    listed = [codec.from_map(data.Vm, row) for row in spec['vms']]
    with contextlib.ExitStack() as stack:
        store = kv.StoreStandIn()
        _serve(stack, spec['store'], store, _STORE_THREADS)
        stack.callback(store.close)
        _serve(
            stack, spec['vm_list'], vms.VmListStandIn(listed), _LIST_THREADS
        )
        _wait_for_stop()


def run_vm(spec):
    """Serve a worker and a runner."""
    capacity = data.Resources(**spec['capacity'])
    with contextlib.ExitStack() as stack:
        _serve(stack, spec['worker'], worker.WorkerStandIn(capacity), 4)
        _serve(stack, spec['runner'], runner.RunnerStandIn(), _RUNNER_THREADS)
        _wait_for_stop()


def _serve(stack, place, app, threads):
    server = web.Server(place['address'], place['port'], app, threads)
    stack.enter_context(server)


def _wait_for_stop():
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print('ready', flush=True)
    stopped.wait()


def main():
    """Run the stand-in that the first argument names, by a JSON spec."""
    spec = json.loads(sys.argv[2])
    if sys.argv[1] == 'platform':
        run_platform(spec)
    else:
        run_vm(spec)


if __name__ == '__main__':
    main()
