# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The whole side process, put together from its parts."""

import contextlib
import logging
import threading

from portwharf.core import clock
from portwharf.core import ids
from portwharf.core import stops
from portwharf.core import web
from portwharf import endpoints
from portwharf.peers import streams
from portwharf.peers import tls
from portwharf.scheduler import configuration
from portwharf.scheduler import environment
from portwharf.scheduler import guard
from portwharf.scheduler import takeover
from portwharf.scheduler import zones
from portwharf.side import admission
from portwharf.side import agent
from portwharf.side import outside
from portwharf.side import server

LOG = logging.getLogger(__name__)

# How long a planned stop waits for requests that run.
DRAIN_SECONDS = 60
# How long entries are given to hear that this side is leaving.
LEAVE_SECONDS = 1.0


class SideProcess:
    """A side, while in its block."""

    def __init__(self, cfg, surroundings=None):
        """Take checked :class:`settings.SideSettings`.

        :param surroundings: an ``outside.Outside``; what the settings
            name, if it is None
        """
        self._cfg = cfg
        self._outside = surroundings or outside.SettingsOutside(cfg)
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        self._guard = guard.Guard(self._clock, cfg.limits)
        self._keeper = configuration.ConfigKeeper(self._outside.parse_config)
        self._zones = zones.ZoneKeeper(self._clock, self._outside.zones_prefix)
        self._instance = ids.make_nonce()
        self._server = server.SideServer(
            cfg,
            self._instance,
            self._clock,
            self._guard,
            self._keeper,
            self._zones,
        )

    def __enter__(self):
        with self._stack:
            self._start_parts()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        self._drain()
        self._stack.close()

    def stop(self):
        """Ask for a planned stop; safe in a signal handler."""
        self._stopping.set()

    def wait(self):
        """Wait until a planned stop is asked for."""
        stops.wait_until_asked(self._stopping)

    def _start_parts(self):
        cfg = self._cfg
        enter = self._stack.enter_context
        kv = enter(self._outside.open_store(self._clock))
        listing = enter(self._outside.open_vm_list(kv))
        worker = self._outside.open_worker()
        if worker is not None:
            enter(worker)
        self._server.agent = agent.Agent(
            worker,
            self._guard,
            cfg.limits,
            self._clock,
            self._server.note_change,
        )
        self._server.agent.read_roster_seq = self._read_roster_seq
        self._server.agent.is_zone_closed = self._is_zone_closed
        if cfg.runner is not None:
            self._start_runner(cfg.runner)
        watcher = self._make_watcher(kv, listing)
        self._server.find_owner = lambda: watcher.owner
        self._keeper.follow(self._server.note_change)
        self._keeper.follow(lambda: _pass_on(watcher.owner))
        self._zones.follow(lambda: _pass_zones_on(watcher.owner))
        enter(zones.ZoneWatcher(kv, self._zones))
        context = tls.make_server_context(cfg.tls)
        enter(self._server.agent)
        enter(self._server)
        enter(
            streams.Listener(
                cfg.vm.address, cfg.vm.port, self._server.handle, context
            )
        )
        pages = web.Pages(lambda: not self._guard.forgetful)
        enter(web.Server(cfg.vm.address, cfg.pages_port, pages, threads=1))
        enter(watcher)
        LOG.info('side of %s ready', cfg.vm.name)

    def _read_roster_seq(self):
        return self._server.home.seq

    def _is_zone_closed(self):
        return self._zones.is_closed(self._cfg.vm.availability_zone)

    def _start_runner(self, runner):
        client = self._stack.enter_context(
            endpoints.HttpRunner(
                runner.address, runner.port, runner.connections
            )
        )
        self._server.admission = self._stack.enter_context(
            admission.Admission(
                client, runner.slots, runner.queue, self._clock
            )
        )
        self._server.agent.take_measures = self._server.admission.take_measures

    def _make_watcher(self, kv, listing):
        cfg = self._cfg
        context = tls.make_client_context(cfg.tls)
        env = environment.Environment(
            name=cfg.vm.name,
            instance=self._instance,
            shard=cfg.vm.shard,
            clock=self._clock,
            limits=cfg.limits,
            dial=lambda vm: streams.dial(vm.address, vm.port, context),
            vmlist=listing,
            keeper=self._keeper,
            append_interval=cfg.append_interval,
            kv=kv,
            config_key=self._outside.config_key,
            policy=self._open_policy(),
            zones=self._zones,
        )
        return takeover.Watcher(env, self._guard, kv)

    def _open_policy(self):
        service = self._outside.open_policy()
        if service is not None:
            self._stack.enter_context(service)
        return service

    def _drain(self):
        """Let entries know, then finish what has been admitted."""
        self._server.agent.draining = True
        self._server.drain()
        threading.Event().wait(LEAVE_SECONDS)
        if self._server.admission is not None:
            self._server.admission.drain()
            self._server.admission.wait_until_idle(DRAIN_SECONDS)


def _pass_on(role):
    """Pass a new configuration down, if this process is an owner."""
    if role is not None:
        role.tell_config()


def _pass_zones_on(role):
    """Pass on which zones are closed, if this process is an owner."""
    if role is not None:
        role.tell_zones()
