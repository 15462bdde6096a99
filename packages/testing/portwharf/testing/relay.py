# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Relays between our processes, so that their connections can be cut.

One for each side: the VM list names the relay's port. A cut relay breaks
its connections and takes no new ones; a silent one keeps them open and
passes nothing on, as a network does that loses everything.
"""

import socket
import threading

_READ_BYTES = 65536


class Relay:
    """Passes connections on to one port; a context manager."""

    def __init__(self, address, port, target):
        """Listen on a port and pass on to the port ``target``."""
        self._address = address
        self._target = target
        self._listener = socket.create_server((address, port), backlog=64)
        self._socks = set()
        self._lock = threading.Lock()
        self._open = threading.Event()
        self._open.set()
        self.refusing = False

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self._listener.close()
        self.cut()

    def cut(self):
        """Break all connections."""
        with self._lock:
            socks = list(self._socks)
            self._socks.clear()
        for sock in socks:
            _shut(sock)

    def silence(self, silent):
        """Pass nothing on, or pass on again what was held up."""
        if silent:
            self._open.clear()
        else:
            self._open.set()

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
        for one, other in ((near, far), (far, near)):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._pass_on, args=(one, other), daemon=True
            ).start()

    def _pass_on(self, one, other):
        try:
            while raw := one.recv(_READ_BYTES):
                self._open.wait()
                other.sendall(raw)
        except OSError:
            pass
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
