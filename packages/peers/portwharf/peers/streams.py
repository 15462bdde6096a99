# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections that carry messages both ways over TCP.

A frame is one msgpack value, ``[kind, map]``; ``msgpack``'s own streaming
reader finds where it ends. Frames of unknown kinds are skipped, so that a
newer peer can send them. A frame that is too large or garbled, silence for
longer than the idle limit, or a peer that does not read, end that one
connection and nothing else. One thread reads; any thread may send, whole
frames at a time.

A connection may go silent for good without an end: packets are lost both
ways while new connections work. So the thread that reads sends a sign of
life when nothing else was sent for a while, and either end closes when it
has heard nothing for its idle limit. Senders that are blocked by then are
let go.
"""

import logging
import select
import socket
import ssl
import threading
import time

import msgpack

from portwharf.core import codec
from portwharf.core import logs
from portwharf.peers import messages

LOG = logging.getLogger(__name__)

# A frame holds at most a chunk of payload or a list of reports.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Payloads go in pieces of this size, so that small frames get between.
CHUNK_BYTES = 64 * 1024
DIAL_SECONDS = 1.0
GREETING_SECONDS = 3.0
# Silence that ends a connection: with a new one at once and its greetings,
# well within the 3 s after which the users' rules bind again.
IDLE_SECONDS = 1.6
# Signs of life that may be lost or late within an idle limit.
SIGNS_A_LIMIT = 3
KEEP_ALIVE = 'keep-alive'
# For a frame to get into the buffers of a slow path; a silent one is ended
# by the thread that reads.
SEND_SECONDS = 10.0
# A blocked sender looks so often whether its connection was closed.
_BLOCKED_SECONDS = 0.1
_READ_BYTES = 64 * 1024
_BACKLOG = 512
_MS = 1000
_NOT_NOW = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)
_SIGN = msgpack.packb([KEEP_ALIVE, {}])


class PeerError(Exception):
    """The connection is over; the text says why."""


class SilentError(PeerError):
    """The peer, or the path to it, was silent for too long."""


class GarbledError(PeerError):
    """The peer sent what no peer of ours would."""


class Connection:
    """One stream of messages; a context manager that closes it."""

    def __init__(self, sock, peer):
        """Take a connected socket and a name for the log."""
        self.peer = peer
        self._sock = sock
        self._lock = threading.Lock()
        self._closed = False
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        # Held for one read or write that does not wait: a TLS object may be
        # used by one thread at a time, and corrupts memory otherwise.
        self._io = threading.Lock()
        self._readable = select.poll()
        self._readable.register(sock, select.POLLIN)
        self._writable = select.poll()
        self._writable.register(sock, select.POLLOUT)
        self._sent_at = time.monotonic()
        self.set_idle(IDLE_SECONDS)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    @property
    def closed(self):
        """Whether this end has closed the connection."""
        return self._closed

    def close(self):
        """Close the connection; a thread that reads it wakes up."""
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()

    def send(self, message):
        """Send one message.

        :raises PeerError: the connection is over
        """
        kind = messages.NAMES[type(message)]
        frame = msgpack.packb([kind, codec.to_map(message)])
        try:
            with self._lock:
                self._send_all(frame)
                self._sent_at = time.monotonic()
        except (OSError, ValueError) as exc:
            self.close()
            raise PeerError(f'cannot send: {exc}') from exc

    def receive(self):
        """Return the next message, waiting up to the idle limit.

        :raises PeerError: the connection is over
        """
        while True:
            frame = self._receive_frame()
            message = _read_frame(frame)
            if message is not None:
                return message

    def try_send(self, message):
        """Send one message, or return False if the connection is over."""
        try:
            self.send(message)
        except PeerError:
            return False
        return True

    def _receive_frame(self):
        try:
            while True:
                for frame in self._unpacker:
                    return frame
                self._wait_for_bytes()
                raw = self._recv()
                if raw is None:
                    continue
                if not raw:
                    raise PeerError('closed by the peer')
                self._unpacker.feed(raw)
        except TimeoutError as exc:
            raise SilentError('silent for too long') from exc
        except OSError as exc:
            raise PeerError(f'cannot read: {exc}') from exc
        except (ValueError, msgpack.UnpackException) as exc:
            raise GarbledError(f'cannot read: {exc}') from exc

    def _recv(self):
        """Read what is there; None if that is no message's bytes.

        A TLS record may carry nothing for us, or have come in part.
        """
        try:
            with self._io:
                return self._sock.recv(_READ_BYTES)
        except _NOT_NOW:
            return None

    def _send_all(self, frame):
        """Send a frame, whatever it has to wait for.

        :raises TimeoutError: the peer does not read
        """
        limit = time.monotonic() + SEND_SECONDS
        rest = memoryview(frame)
        while rest:
            try:
                with self._io:
                    sent = self._sock.send(rest[:CHUNK_BYTES])
                rest = rest[sent:]
            except _NOT_NOW as exc:
                if self._closed or time.monotonic() > limit:
                    raise TimeoutError('the peer does not read') from exc
                self._wait_to_send(exc)

    def _wait_to_send(self, exc):
        """Wait until a write that could not go on may, or for a while."""
        reads = isinstance(exc, ssl.SSLWantReadError)
        waits = self._readable if reads else self._writable
        waits.poll(_BLOCKED_SECONDS * _MS)

    def _wait_for_bytes(self):
        """Wait until there is something to read, with signs of life.

        :raises TimeoutError: nothing came within the idle limit
        """
        limit = time.monotonic() + self._idle
        while not self._closed:
            self._keep_alive()
            left = limit - time.monotonic()
            if left <= 0:
                raise TimeoutError
            wait = min(left, self._idle / SIGNS_A_LIMIT)
            if self._readable.poll(wait * _MS):
                return

    def _keep_alive(self):
        """Send a sign of life if nothing was sent for a while.

        Never waits: while another thread sends, or what was sent before
        still fills the buffers, none is needed.
        """
        if time.monotonic() - self._sent_at < self._idle / SIGNS_A_LIMIT:
            return
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self._writable.poll(0):
                self._send_all(_SIGN)
                self._sent_at = time.monotonic()
        finally:
            self._lock.release()

    def set_idle(self, seconds):
        """Bound the silence that the connection outlives.

        The peer's bound has to be like ours, as signs of life are sent by
        our own.
        """
        self._idle = seconds


class Listener:
    """Accepts connections, each handled in a thread of its own."""

    def __init__(self, address, port, handle, context=None):
        """Listen on an address; port 0 takes any that is free.

        :param handle: called with each :class:`Connection`, which is
            closed when it returns
        :param context: a server's ``ssl`` context, or None
        """
        self._handle = handle
        self._context = context
        self._sock = socket.create_server(
            (address, port), backlog=_BACKLOG, reuse_port=False
        )
        self._conns = set()
        self._lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._accept_all, name='listener', daemon=True
        )

    @property
    def port(self):
        """The port that it listens on."""
        return self._sock.getsockname()[1]

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Stop accepting and close every connection."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        with self._lock:
            conns = list(self._conns)
        for conn in conns:
            conn.close()

    def _accept_all(self):
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError:
                return
            peer = f'{address[0]}:{address[1]}'
            threading.Thread(
                target=self._serve, args=(sock, peer), name=peer, daemon=True
            ).start()

    def _serve(self, sock, peer):
        try:
            conn = Connection(self._wrap(sock), peer)
        except (OSError, ssl.SSLError) as exc:
            LOG.warning('no TLS: %s', exc, extra=logs.fields(peer=peer))
            sock.close()
            return
        with self._lock:
            self._conns.add(conn)
        try:
            with conn:
                self._handle(conn)
        except PeerError as exc:
            log_end(exc, peer)
        except Exception:
            # A fault of ours, but one that this connection alone met.
            LOG.exception('connection failed', extra=logs.fields(peer=peer))
        finally:
            with self._lock:
                self._conns.discard(conn)

    def _wrap(self, sock):
        if self._context is None:
            return sock
        sock.settimeout(GREETING_SECONDS)
        return self._context.wrap_socket(sock, server_side=True)


def log_end(exc, peer):
    """Log why a connection is over, louder if it should never happen."""
    level = logging.DEBUG
    if isinstance(exc, GarbledError):
        level = logging.WARNING
    LOG.log(level, 'connection over: %s', exc, extra=logs.fields(peer=peer))


def dial(address, port, context=None):
    """Connect to a peer.

    :param context: a client's ``ssl`` context, or None
    :returns: a :class:`Connection`
    :raises PeerError: it cannot be reached
    """
    try:
        sock = socket.create_connection((address, port), DIAL_SECONDS)
        if context is not None:
            sock = context.wrap_socket(sock, server_hostname=address)
    except (OSError, ssl.SSLError) as exc:
        raise PeerError(f'cannot reach {address}:{port}: {exc}') from exc
    return Connection(sock, f'{address}:{port}')


def greet(conn, hello, seconds=GREETING_SECONDS, idle=IDLE_SECONDS):
    """Exchange greetings on a new connection, from the dialling end.

    A paused process accepts connections and says nothing, so that the wait
    is shorter than that for later messages.

    :param seconds: how long to wait for the peer's
    :param idle: the silence that the connection outlives from then on
    :returns: the peer's :class:`messages.Hello`
    :raises PeerError: no greeting, or another version
    """
    conn.set_idle(seconds)
    conn.send(hello)
    peer = check_greeting(conn.receive())
    conn.set_idle(idle)
    return peer


def check_greeting(message):
    """Return the peer's greeting if it is one that we understand.

    :raises PeerError: it is not
    """
    if not isinstance(message, messages.Hello):
        raise GarbledError(f'no greeting but {type(message).__name__}')
    if message.version != messages.PROTOCOL_VERSION:
        raise GarbledError(
            f'protocol version {message.version}, '
            f'this is {messages.PROTOCOL_VERSION}'
        )
    return message


def _read_frame(frame):
    """Return the message in a frame, or None if its kind is unknown.

    :raises PeerError: the frame is garbled
    """
    if not isinstance(frame, list) or len(frame) != 2:
        raise GarbledError('garbled frame')
    kind, fields = frame
    if not isinstance(kind, str):
        raise GarbledError('garbled kind')
    cls = messages.KINDS.get(kind)
    if cls is None:
        return None
    try:
        return codec.from_map(cls, fields)
    except (TypeError, ValueError) as exc:
        raise GarbledError(f'garbled {kind}: {exc}') from exc
