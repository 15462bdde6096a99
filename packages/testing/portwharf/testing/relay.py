# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Relays between our processes, so that their connections can be cut.

One for each side: the VM list names the relay's port. A cut relay breaks
its connections and takes no new ones; a silent one keeps them open and
passes nothing on, as a network does that loses everything. Connections may
also go silent for good while new ones work.
"""

import socket
import threading
import time

_READ_BYTES = 65536


class Relay:
    """Passes connections on to one port; a context manager."""

    def __init__(self, address, port, target, target_address=''):
        """Listen on a port and pass on to the port ``target``.

        :param target_address: where that is; the same address if it is ''
        """
        self._address = target_address or address
        self._target = target
        self._listener = socket.create_server((address, port), backlog=64)
        self._socks = set()
        self._lock = threading.Lock()
        # Whether bytes pass, towards the target and back.
        self._onward = threading.Event()
        self._back = threading.Event()
        self.silence(False)
        # Set once the connections that were made until then are hushed.
        self._hushed = threading.Event()
        self._over = threading.Event()
        self.refusing = False
        # Seconds that each piece is held up.
        self.delay = 0.0

    @property
    def port(self):
        """The port that it listens on."""
        return self._listener.getsockname()[1]

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        # Closing alone leaves it open for the thread that accepts.
        _shut(self._listener)
        self._over.set()
        self.silence(False)
        self.cut()

    def cut(self):
        """Break all connections."""
        with self._lock:
            socks = list(self._socks)
            self._socks.clear()
        for sock in socks:
            _shut(sock)

    def hush(self):
        """Have all open connections go silent for good, without a reset."""
        self._hushed.set()
        self._hushed = threading.Event()

    def silence(self, silent):
        """Pass nothing on, or pass on again what was held up."""
        self.silence_ways(silent, silent)

    def silence_ways(self, onward, back):
        """Pass nothing on, in one direction or the other."""
        for way, silent in ((self._onward, onward), (self._back, back)):
            if silent:
                way.clear()
            else:
                way.set()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self.refusing:
                near.close()
                continue
            try:
                far = socket.create_connection(
                    (self._address, self._target), 2
                )
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            self._join(near, far)

    def _join(self, near, far):
        with self._lock:
            self._socks |= {near, far}
        hushed = self._hushed
        rows = ((near, far, self._onward), (far, near, self._back))
        for one, other, way in rows:
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._pass_on,
                args=(one, other, way, hushed),
                daemon=True,
            ).start()

    def _pass_on(self, one, other, way, hushed):
        try:
            while raw := one.recv(_READ_BYTES):
                way.wait()
                if self.delay:
                    time.sleep(self.delay)
                if hushed.is_set():
                    # Nothing is read any more, so that buffers fill up.
                    self._over.wait()
                    break
                other.sendall(raw)
        except OSError:
            pass
        if hushed.is_set():
            # The other end does not hear of an end either.
            self._over.wait()
        _shut(one)
        _shut(other)
        with self._lock:
            self._socks -= {one, other}


def _shut(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
