# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The side process, assembled from its components."""

import contextlib
import logging
import threading

from portwharf.core import clock
from portwharf.core import ids
from portwharf.core import shutdown
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
from portwharf.side import external_services
from portwharf.side import server

LOG = logging.getLogger(__name__)

# Maximum time that a planned stop waits for running requests.
DRAIN_SECONDS = 60
# Time for entries to learn that this side is leaving.
LEAVE_SECONDS = 1.0


class SideProcess:
    """A side process; a context manager that runs it."""

    def __init__(self, cfg, surroundings=None):
        """Take checked :class:`settings.SideSettings`.

        :param surroundings: an ``external_services.ExternalServices``; None
            for the services named in the settings
        """
        self._cfg = cfg
        self._outside = surroundings or external_services.ConfiguredServices(
            cfg
        )
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        self._guard = guard.GrantGuard(self._clock, cfg.limits)
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
        """Request a planned stop; safe in a signal handler."""
        self._stopping.set()

    def wait(self):
        """Wait until a planned stop is requested."""
        shutdown.wait_for_stop_request(self._stopping)

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
            self._server.record_change,
        )
        self._server.agent.read_roster_seq = self._read_roster_seq
        self._server.agent.is_zone_closed = self._is_zone_closed
        if cfg.runner is not None:
            self._start_runner(cfg.runner)
        watcher = self._make_watcher(kv, listing)
        self._server.find_owner = lambda: watcher.owner
        self._keeper.add_listener(self._server.record_change)
        self._keeper.add_listener(lambda: _send_config(watcher.owner))
        self._zones.add_listener(lambda: _send_closed_zones(watcher.owner))
        enter(zones.ZoneWatcher(kv, self._zones))
        context = tls.make_server_context(cfg.tls)
        enter(self._server.agent)
        enter(self._server)
        enter(
            streams.Listener(
                cfg.vm.address, cfg.vm.port, self._server.handle, context
            )
        )
        pages = web.StatusPages(lambda: not self._guard.epoch_unknown)
        enter(web.Server(cfg.vm.address, cfg.pages_port, pages, threads=1))
        enter(watcher)
        LOG.info('side ready on VM %s', cfg.vm.name)

    def _read_roster_seq(self):
        return self._server.at_most_once.seq

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
            compares_vms=cfg.compares_vms,
            max_job_bytes=cfg.max_job_bytes,
        )
        return takeover.OwnerWatcher(env, self._guard, kv)

    def _open_policy(self):
        service = self._outside.open_policy()
        if service is not None:
            self._stack.enter_context(service)
        return service

    def _drain(self):
        """Tell the entries, then finish all admitted requests."""
        self._server.agent.draining = True
        self._server.drain()
        threading.Event().wait(LEAVE_SECONDS)
        if self._server.admission is not None:
            self._server.admission.drain()
            self._server.admission.wait_until_idle(DRAIN_SECONDS)


def _send_config(role):
    """Send a new configuration to the sides, if this process is an owner."""
    if role is not None:
        role.send_config()


def _send_closed_zones(role):
    """Send the closed zones to the sides, if this process is an owner."""
    if role is not None:
        role.send_closed_zones()
