# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The environment of the soak test: processes, platform and relays.

Entries and sides are separate processes on separate loopback addresses,
started as the platform starts them. The platform's store and the runners are
fakes in this process, so that checks can read their records. Connections
to each side, to each runner, and from each process to the store pass through
relays; the store replaces the ports that sides register by those of relays.
"""

import base64
import contextlib
import dataclasses
import json
import math
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

SIDE_COUNT = 4
ENTRY_COUNT = 2
HOST = 'desk.example'
PREFIX = '/soak/'
# Availability zones; sides are assigned to them in turn.
ZONE_COUNT = 3
POOL = 'soak-pool'
MAX_FAILURES = 3
# Last byte of the addresses of the first side, and of the first entry if the
# sides leave it free.
_FIRST_SIDE = 10
_FIRST_ENTRY = 50
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
# Speeds of the runners' clocks relative to real time, within the drift that
# leases tolerate.
_CLOCK_SPEEDS = (1.0, 0.985, 1.015, 1.0)


@dataclasses.dataclass(slots=True)
class Program:
    """One process of portwharf, with its relays and its runner.

    :param handle: the process, or None before the first start
    :param stopping: it was asked to stop and has not ended yet
    :param resumed_at: when it was last resumed after a pause, infinite while
        it is paused
    :param lost: its machine was lost for good
    :param store: relay from the process to the store
    :param peers: relay from peers to a side, else None
    :param orders: relay from a side to its runner, else None
    """

    name: str = ''
    role: str = ''
    address: str = ''
    zone: str = ''
    handle: subprocess.Popen = None
    stopping: bool = False
    resumed_at: float = 0.0
    lost: bool = False
    store: relay.Relay = None
    peers: relay.Relay = None
    orders: relay.Relay = None
    runner: soak_runner.SoakRunner = None

    def freeze_connections(self):
        """Silence all open connections for good, without closing them."""
        for open_relay in (self.store, self.peers, self.orders):
            if open_relay is not None:
                open_relay.freeze_connections()


class World:
    """All processes, relays and fakes, as a context manager."""

    def __init__(
        self, folder, network, side_count=SIDE_COUNT, entry_count=ENTRY_COUNT
    ):
        """Take a folder for logs and settings, and a network number.

        :param network: the third byte of all loopback addresses
        """
        self._side_count = side_count
        self._entry_count = entry_count
        self._folder = pathlib.Path(folder)
        self._network = network
        self._stack = contextlib.ExitStack()
        # Pages of three items let a reading of the log of many sides take
        # seconds, which the platform's pages of 500 do not.
        page_items = max(platform_store.PAGE_ITEMS, side_count // 2)
        self.store = platform_store.FakePlatformStore(page_items)
        self.store.rewrite = self._replace_port
        self.programs = {}
        # Sides whose machines were lost for good, with their runners.
        self.lost_sides = []

    def __enter__(self):
        with self._stack:
            self._start_all()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        for program in self.programs.values():
            _kill_if_running(program.handle)
        self._stack.close()

    @property
    def sides(self):
        """The sides among the programs."""
        return [
            program
            for program in self.programs.values()
            if program.role == 'side'
        ]

    @property
    def entries(self):
        """The entries among the programs."""
        return [
            program
            for program in self.programs.values()
            if program.role == 'entry'
        ]

    def find_client_place(self, program):
        """Return the (address, port) on which an entry serves clients."""
        return program.address, _CLIENT_PORT

    def configure(self, version, prefixes):
        """Store a configuration with a queue for each path prefix."""
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
        """Close an availability zone to new starts, or reopen it."""
        key = f'op/evacuate/{zone}'
        if closed:
            self.store.set_item(key, '')
        else:
            self.store.revoke(key)

    def start(self, program):
        """Start the process of a program that is not running or lost."""
        if program.lost:
            return
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
        """Kill the process of a program."""
        program.handle.kill()
        program.handle.wait()

    def stop(self, program):
        """Stop a process by SIGTERM; kill it after the grace period.

        :returns: whether it ended within the grace period
        """
        program.stopping = True
        program.handle.send_signal(signal.SIGTERM)
        try:
            program.handle.wait(_GRACE_SECONDS)
            return True
        except subprocess.TimeoutExpired:
            self.kill(program)
            return False
        finally:
            program.stopping = False

    def pause(self, program, paused):
        """Pause a process, or resume it, unless it is lost."""
        if program.lost:
            return
        signal_number = signal.SIGSTOP if paused else signal.SIGCONT
        program.handle.send_signal(signal_number)
        program.resumed_at = math.inf if paused else time.monotonic()

    def lose_side(self, program):
        """Lose a side's machine for good, with its runner."""
        program.lost = True
        del self.programs[program.name]
        self.lost_sides.append(program)
        _kill_if_running(program.handle)
        program.runner.lose()
        for one in (program.store, program.peers, program.orders):
            one.silence(True)

    def add_side(self):
        """Add an empty machine with a side and a runner at a new address."""
        number = len(self.sides) + len(self.lost_sides)
        name = f'side-{number}'
        self._prepare(name, 'side', _FIRST_SIDE + number)
        self.start(self.programs[name])

    def _start_all(self):
        self._folder.mkdir(parents=True, exist_ok=True)
        store_address = self._make_address(1)
        self._start_server(
            store_address, _STORE_PORT, self.store, _STORE_THREADS
        )
        self.configure(1, [PREFIX])
        for number in range(self._side_count):
            self._prepare(f'side-{number}', 'side', _FIRST_SIDE + number)
        first_entry = max(_FIRST_ENTRY, _FIRST_SIDE + self._side_count)
        for number in range(self._entry_count):
            self._prepare(f'entry-{number}', 'entry', first_entry + number)
        for program in self.programs.values():
            self.start(program)

    def _start_server(self, address, port, app, threads):
        server = web.Server(address, port, app, threads)
        self._stack.enter_context(server)

    def _make_address(self, number):
        return f'127.0.{self._network}.{number}'

    def _prepare(self, name, role, number):
        """Write a process's settings, and open its relays and runner."""
        address = self._make_address(number)
        enter = self._stack.enter_context
        zone = f'zone-{number % ZONE_COUNT}'
        program = Program(name, role, address, zone)
        program.store = enter(
            relay.Relay(
                address, _STORE_PORT, _STORE_PORT, self._make_address(1)
            )
        )
        if role == 'side':
            program.peers = enter(
                relay.Relay(address, _RELAY_PORT, _PEER_PORT)
            )
            program.orders = enter(
                relay.Relay(address, _RUNNER_RELAY_PORT, _RUNNER_PORT)
            )
            program.runner = self._start_runner(name, address)
            program.runner.break_connections = program.orders.cut
        self.programs[name] = program
        path = self._folder / f'{name}.toml'
        path.write_text(_format_settings(program))

    def _start_runner(self, name, address):
        endpoint = f'{address}:{_RUNNER_PORT}'
        control_url = f'http://{address}:{_CONTROL_PORT}'
        speed = _CLOCK_SPEEDS[len(self.sides) % len(_CLOCK_SPEEDS)]
        runner = soak_runner.SoakRunner(name, endpoint, control_url, speed)
        self._start_server(address, _RUNNER_PORT, runner, _RUNNER_THREADS)
        return self._stack.enter_context(runner)

    def _replace_port(self, key, value):
        """Replace the port in a side's registration by that of its relay."""
        if not key.startswith(vmlist.PREFIX):
            return value
        vm = codec.unpack(data.Vm, base64.b64decode(value))
        if vm.role == data.Role.ENDPOINT:
            vm.port = _RELAY_PORT
        return base64.b64encode(codec.pack(vm)).decode()


def _kill_if_running(handle):
    if handle is None or handle.poll() is not None:
        return
    # SIGKILL ends a paused process too; SIGTERM would not.
    handle.kill()
    handle.wait()


def wait_until(condition, seconds):
    """Wait until a condition holds; returns whether it did in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.1)
    return True


def _format_settings(program):
    name, role, address = program.name, program.role, program.address
    listen = [f'control = "{address}:{_CONTROL_PORT}"']
    if role == 'entry':
        listen = [
            f'front = "{address}:{_CLIENT_PORT}"',
            f'ready = "{address}:{_READY_PORT}"',
        ]
    service = 'side' if role == 'side' else 'front'
    lines = [
        f'node = "{name}"',
        f'role = "{role}"',
        f'serves = ["{service}"]',
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
