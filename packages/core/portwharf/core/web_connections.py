# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections of the HTTP server, and how they end.

``cheroot`` closes its listening socket and all idle connections at once when
it stops. Requests that have just arrived on them, or that wait in the listen
backlog, would be reset, so they are answered first.
"""

import logging
import threading
import time

from cheroot import connections
from cheroot import server

from portwharf.core import logs

LOG = logging.getLogger(__name__)

# How long the request of a connection that has just been opened may take to
# arrive after the listening socket is closed.
FIRST_REQUEST_SECONDS = 0.3


class Connection(server.HTTPConnection):
    """A connection that measures how long its requests wait for a thread."""

    has_requested = False
    queued_at = 0.0
    queued_seconds = 0.0

    def communicate(self):
        self.has_requested = True
        now = self.server.clock.read_monotonic()
        self.queued_seconds = now - self.queued_at
        return super().communicate()


class ConnectionManager(connections.ConnectionManager):
    """Answers all requests that have reached the server before it closes."""

    def __init__(self, http_server):
        super().__init__(http_server)
        self._closing = threading.Lock()
        self._is_closed = False

    def put(self, conn):
        with self._closing:
            if not self._is_closed:
                super().put(conn)
                return
        conn.close()

    def stop(self):
        """Stop accepting, and hand over the requests that have arrived."""
        super().stop()
        # The selector's own thread has ended.
        self._accept_backlog()
        deadline = time.monotonic() + FIRST_REQUEST_SECONDS
        self._dispatch_requests(0)
        while self._count_unused():
            seconds = deadline - time.monotonic()
            if seconds <= 0:
                extra = logs.fields(count=self._count_unused())
                LOG.info('connections closed before a request', extra=extra)
                break
            self._dispatch_requests(seconds)

    def close(self):
        with self._closing:
            self._is_closed = True
        super().close()

    def _accept_backlog(self):
        """Accept what the kernel has queued, and close the listener."""
        listener, self.server.socket = self.server.socket, None
        # First, so that the listener is closed right after the last accept.
        self._selector.unregister(listener.fileno())
        try:
            while (conn := self._from_server_socket(listener)) is not None:
                self.server.process_conn(conn)
        except OSError as exc:
            # For example, there are no descriptors left.
            LOG.warning('cannot accept: %s', exc)
        listener.close()

    def _dispatch_requests(self, seconds):
        """Wait for requests, and queue them for the threads."""
        for descriptor, conn in self._selector.select(seconds):
            self._selector.unregister(descriptor)
            self.server.process_conn(conn)

    def _count_unused(self):
        """Return how many connections have not had a request yet."""
        return sum(
            not conn.has_requested for _, conn in self._selector.connections
        )
