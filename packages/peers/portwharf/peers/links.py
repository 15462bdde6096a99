# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A connection that is dialled again whenever it ends, in its own thread.

What is said on it is the subclass's. Ending a link never waits for a peer:
whatever it has dialled is closed, greetings under way included, since a
paused process accepts connections and says nothing.
"""

import abc
import threading

from portwharf.peers import streams

REDIAL_SECONDS = 0.5


class PeerLink(abc.ABC):
    """One peer's connection; a context manager that ends it."""

    def __init__(self, name):
        """Take the peer's VM's name."""
        self.name = name
        # The silence that a connection outlives.
        self.idle = streams.IDLE_SECONDS
        self._stop = threading.Event()
        # Open from dialling on; ``_conn`` only once greetings are exchanged.
        self._open = None
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
        """Connect; returns a ``streams.Connection`` or raises PeerError."""

    @abc.abstractmethod
    def make_hello(self):
        """Return the greeting of this end."""

    @abc.abstractmethod
    def attach(self, conn, peer):
        """Begin with a connection whose greetings are exchanged.

        :param peer: the peer's ``messages.Hello``
        """

    @abc.abstractmethod
    def handle(self, conn, message):
        """Take one message; raises PeerError to end the connection."""

    @abc.abstractmethod
    def detach(self):
        """Forget a connection that has ended."""

    def stop(self):
        """Begin to end, without waiting."""
        self._stop.set()
        conn = self._open
        if conn is not None:
            conn.close()

    def send(self, message):
        """Send a message if there is a connection; tells whether it went."""
        conn = self._conn
        return conn is not None and conn.try_send(message)

    def _run(self):
        while not self._stop.is_set():
            self._stop.wait(self._connect())

    def _connect(self):
        """Dial and talk until it is over.

        :returns: the seconds to wait before the next time
        """
        pause = REDIAL_SECONDS
        try:
            with self.dial() as conn:
                self._talk(conn)
        except streams.SilentError as exc:
            # It has been waited for already.
            pause = 0.0
            streams.log_end(exc, self.name)
        except streams.PeerError as exc:
            streams.log_end(exc, self.name)
        self._open = None
        self._conn = None
        self.detach()
        return pause

    def _talk(self, conn):
        self._open = conn
        if self._stop.is_set():
            return
        peer = streams.greet(conn, self.make_hello(), idle=self.idle)
        self._conn = conn
        self.attach(conn, peer)
        while not self._stop.is_set():
            self.handle(conn, conn.receive())
