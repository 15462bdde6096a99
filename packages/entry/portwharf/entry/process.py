# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The entry process."""

import contextlib
import logging
import threading

from portwharf import callers
from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import ids
from portwharf.core import shutdown
from portwharf.core import web
from portwharf.entry import entry_peers
from portwharf.entry import metrics
from portwharf.entry import routing
from portwharf.entry import shard_backend
from portwharf.entry import side_links
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

# Time for the balancer to see that this entry is not ready.
UNREADY_SECONDS = 2.0
DRAIN_SECONDS = 60


class EntryProcess:
    """Runs an entry; a context manager."""

    def __init__(self, cfg):
        """Create an entry from checked :class:`settings.EntrySettings`."""
        self._cfg = cfg
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._clock = clock.SystemClock()
        self._keeper = configuration.ConfigKeeper()
        self._instance = ids.make_nonce()
        self._calls = _ActiveCalls()
        self._burn = callers.BurnRateCounter(
            self._clock, lambda name: self._keeper.read().targets.get(name)
        )

    def __enter__(self):
        with self._stack:
            self._start_parts()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        threading.Event().wait(UNREADY_SECONDS)
        self._calls.wait_until_idle(DRAIN_SECONDS)
        self._stack.close()

    def stop(self):
        """Request a graceful stop; safe in a signal handler."""
        self._stopping.set()

    def wait(self):
        """Wait until a stop is requested."""
        shutdown.wait_for_stop_request(self._stopping)

    def _start_parts(self):
        cfg = self._cfg
        enter = self._stack.enter_context
        gateway = store.open_etcd(cfg.store.address, cfg.store.port)
        kv = store.RateLimitedStore(enter(gateway), self._clock)
        listing = enter(
            vmlist.HttpVmList(cfg.vm_list.address, cfg.vm_list.port)
        )
        enter(configuration.ConfigWatcher(kv, self._keeper))
        context = tls.make_client_context(cfg.tls)
        self._links = enter(
            side_links.LinkTable(
                listing,
                lambda vm: streams.dial(vm.address, vm.port, context),
                self._make_hello,
                self._clock,
                self._keeper,
            )
        )
        peers = entry_peers.EntryPeers(cfg.vm.name, listing, self._make_page)
        backend = shard_backend.ShardBackend(
            cfg, self._links, kv, self._keeper, peers, self._clock
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
        """Return the WSGI application for RPC, entry pages and health."""
        operator_app = operators_connect.OperatorServiceWSGIApplication(
            operators.OperatorService(backend)
        )
        caller_app = callers_connect.CallerServiceWSGIApplication(
            callers.CallerService(router)
        )
        pages = web.StatusPages(self._is_ready)

        def serve(environ, start_response):
            path = environ.get('PATH_INFO', '')
            if path.startswith(operator_app.path):
                return self._calls.run(operator_app, environ, start_response)
            if path.startswith(caller_app.path):
                return self._calls.run(caller_app, environ, start_response)
            if path == entry_peers.PATH:
                page = codec.to_map(self._make_page())
                return web.send_json(start_response, 200, page)
            return pages(environ, start_response)

        return serve

    def _is_ready(self):
        return (
            not self._stopping.is_set() and self._links.vmlist_loaded.is_set()
        )

    def _observe(self, service, outcome, seconds):
        metrics.observe_request(service, outcome, seconds)
        self._burn.observe(service, outcome, seconds)

    def _make_page(self):
        return entry_peers.EntryPage(
            self._cfg.vm.name,
            self._keeper.read().revision,
            self._burn.list_services(),
        )

    def _make_hello(self):
        return messages.Hello(
            role='entry', name=self._cfg.vm.name, instance=self._instance
        )


class _ActiveCalls:
    """Counts the calls in progress."""

    def __init__(self):
        self._changed = threading.Condition()
        self._running = 0

    def run(self, app, environ, start_response):
        """Run a WSGI application, counting it until its body is complete."""
        with self._changed:
            self._running += 1
        try:
            return list(app(environ, start_response))
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def wait_until_idle(self, timeout):
        """Wait until no call is in progress, or until the timeout."""
        with self._changed:
            self._changed.wait_for(lambda: self._running == 0, timeout)
