# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The whole entry process, put together from its parts."""

import contextlib
import logging
import threading

from portwharf import callers
from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import ids
from portwharf.core import stops
from portwharf.core import web
from portwharf.entry import fellows
from portwharf.entry import metrics
from portwharf.entry import routing
from portwharf.entry import shards
from portwharf.entry import sides
from portwharf import operators
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import tls
from portwharf.scheduler import configuration
from portwharf import store
from portwharf.v1 import callers_connect
from portwharf.v1 import operators_connect
from portwharf import vmlist

LOG = logging.getLogger(__name__)

# How long the balancer is given to see that this entry is not ready.
LEAVE_SECONDS = 2.0
DRAIN_SECONDS = 60


class EntryProcess:
    """An entry, while in its block."""

    def __init__(self, cfg):
        """Take checked :class:`settings.EntrySettings`."""
        self._cfg = cfg
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        self._keeper = configuration.ConfigKeeper()
        self._instance = ids.make_nonce()
        self._calls = _CallCounter()
        self._burn = callers.BurnCounter(
            self._clock, lambda name: self._keeper.read().targets.get(name)
        )

    def __enter__(self):
        with self._stack:
            self._start_parts()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        threading.Event().wait(LEAVE_SECONDS)
        self._calls.wait_until_idle(DRAIN_SECONDS)
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
        gateway = store.open_etcd(cfg.store.address, cfg.store.port)
        kv = store.BudgetedStore(enter(gateway), self._clock)
        listing = enter(
            vmlist.HttpVmList(cfg.vm_list.address, cfg.vm_list.port)
        )
        enter(configuration.ConfigWatcher(kv, self._keeper))
        context = tls.make_client_context(cfg.tls)
        self._links = enter(
            sides.LinkTable(
                listing,
                lambda vm: streams.dial(vm.address, vm.port, context),
                self._make_hello,
                self._clock,
                self._keeper,
            )
        )
        entries = fellows.Fellows(cfg.vm.name, listing, self._make_page)
        backend = shards.ShardBackend(
            cfg, self._links, kv, self._keeper, entries, self._clock
        )
        router = routing.EndpointRouter(
            self._links, self._clock, cfg.vm.availability_zone, self._observe
        )
        app = self._make_app(backend, router)
        enter(
            web.Server(cfg.vm.address, cfg.vm.port, app, threads=cfg.threads)
        )
        LOG.info('entry %s ready', cfg.vm.name)

    def _make_app(self, backend, router):
        """Return the WSGI application of all that an entry serves."""
        operator_app = operators_connect.OperatorServiceWSGIApplication(
            operators.OperatorService(backend)
        )
        caller_app = callers_connect.CallerServiceWSGIApplication(
            callers.CallerService(router)
        )
        pages = web.Pages(self._is_ready)

        def serve(environ, start_response):
            path = environ.get('PATH_INFO', '')
            if path.startswith(operator_app.path):
                return self._calls.run(operator_app, environ, start_response)
            if path.startswith(caller_app.path):
                return self._calls.run(caller_app, environ, start_response)
            if path == fellows.PATH:
                page = codec.to_map(self._make_page())
                return web.answer_json(start_response, 200, page)
            return pages(environ, start_response)

        return serve

    def _is_ready(self):
        return not self._stopping.is_set() and self._links.listed.is_set()

    def _observe(self, service, outcome, seconds):
        metrics.observe_request(service, outcome, seconds)
        self._burn.observe(service, outcome, seconds)

    def _make_page(self):
        return fellows.EntryPage(
            self._cfg.vm.name,
            self._keeper.read().revision,
            self._burn.list_services(),
        )

    def _make_hello(self):
        return messages.Hello(
            role='entry', name=self._cfg.vm.name, instance=self._instance
        )


class _CallCounter:
    """Counts the calls that are being carried out."""

    def __init__(self):
        self._changed = threading.Condition()
        self._running = 0

    def run(self, app, environ, start_response):
        """Run a WSGI application and count it until its body is made."""
        with self._changed:
            self._running += 1
        try:
            return list(app(environ, start_response))
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def wait_until_idle(self, timeout):
        """Wait until no call is carried out, or time is up."""
        with self._changed:
            self._changed.wait_for(lambda: self._running == 0, timeout)
