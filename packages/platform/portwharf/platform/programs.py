# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The two programs as the platform runs them: entry and side."""

import contextlib
import logging
import os
import signal
import sys
import threading

from portwharf.core import clock
from portwharf.core import ids
from portwharf.core import logs
from portwharf.core import stops
from portwharf.core import web
from portwharf.entry import leaving
from portwharf.platform import boot
from portwharf.platform import kv
from portwharf.platform import routes
from portwharf.scheduler import configuration
from portwharf import vmlist

LOG = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
CLIENT_THREADS = 24
# Appends are this far apart: four times what the store takes for one.
APPEND_SECONDS = 0.03
# The balancer asks each second, and passes over what missed twice.
AWAY_SECONDS = 2.5
# Before the platform kills us: all calls are answered, and our end.
ANSWER_MARGIN_SECONDS = 1.5
END_MARGIN_SECONDS = 0.5
# Connections on which no call came for so long are closed at a stop.
IDLE_SECONDS = 1.0
# For the last lines of the log to be printed.
LAST_LINES_SECONDS = 0.2


class EntryProgram:
    """An entry for the platform's clients, while in its block."""

    def __init__(self, settings):
        """Take a ``boot.Boot``."""
        self._boot = settings
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        answer_seconds = max(
            0.0, settings.grace_seconds - ANSWER_MARGIN_SECONDS
        )
        self._leaving = leaving.Leaving(
            self._clock, AWAY_SECONDS, answer_seconds
        )
        self._keeper = configuration.ConfigKeeper(routes.parse_config)
        self._instance = ids.make_nonce()

    def __enter__(self):
        with self._stack:
            self._start_parts()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        LOG.info('entry is asked to stop')
        self._door.drain(IDLE_SECONDS)
        self._leaving.wait_until_over()
        # Nothing else is closed: the process ends.
        whole = self._door.finish(ANSWER_MARGIN_SECONDS - END_MARGIN_SECONDS)
        if not whole:
            LOG.warning('entry ends with calls that were not answered')

    def stop(self):
        """Ask for a planned stop; safe in a signal handler."""
        self._leaving.ask()
        self._stopping.set()

    def wait(self):
        """Wait until a planned stop is asked for."""
        stops.wait_until_asked(self._stopping)

    def _start_parts(self):
        # A side never needs what an entry imports.
        from portwharf.entry import fewsides
        from portwharf.entry import owners
        from portwharf.entry import sides
        from portwharf.peers import streams
        from portwharf.platform import clients

        enter = self._stack.enter_context
        shared = enter(kv.open_shared(self._boot, self._clock))
        listing = enter(vmlist.Registration(shared, self._boot.vm))
        enter(
            configuration.ConfigWatcher(
                shared, self._keeper, routes.CONFIG_KEY
            )
        )
        self._links = enter(
            sides.LinkTable(
                listing,
                lambda vm: streams.dial(vm.address, vm.port, None),
                self._make_hello,
                self._clock,
                self._keeper,
                fewsides.FewSides(self._boot.vm.name),
            )
        )
        calls = owners.OwnerCalls(self._links, self._clock)
        jobs = clients.JobCalls(
            calls, self._keeper, self._clock, self._leaving
        )
        ready = clients.Readiness(self._is_ready)
        pages = web.Pages(self._is_ready)
        vm = self._boot.vm
        self._door = self._serve(self._boot.clients, jobs, CLIENT_THREADS)
        self._serve(self._boot.readiness, ready, 2)
        enter(web.Server(vm.address, self._boot.pages_port, pages, 1))
        LOG.info('entry begins', extra=logs.fields(vm=vm.name))

    def _serve(self, place, app, threads):
        server = web.Server(place.address, place.port, app, threads)
        return self._stack.enter_context(server)

    def _is_ready(self):
        has_config = self._keeper.read().revision > 0
        linked = any(link.view.up for link in self._links.list_links())
        return has_config and linked and not self._stopping.is_set()

    def _make_hello(self):
        from portwharf.peers import messages

        return messages.Hello(
            role='entry', name=self._boot.vm.name, instance=self._instance
        )


def make_side(settings):
    """Return the side's process, put together for the platform."""
    from portwharf.platform import beside
    from portwharf.side import process
    from portwharf.side import settings as side_settings

    cfg = side_settings.SideSettings(
        vm=settings.vm,
        pages_port=settings.pages_port,
        limits=boot.make_limits(settings),
        append_interval=APPEND_SECONDS,
    )
    return process.SideProcess(cfg, beside.PlatformOutside(settings))


def _note_change(*_):
    """Log that the settings have changed: they are read at the start."""
    LOG.info('settings changed; they count from the next start on')


def main(role):
    """Run a role until SIGTERM.

    :param role: ``entry`` or ``side``
    """
    read = boot.read_boot()
    if read.is_err():
        for problem in read.err_value:
            print(problem.describe(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    printer = logs.Printer(sys.stdout)
    logs.set_up('json', 'INFO', printer)
    logs.end_on_crash()
    make = EntryProgram if role == 'entry' else make_side
    program = make(read.ok_value)
    bound = max(0.0, read.ok_value.grace_seconds - END_MARGIN_SECONDS)

    def ask(*_):
        program.stop()
        stops.end_within(bound)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, ask)
    signal.signal(signal.SIGHUP, _note_change)
    with program:
        program.wait()
    LOG.info('%s ends', role)
    logging.shutdown()
    printer.wait_until_printed(LAST_LINES_SECONDS)
    # Threads that wait for a silent peer would hold the end up.
    os._exit(0)
