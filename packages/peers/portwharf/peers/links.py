# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A connection to a peer, redialled by its own thread whenever it closes.

Subclasses define the messages. Stopping a link never waits for the peer: it
closes the connection at once, also during the exchange of greetings, as a
paused process accepts connections and sends nothing.
"""

import abc
import threading

from portwharf.peers import streams

REDIAL_SECONDS = 0.5


class PeerLink(abc.ABC):
    """The connection to one peer; a context manager that stops it."""

    def __init__(self, name):
        """Set up the link.

        :param name: the name of the peer's VM
        """
        self.name = name
        # Seconds of silence after which a connection is closed.
        self.idle = streams.IDLE_SECONDS
        self._stop = threading.Event()
        # The connection from dialling on; ``_conn`` is set only after the
        # greetings.
        self._dialled = None
        self._conn = None
        self._thread = threading.Thread(
            target=self._run, name=f'link-{name}', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stop()
        self._thread.join()

    @abc.abstractmethod
    def dial(self):
        """Connect to the peer.

        :returns: a ``streams.Connection``
        :raises PeerError: the peer cannot be reached
        """

    @abc.abstractmethod
    def make_hello(self):
        """Return the greeting of this end."""

    @abc.abstractmethod
    def attach(self, conn, peer):
        """Start using a connection after the greetings.

        :param peer: the peer's ``messages.Hello``
        """

    @abc.abstractmethod
    def handle(self, conn, message):
        """Handle one message.

        :raises PeerError: the connection is to be closed
        """

    @abc.abstractmethod
    def detach(self):
        """Stop using the connection, which is closed."""

    def stop(self):
        """Close the connection and stop redialling, without waiting."""
        self._stop.set()
        conn = self._dialled
        if conn is not None:
            conn.close()

    def send(self, message, frame=b''):
        """Send a message without waiting for the peer to read.

        :param frame: as for ``streams.Connection.post``
        :returns: False if there is no open connection
        """
        conn = self._conn
        return conn is not None and conn.try_post(message, frame)

    def _run(self):
        while not self._stop.is_set():
            self._stop.wait(self._connect())

    def _connect(self):
        """Connect and handle messages until the connection closes.

        :returns: the seconds to wait before redialling
        """
        wait_seconds = REDIAL_SECONDS
        try:
            with self.dial() as conn:
                self._handle_messages(conn)
        except streams.IdleTimeoutError as exc:
            # The connection was silent for the whole idle limit, so it is
            # redialled at once.
            wait_seconds = 0.0
            streams.log_closed(exc, self.name)
        except streams.PeerError as exc:
            streams.log_closed(exc, self.name)
        self._dialled = None
        self._conn = None
        self.detach()
        return wait_seconds

    def _handle_messages(self, conn):
        self._dialled = conn
        if self._stop.is_set():
            return
        peer = streams.exchange_hellos(conn, self.make_hello(), idle=self.idle)
        self._conn = conn
        self.attach(conn, peer)
        while not self._stop.is_set():
            self.handle(conn, conn.receive())
