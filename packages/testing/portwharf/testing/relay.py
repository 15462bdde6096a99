# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""TCP proxy that injects network faults between processes.

It can close its connections, refuse new ones, delay data, hold data back in
either direction as a network that drops every packet, or stop forwarding on
the existing connections for good while new ones work.
"""

import socket
import threading
import time

_READ_BYTES = 65536


class Relay:
    """Forwards connections to one target port; a context manager.

    :ivar refusing: whether new connections are closed at once
    :ivar delay: seconds that each received chunk is delayed by
    """

    def __init__(self, address, port, target, target_address=''):
        """Listen on a port; forwarding starts on entering the context.

        :param port: 0 for a free port
        :param target: port that connections are forwarded to
        :param target_address: the target's address, '' for ``address``
        """
        self._target_address = target_address or address
        self._target_port = target
        self._listener = socket.create_server((address, port), backlog=64)
        self._open_sockets = set()
        self._lock = threading.Lock()
        # Events that are set while data is forwarded, one for each direction.
        self._to_target = threading.Event()
        self._from_target = threading.Event()
        self.silence(False)
        # Event shared by the connections accepted since the last freeze.
        self._freeze_requested = threading.Event()
        self._stopped = threading.Event()
        self.refusing = False
        self.delay = 0.0

    @property
    def port(self):
        """The port that the relay listens on."""
        return self._listener.getsockname()[1]

    def __enter__(self):
        threading.Thread(target=self._accept_connections, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        # Closing a socket does not wake a thread blocked in accept().
        _close_socket(self._listener)
        self._stopped.set()
        self.silence(False)
        self.cut()

    def cut(self):
        """Close all connections."""
        with self._lock:
            socks = list(self._open_sockets)
            self._open_sockets.clear()
        for sock in socks:
            _close_socket(sock)

    def freeze_connections(self):
        """Stop forwarding on open connections for good, without closing."""
        self._freeze_requested.set()
        self._freeze_requested = threading.Event()

    def silence(self, silent):
        """Hold back all data, or release it, in both directions."""
        self.silence_ways(silent, silent)

    def silence_ways(self, onward, back):
        """Hold back or release data in each direction.

        :param onward: whether data to the target is held back
        :param back: whether data from the target is held back
        """
        for flow_enabled, silent in (
            (self._to_target, onward),
            (self._from_target, back),
        ):
            if silent:
                flow_enabled.clear()
            else:
                flow_enabled.set()

    def _accept_connections(self):
        while True:
            try:
                client_sock, _ = self._listener.accept()
            except OSError:
                return
            if self.refusing:
                client_sock.close()
                continue
            try:
                target_sock = socket.create_connection(
                    (self._target_address, self._target_port), 2
                )
            except OSError:
                client_sock.close()
                continue
            target_sock.settimeout(None)
            self._forward_both_ways(client_sock, target_sock)

    def _forward_both_ways(self, client_sock, target_sock):
        # A connection may be closed as soon as it is known or forwarded.
        for sock in (client_sock, target_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open_sockets |= {client_sock, target_sock}
        freeze_requested = self._freeze_requested
        directions = (
            (client_sock, target_sock, self._to_target),
            (target_sock, client_sock, self._from_target),
        )
        for source, sink, flow_enabled in directions:
            threading.Thread(
                target=self._forward,
                args=(source, sink, flow_enabled, freeze_requested),
                daemon=True,
            ).start()

    def _forward(self, source, sink, flow_enabled, freeze_requested):
        try:
            while chunk := source.recv(_READ_BYTES):
                flow_enabled.wait()
                if self.delay:
                    time.sleep(self.delay)
                if freeze_requested.is_set():
                    # Reading stops here, so that the sender's buffers fill up.
                    self._stopped.wait()
                    break
                sink.sendall(chunk)
        except OSError:
            pass
        if freeze_requested.is_set():
            # The wait keeps the peer's connection open although this one
            # closed.
            self._stopped.wait()
        _close_socket(source)
        _close_socket(sink)
        with self._lock:
            self._open_sockets -= {source, sink}


def _close_socket(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
