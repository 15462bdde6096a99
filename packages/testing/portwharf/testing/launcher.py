# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts a deployment of plain processes on loopback addresses.

Every VM and entry gets settings of its own, written from one deployment
file. Only this launcher starts processes; portwharf's own start none.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib

import urllib3

from portwharf.core import codec
from portwharf.core import data

_READY_SECONDS = 30
_STOP_SECONDS = 20
_SIDE_PORTS = 100
_PAGES_PORTS = 200
_WORKER_PORTS = 300
_RUNNER_PORTS = 400
_STORE_PORT = 1
_LIST_PORT = 2
_ENTRY_PORTS = 10


@dataclasses.dataclass(slots=True)
class Process:
    """One process that the launcher started."""

    name: str = ''
    argv: list = dataclasses.field(default_factory=list)
    handle: subprocess.Popen = None


class Deployment:
    """All processes of a deployment; a context manager that ends them."""

    def __init__(self, path, folder):
        """Take a deployment file and a folder for settings and logs."""
        with open(path, 'rb') as source:
            self.spec = tomllib.load(source)
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self._base = self.spec['deployment']['base_port']
        self._address = self.spec['deployment']['address']
        self._shards = self.spec['deployment'].get('shards', 1)
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self.extra_side = ''

    def __enter__(self):
        try:
            self.start_all()
        except BaseException:
            self.stop_all()
            raise
        return self

    def __exit__(self, *exc_info):
        self.stop_all()

    @property
    def entries(self):
        """IP:PORT of each entry."""
        count = self.spec['deployment']['entries']
        return [
            f'{self._address}:{self._base + _ENTRY_PORTS + number}'
            for number in range(count)
        ]

    def list_vms(self):
        """Return all VMs of the deployment as the VM list shows them."""
        spec = self.spec['deployment']
        zones = spec['zones']
        vms = []
        for number in range(spec['vms']):
            rack = number // spec['vms_in_a_rack']
            zone = zones[rack % len(zones)]
            port = self._base + _SIDE_PORTS + number
            name = f'vm-{number:02d}'
            vm = data.Vm(name, self._address, port, zone, f'rack-{rack}')
            vm.shard = number % self._shards
            vms.append(vm)
        for number in range(spec['entries']):
            port = self._base + _ENTRY_PORTS + number
            zone = zones[number % len(zones)]
            vm = data.Vm(f'entry-{number}', self._address, port, zone, 'none')
            vm.role = data.Role.ENTRY
            vms.append(vm)
        return vms

    def start_all(self):
        """Start stand-ins, sides and entries, and wait until all listen."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        vms = self.list_vms()
        sides = [vm for vm in vms if vm.role == data.Role.ENDPOINT]
        for number, _ in enumerate(sides):
            self._start_vm(number)
        for number, vm in enumerate(sides):
            self._start_side(number, vm)
        for vm in vms:
            if vm.role == data.Role.ENTRY:
                self._start_entry(vm)
        for place in self.entries:
            self._wait_ready(f'http://{place}/readyz')

    def stop_all(self):
        """Stop entries first, then sides, then stand-ins."""
        for process in reversed(list(self.processes.values())):
            self.stop(process.name, wait=False)
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.handle.wait(_STOP_SECONDS)
                continue
            process.handle.kill()
            process.handle.wait()

    def stop(self, name, wait=True):
        """Ask a process for a planned stop."""
        handle = self.processes[name].handle
        with contextlib.suppress(ProcessLookupError):
            handle.send_signal(signal.SIGCONT)
            handle.send_signal(signal.SIGTERM)
        if wait:
            handle.wait(_STOP_SECONDS)

    def kill(self, name):
        """Kill a process."""
        handle = self.processes[name].handle
        handle.kill()
        handle.wait()

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].handle.send_signal(number)

    def restart(self, name):
        """Start a process again that has ended."""
        self._spawn(name, self.processes[name].argv)

    def fetch(self, url, body=None):
        """Get, or post to, a stand-in's page; returns JSON."""
        method = 'GET' if body is None else 'POST'
        raw = None if body is None else json.dumps(body)
        return json.loads(self._http.request(method, url, body=raw).data)

    def get_url(self, kind, number=0):
        """Return the URL of a stand-in or of a side's pages.

        :param kind: store, vm_list, worker, runner or pages
        """
        port = {
            'store': _STORE_PORT,
            'vm_list': _LIST_PORT,
            'worker': _WORKER_PORTS + number,
            'runner': _RUNNER_PORTS + number,
            'pages': _PAGES_PORTS + number,
        }[kind]
        return f'http://{self._address}:{self._base + port}'

    def read_pid(self, name):
        """Return the process id of a process."""
        return self.processes[name].handle.pid

    def _place(self, offset):
        return {'address': self._address, 'port': self._base + offset}

    def _start_platform(self):
        spec = {
            'store': self._place(_STORE_PORT),
            'vm_list': self._place(_LIST_PORT),
            'vms': [codec.to_map(vm) for vm in self.list_vms()],
        }
        self._start_standin('platform', 'platform', spec)
        self._wait_ready(self.get_url('vm_list') + '/vms')

    def _start_vm(self, number):
        size = self.spec['vm']
        capacity = {
            name: size[name]
            for name in ('cpu_milli', 'memory_mb', 'accelerators')
        }
        spec = {
            'worker': self._place(_WORKER_PORTS + number),
            'runner': self._place(_RUNNER_PORTS + number),
            'capacity': capacity,
        }
        self._start_standin(f'standin-{number:02d}', 'vm', spec)

    def _start_standin(self, name, kind, spec):
        module = 'portwharf.testing.standins'
        argv = [sys.executable, '-m', module, kind, json.dumps(spec)]
        self._spawn(name, argv)

    def _start_side(self, number, vm):
        size = self.spec['vm']
        pages = self._base + _PAGES_PORTS + number
        text = _SIDE_TEXT.format(
            vm=vm,
            pages=pages,
            store=_write_place(self._place(_STORE_PORT)),
            vm_list=_write_place(self._place(_LIST_PORT)),
            worker=_write_place(self._place(_WORKER_PORTS + number)),
            runner=_write_place(self._place(_RUNNER_PORTS + number)),
            shards=self._shards,
            slots=size['slots'],
            connections=size['connections'],
        )
        path = self.folder / f'{vm.name}.toml'
        path.write_text(text + self.extra_side)
        binary = os.path.join(os.path.dirname(sys.executable), '')
        self._spawn(vm.name, [f'{binary}portwharf-side', str(path)])

    def _start_entry(self, vm):
        text = _ENTRY_TEXT.format(
            vm=vm,
            shards=self._shards,
            store=_write_place(self._place(_STORE_PORT)),
            vm_list=_write_place(self._place(_LIST_PORT)),
        )
        path = self.folder / f'{vm.name}.toml'
        path.write_text(text)
        binary = os.path.join(os.path.dirname(sys.executable), '')
        self._spawn(vm.name, [f'{binary}portwharf', 'serve', str(path)])

    def _spawn(self, name, argv):
        log = open(self.folder / f'{name}.log', 'ab')
        with log:
            handle = subprocess.Popen(
                argv, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.processes[name] = Process(name, argv, handle)

    def _wait_ready(self, url):
        deadline = time.monotonic() + _READY_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._http.request('GET', url).status == 200:
                    return
            time.sleep(0.1)
        raise RuntimeError(f'{url} did not become ready; see {self.folder}')


def _write_place(place):
    return f'address = "{place["address"]}"\nport = {place["port"]}'


_SIDE_TEXT = """\
[vm]
name = "{vm.name}"
address = "{vm.address}"
port = {vm.port}
pages_port = {pages}
availability_zone = "{vm.availability_zone}"
rack = "{vm.rack}"
shard = {vm.shard}

[shards]
count = {shards}

[store]
{store}

[vm_list]
{vm_list}

[worker]
{worker}

[runner]
{runner}
slots = {slots}
connections = {connections}

[tls]
plaintext = true

[log]
style = "text"
"""

_ENTRY_TEXT = """\
[entry]
name = "{vm.name}"
address = "{vm.address}"
port = {vm.port}
availability_zone = "{vm.availability_zone}"

[shards]
count = {shards}

[store]
{store}

[vm_list]
{vm_list}

[tls]
plaintext = true

[log]
style = "text"
"""
