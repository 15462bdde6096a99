# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The entry and side programs for the users' platform."""

import contextlib
import logging
import signal
import sys
import threading

from portwharf.core import clock
from portwharf.core import ids
from portwharf.core import logs
from portwharf.core import shutdown
from portwharf.core import web
from portwharf.entry import graceful_shutdown
from portwharf.platform import boot
from portwharf.platform import decoding
from portwharf.platform import store_client
from portwharf.scheduler import configuration
from portwharf import vmlist

LOG = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
CLIENT_THREADS = 24
# Time between two appends to the log: four times what the store needs for one.
APPEND_SECONDS = 0.03
# The balancer checks each second, and skips an entry after two failures.
BALANCER_NOTICE_SECONDS = 2.5
# Times before the platform kills the process: all calls are answered by the
# first, and the process exits by the second.
ANSWER_MARGIN_SECONDS = 1.5
END_MARGIN_SECONDS = 0.5
# During a stop, connections that have been idle for so long are closed.
IDLE_CONNECTION_SECONDS = 1.0


class EntryProgram:
    """An entry for the platform's clients; a context manager that stops it."""

    def __init__(self, settings):
        """Take a ``boot.BootSettings``."""
        self._boot = settings
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        answer_seconds = max(
            0.0, settings.grace_seconds - ANSWER_MARGIN_SECONDS
        )
        self._shutdown = graceful_shutdown.GracefulShutdown(
            self._clock, BALANCER_NOTICE_SECONDS, answer_seconds
        )
        self._keeper = configuration.ConfigKeeper(decoding.parse_config)
        self._instance = ids.make_nonce()

    def __enter__(self):
        with self._stack:
            self._start_components()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        LOG.info('entry stopping')
        self._client_server.drain(IDLE_CONNECTION_SECONDS)
        active_calls = self._shutdown.wait_until_done()
        left = self._shutdown.measure_time_left()
        reason = 'no-calls' if left else 'time-is-up'
        extra = logs.fields(reason=reason, count=active_calls)
        LOG.info('entry stops listening', extra=extra)
        # The other components end with the process.
        all_answered = self._client_server.finish(
            left + ANSWER_MARGIN_SECONDS - END_MARGIN_SECONDS
        )
        if not all_answered:
            LOG.warning('entry stopped with unanswered calls')

    def stop(self):
        """Request a planned stop; safe in a signal handler."""
        self._shutdown.request_stop()
        self._stopping.set()

    def wait(self):
        """Wait until a planned stop is requested."""
        shutdown.wait_for_stop_request(self._stopping)

    def _start_components(self):
        # Imported here, as a side does not need these modules.
        from portwharf.entry import owner_client
        from portwharf.entry import side_links
        from portwharf.entry import side_subset
        from portwharf.peers import streams
        from portwharf.platform import job_api

        enter = self._stack.enter_context
        shared = enter(
            store_client.open_rate_limited_store(self._boot, self._clock)
        )
        listing = enter(vmlist.Registration(shared, self._boot.vm))
        enter(
            configuration.ConfigWatcher(
                shared, self._keeper, decoding.CONFIG_KEY
            )
        )
        self._links = enter(
            side_links.LinkTable(
                listing,
                lambda vm: streams.dial(vm.address, vm.port, None),
                self._make_hello,
                self._clock,
                self._keeper,
                side_subset.SideSubset(self._boot.vm.name),
            )
        )
        calls = owner_client.OwnerClient(self._links, self._clock)
        vm = self._boot.vm
        jobs = job_api.JobApi(
            calls,
            self._keeper,
            self._clock,
            self._shutdown,
            vm.availability_zone,
        )
        ready = job_api.ReadinessCheck(self._is_ready)
        pages = web.StatusPages(self._is_ready)
        self._client_server = self._serve(
            self._boot.clients, jobs, CLIENT_THREADS
        )
        self._serve(self._boot.readiness, ready, 2)
        enter(web.Server(vm.address, self._boot.pages_port, pages, 1))
        LOG.info('entry begins', extra=logs.fields(vm=vm.name))

    def _serve(self, endpoint, app, threads):
        server = web.Server(endpoint.address, endpoint.port, app, threads)
        return self._stack.enter_context(server)

    def _is_ready(self):
        has_config = self._keeper.read().revision > 0
        has_link = any(link.view.up for link in self._links.list_links())
        return has_config and has_link and not self._stopping.is_set()

    def _make_hello(self):
        from portwharf.peers import messages

        return messages.Hello(
            role='entry', name=self._boot.vm.name, instance=self._instance
        )


def make_side(settings):
    """Return the side's process, configured for the platform."""
    from portwharf.platform import side_environment
    from portwharf.side import process
    from portwharf.side import settings as side_settings

    cfg = side_settings.SideSettings(
        vm=settings.vm,
        pages_port=settings.pages_port,
        limits=boot.make_limits(settings),
        append_interval=APPEND_SECONDS,
        max_job_bytes=settings.max_job_bytes,
    )
    return process.SideProcess(
        cfg, side_environment.PlatformEnvironment(settings)
    )


def _log_settings_change(*_):
    """Log a change of the settings, which are read at the start only."""
    LOG.info('settings changed; restart to apply them')


def main(role):
    """Run a role until SIGTERM.

    :param role: ``entry`` or ``side``
    """
    loaded = boot.read_settings()
    if loaded.is_err():
        for problem in loaded.err_value:
            print(problem.describe(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.set_up('json', 'INFO', logs.NonBlockingStream(sys.stdout))
    logs.exit_on_thread_exception()
    make = EntryProgram if role == 'entry' else make_side
    program = make(loaded.ok_value)
    stop_seconds = max(0.0, loaded.ok_value.grace_seconds - END_MARGIN_SECONDS)

    def request_stop(*_):
        program.stop()
        shutdown.exit_after(stop_seconds)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    signal.signal(signal.SIGHUP, _log_settings_change)
    with program:
        program.wait()
    LOG.info('%s stopped', role)
    # Threads that wait for a silent peer would delay the exit.
    logs.exit_process(0)
