# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts a deployment as local processes on loopback addresses.

One deployment file describes it. The launcher writes a settings file for
each side and entry, and starts them and the fakes of the external services.
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
_SIDE_PORT_OFFSET = 100
_PAGES_PORT_OFFSET = 200
_WORKER_PORT_OFFSET = 300
_RUNNER_PORT_OFFSET = 400
_STORE_PORT_OFFSET = 1
_VM_LIST_PORT_OFFSET = 2
_ENTRY_PORT_OFFSET = 10


@dataclasses.dataclass(slots=True)
class Process:
    """A process that the launcher started; ``argv`` serves to restart it."""

    name: str = ''
    argv: list = dataclasses.field(default_factory=list)
    handle: subprocess.Popen = None


class Deployment:
    """The processes of a deployment; a context manager that runs them.

    :ivar extra_side_settings: TOML that is added to each side's settings
    """

    def __init__(self, path, folder):
        """Read a deployment file; no process is started yet.

        :param path: path of the deployment file
        :param folder: folder for settings and logs
        """
        with open(path, 'rb') as source:
            self.spec = tomllib.load(source)
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self._base_port = self.spec['deployment']['base_port']
        self._address = self.spec['deployment']['address']
        self._shards = self.spec['deployment'].get('shards', 1)
        self._pool = urllib3.PoolManager(retries=False, timeout=2.0)
        self.extra_side_settings = ''

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
        """IP:PORT of each entry, as text."""
        count = self.spec['deployment']['entries']
        return [
            f'{self._address}:{self._base_port + _ENTRY_PORT_OFFSET + number}'
            for number in range(count)
        ]

    def list_vms(self):
        """Return the VMs of sides and entries, as the VM list has them."""
        spec = self.spec['deployment']
        zones = spec['zones']
        vms = []
        for number in range(spec['vms']):
            rack = number // spec['vms_in_a_rack']
            zone = zones[rack % len(zones)]
            port = self._base_port + _SIDE_PORT_OFFSET + number
            name = f'vm-{number:02d}'
            vm = data.Vm(name, self._address, port, zone, f'rack-{rack}')
            vm.shard = number % self._shards
            vms.append(vm)
        for number in range(spec['entries']):
            port = self._base_port + _ENTRY_PORT_OFFSET + number
            zone = zones[number % len(zones)]
            vm = data.Vm(f'entry-{number}', self._address, port, zone, 'none')
            vm.role = data.Role.ENTRY
            vms.append(vm)
        return vms

    def start_all(self):
        """Start fakes, sides and entries; returns once all entries are ready.

        :raises RuntimeError: one is not ready in time
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_platform_fakes()
        vms = self.list_vms()
        sides = [vm for vm in vms if vm.role == data.Role.ENDPOINT]
        for number, _ in enumerate(sides):
            self._start_vm_fakes(number)
        for number, vm in enumerate(sides):
            self._start_side(number, vm)
        for vm in vms:
            if vm.role == data.Role.ENTRY:
                self._start_entry(vm)
        for endpoint in self.entries:
            self._wait_ready(f'http://{endpoint}/readyz')

    def stop_all(self):
        """Stop entries first, then sides, then fakes; kill any that hangs."""
        for process in reversed(list(self.processes.values())):
            self.stop(process.name, wait=False)
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.handle.wait(_STOP_SECONDS)
                continue
            process.handle.kill()
            process.handle.wait()

    def stop(self, name, wait=True):
        """Resume a process and ask it to stop.

        :param wait: whether to wait until it ends
        """
        handle = self.processes[name].handle
        with contextlib.suppress(ProcessLookupError):
            handle.send_signal(signal.SIGCONT)
            handle.send_signal(signal.SIGTERM)
        if wait:
            handle.wait(_STOP_SECONDS)

    def kill(self, name):
        """Kill a process and wait until it ends."""
        handle = self.processes[name].handle
        handle.kill()
        handle.wait()

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].handle.send_signal(number)

    def restart(self, name):
        """Start an ended process again, with the same arguments."""
        self._spawn(name, self.processes[name].argv)

    def fetch(self, url, body=None):
        """Request a URL and return the JSON that it answers.

        :param body: value to post as JSON; None for a GET request
        """
        method = 'GET' if body is None else 'POST'
        raw = None if body is None else json.dumps(body)
        return json.loads(self._pool.request(method, url, body=raw).data)

    def get_url(self, kind, number=0):
        """Return the URL of a fake or of a side's pages.

        :param kind: store, vm_list, worker, runner or pages
        :param number: the VM's number, except for store and vm_list
        """
        port = {
            'store': _STORE_PORT_OFFSET,
            'vm_list': _VM_LIST_PORT_OFFSET,
            'worker': _WORKER_PORT_OFFSET + number,
            'runner': _RUNNER_PORT_OFFSET + number,
            'pages': _PAGES_PORT_OFFSET + number,
        }[kind]
        return f'http://{self._address}:{self._base_port + port}'

    def read_pid(self, name):
        """Return the process id of a process."""
        return self.processes[name].handle.pid

    def _make_endpoint(self, offset):
        return {'address': self._address, 'port': self._base_port + offset}

    def _start_platform_fakes(self):
        spec = {
            'store': self._make_endpoint(_STORE_PORT_OFFSET),
            'vm_list': self._make_endpoint(_VM_LIST_PORT_OFFSET),
            'vms': [codec.to_map(vm) for vm in self.list_vms()],
        }
        self._start_fakes('platform', 'platform', spec)
        self._wait_ready(self.get_url('vm_list') + '/vms')

    def _start_vm_fakes(self, number):
        vm_spec = self.spec['vm']
        capacity = {
            name: vm_spec[name]
            for name in ('cpu_milli', 'memory_mb', 'accelerators')
        }
        spec = {
            'worker': self._make_endpoint(_WORKER_PORT_OFFSET + number),
            'runner': self._make_endpoint(_RUNNER_PORT_OFFSET + number),
            'capacity': capacity,
        }
        self._start_fakes(f'standin-{number:02d}', 'vm', spec)

    def _start_fakes(self, name, kind, spec):
        module = 'portwharf.testing.standins'
        argv = [sys.executable, '-m', module, kind, json.dumps(spec)]
        self._spawn(name, argv)

    def _start_side(self, number, vm):
        vm_spec = self.spec['vm']
        pages_port = self._base_port + _PAGES_PORT_OFFSET + number
        text = _SIDE_SETTINGS.format(
            vm=vm,
            pages_port=pages_port,
            store=_format_endpoint(self._make_endpoint(_STORE_PORT_OFFSET)),
            vm_list=_format_endpoint(
                self._make_endpoint(_VM_LIST_PORT_OFFSET)
            ),
            worker=_format_endpoint(
                self._make_endpoint(_WORKER_PORT_OFFSET + number)
            ),
            runner=_format_endpoint(
                self._make_endpoint(_RUNNER_PORT_OFFSET + number)
            ),
            shards=self._shards,
            slots=vm_spec['slots'],
            connections=vm_spec['connections'],
        )
        path = self.folder / f'{vm.name}.toml'
        path.write_text(text + self.extra_side_settings)
        bin_folder = os.path.join(os.path.dirname(sys.executable), '')
        self._spawn(vm.name, [f'{bin_folder}portwharf-side', str(path)])

    def _start_entry(self, vm):
        text = _ENTRY_SETTINGS.format(
            vm=vm,
            shards=self._shards,
            store=_format_endpoint(self._make_endpoint(_STORE_PORT_OFFSET)),
            vm_list=_format_endpoint(
                self._make_endpoint(_VM_LIST_PORT_OFFSET)
            ),
        )
        path = self.folder / f'{vm.name}.toml'
        path.write_text(text)
        bin_folder = os.path.join(os.path.dirname(sys.executable), '')
        self._spawn(vm.name, [f'{bin_folder}portwharf', 'serve', str(path)])

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
                if self._pool.request('GET', url).status == 200:
                    return
            time.sleep(0.1)
        raise RuntimeError(
            f'{url} was not ready in time; see the logs in {self.folder}'
        )


def _format_endpoint(endpoint):
    return f'address = "{endpoint["address"]}"\nport = {endpoint["port"]}'


_SIDE_SETTINGS = """\
[vm]
name = "{vm.name}"
address = "{vm.address}"
port = {vm.port}
pages_port = {pages_port}
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

_ENTRY_SETTINGS = """\
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
