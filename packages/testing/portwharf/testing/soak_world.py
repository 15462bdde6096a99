# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The soak's world: portwharf's programs, the platform, and the faults.

Entries and sides are processes of their own, started as the platform starts
them, each on a loopback address of its own. The platform's store and the
runners are stand-ins in this process, so that checks can read their records.
Relays stand before each side and runner, and before the store for each
process; the store names them in the register in place of the sides' ports.
"""

import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import web
from portwharf.testing import platform_store
from portwharf.testing import relay
from portwharf.testing import soak_runner
from portwharf import vmlist

SIDES = 4
ENTRIES = 2
HOST = 'desk.example'
PREFIX = '/soak/'
# Availability zones; sides are in each in turn.
ZONES = 3
POOL = 'soak-pool'
MAX_FAILURES = 3
_ROOT = pathlib.Path(__file__).parents[4]
_PEER_PORT = 7720
_RELAY_PORT = 7730
_CLIENT_PORT = 8161
_READY_PORT = 8167
_CONTROL_PORT = 8166
_RUNNER_PORT = 8180
_RUNNER_RELAY_PORT = 8181
_STORE_PORT = 8169
_STORE_THREADS = 96
_RUNNER_THREADS = 12
_GRACE_SECONDS = 6
# Speeds of the runners' clocks, within what the leases allow for.
_SPEEDS = (1.0, 0.985, 1.015, 1.0)


@dataclasses.dataclass(slots=True)
class Program:
    """One of portwharf's processes."""

    name: str = ''
    role: str = ''
    address: str = ''
    zone: str = ''
    handle: subprocess.Popen = None
    store: relay.Relay = None
    peers: relay.Relay = None
    orders: relay.Relay = None
    runner: soak_runner.SoakRunner = None

    def hush(self):
        """Have all open connections go silent for good."""
        for made in (self.store, self.peers, self.orders):
            if made is not None:
                made.hush()


class World:
    """All processes and stand-ins; a context manager that ends them."""

    def __init__(self, folder, network):
        """Take a folder for logs and the second number of the addresses."""
        self._folder = pathlib.Path(folder)
        self._network = network
        self._stack = contextlib.ExitStack()
        self.store = platform_store.PlatformStoreStandIn()
        self.store.rewrite = self._name_relay
        self.programs = {}

    def __enter__(self):
        with self._stack:
            self._start_all()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        for program in self.programs.values():
            _end(program.handle)
        self._stack.close()

    @property
    def sides(self):
        """The programs that are sides."""
        return [one for one in self.programs.values() if one.role == 'side']

    @property
    def entries(self):
        """The programs that are entries."""
        return [one for one in self.programs.values() if one.role == 'entry']

    def find_client_place(self, program):
        """Return where clients reach an entry, as (address, port)."""
        return program.address, _CLIENT_PORT

    def configure(self, version, prefixes):
        """Write a configuration with a queue for each prefix."""
        routes = [
            {
                'name': f'queue-{number}',
                'host': HOST,
                'pathPrefix': prefix,
                'service': POOL,
                'priority': number,
                'maxAttempts': MAX_FAILURES,
                'stretch': 2.0,
                'targetLatencyMs': 1000,
            }
            for number, prefix in enumerate(prefixes)
        ]
        value = {'version': version, 'routes': routes}
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.set_item('op/config', text)

    def close_zone(self, zone, closed):
        """Close an availability zone to new starts, or take it back."""
        key = f'op/evacuate/{zone}'
        if closed:
            self.store.set_item(key, '')
        else:
            self.store.revoke(key)

    def start(self, program):
        """Start a process that is not there."""
        log = open(self._folder / f'{program.name}.log', 'ab')
        settings = str(self._folder / f'{program.name}.toml')
        argv = [sys.executable, str(_ROOT / 'deploy/start.py'), program.role]
        with log:
            program.handle = subprocess.Popen(
                argv,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PORTWHARF_BOOT': settings},
            )

    def kill(self, program):
        """Kill a process."""
        program.handle.kill()
        program.handle.wait()

    def stop(self, program):
        """Stop a process as planned; returns whether it ended in time."""
        program.handle.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            program.handle.wait(_GRACE_SECONDS)
            return True
        self.kill(program)
        return False

    def pause(self, program, paused):
        """Stop a process where it stands, or let it go on."""
        number = signal.SIGSTOP if paused else signal.SIGCONT
        program.handle.send_signal(number)

    def _start_all(self):
        self._folder.mkdir(parents=True, exist_ok=True)
        store = self._find_address(1)
        self._serve(store, _STORE_PORT, self.store, _STORE_THREADS)
        self.configure(1, [PREFIX])
        for number in range(SIDES):
            self._prepare(f'side-{number}', 'side', 10 + number)
        for number in range(ENTRIES):
            self._prepare(f'entry-{number}', 'entry', 50 + number)
        for program in self.programs.values():
            self.start(program)

    def _serve(self, address, port, app, threads):
        server = web.Server(address, port, app, threads)
        self._stack.enter_context(server)

    def _find_address(self, number):
        return f'127.0.{self._network}.{number}'

    def _prepare(self, name, role, number):
        """Write a process's settings, and start what stands around it."""
        address = self._find_address(number)
        enter = self._stack.enter_context
        zone = f'zone-{number % ZONES}'
        program = Program(name, role, address, zone)
        program.store = enter(
            relay.Relay(
                address, _STORE_PORT, _STORE_PORT, self._find_address(1)
            )
        )
        if role == 'side':
            program.peers = enter(
                relay.Relay(address, _RELAY_PORT, _PEER_PORT)
            )
            program.orders = enter(
                relay.Relay(address, _RUNNER_RELAY_PORT, _RUNNER_PORT)
            )
            program.runner = self._open_runner(name, address)
            program.runner.break_connections = program.orders.cut
        self.programs[name] = program
        path = self._folder / f'{name}.toml'
        path.write_text(_write_settings(program))

    def _open_runner(self, name, address):
        place = f'{address}:{_RUNNER_PORT}'
        control = f'http://{address}:{_CONTROL_PORT}'
        speed = _SPEEDS[len(self.sides) % len(_SPEEDS)]
        runner = soak_runner.SoakRunner(name, place, control, speed)
        self._serve(address, _RUNNER_PORT, runner, _RUNNER_THREADS)
        return self._stack.enter_context(runner)

    def _name_relay(self, key, value):
        """Put the relay's port into what a side registers."""
        if not key.startswith(vmlist.PREFIX):
            return value
        vm = codec.unpack(data.Vm, base64.b64decode(value))
        if vm.role == data.Role.ENDPOINT:
            vm.port = _RELAY_PORT
        return base64.b64encode(codec.pack(vm)).decode()


def _end(handle):
    if handle is None or handle.poll() is not None:
        return
    # A paused process takes a kill as well.
    handle.kill()
    handle.wait()


def wait_until(holds, seconds):
    """Wait for a condition; returns whether it came about in time."""
    deadline = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.1)
    return True


def _write_settings(program):
    name, role, address = program.name, program.role, program.address
    listen = [f'control = "{address}:{_CONTROL_PORT}"']
    if role == 'entry':
        listen = [
            f'front = "{address}:{_CLIENT_PORT}"',
            f'ready = "{address}:{_READY_PORT}"',
        ]
    serves = 'side' if role == 'side' else 'front'
    lines = [
        f'node = "{name}"',
        f'role = "{role}"',
        f'serves = ["{serves}"]',
        f'ip = "{address}"',
        f'zone = "{program.zone}"',
        f'internalPorts = [{_PEER_PORT}, {_PEER_PORT + 5}]',
        f'app = "{address}:{_RUNNER_RELAY_PORT}"' if role == 'side' else '',
        '[listen]',
        *listen,
        '[bounds]',
        'maxHoldMs = 6000',
        f'graceS = {_GRACE_SECONDS}',
        '[platform]',
        f'address = "{address}:{_STORE_PORT}"',
        'writes_per_s = 400.0',
        'reads_per_s = 2000.0',
    ]
    return '\n'.join(lines) + '\n'
