# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections that carry messages in both directions over TCP.

A frame is one msgpack value, ``[kind, map]``; msgpack's streaming reader
finds its end. Frames of unknown kinds are skipped, so that newer peers can
send them. A frame that is too large or malformed, silence for longer than the
idle limit, or a peer that does not read closes that connection only. One
thread reads a connection; any thread may send on it, one whole frame at a
time.

``send`` waits for a slow peer, and suits payloads. ``post`` never waits, so
that a thread that serves many peers is not held up by one of them: what the
peer does not take yet is queued, and the reading thread sends it. The queue
is bounded; a connection whose queue is full is closed.

A connection may go silent without being closed, when packets are lost in both
directions while new connections work. So the reading thread sends a
keep-alive frame when nothing else was sent for a while, and each end closes
the connection when it has received nothing for its idle limit. That also
releases blocked senders.
"""

import collections
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

# Maximum size of a frame, large enough for a chunk of payload or a list of
# reports.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Payloads are sent in pieces, so that small frames can go in between.
CHUNK_BYTES = 64 * 1024
DIAL_SECONDS = 1.0
GREETING_SECONDS = 3.0
# Silence that closes a connection. Redialling and the greetings have to fit
# as well into the 3 s after which the users' rules apply again.
IDLE_SECONDS = 1.6
# Keep-alive frames that are sent within one idle limit.
KEEP_ALIVES_PER_LIMIT = 3
KEEP_ALIVE = 'keep-alive'
# Limit for sending a frame on a slow path. On a silent path the reading
# thread closes the connection sooner.
SEND_SECONDS = 10.0
# Posted bytes that may wait for a peer to read.
MAX_POSTED_BYTES = 1024 * 1024
# Interval at which a blocked sender checks whether its connection was closed.
_BLOCKED_POLL_SECONDS = 0.1
_READ_BYTES = 64 * 1024
_BACKLOG = 512
_MS_PER_SECOND = 1000
_WOULD_BLOCK_WRITE = (BlockingIOError, ssl.SSLWantWriteError)
_WOULD_BLOCK = (*_WOULD_BLOCK_WRITE, ssl.SSLWantReadError)
_KEEP_ALIVE_FRAME = msgpack.packb([KEEP_ALIVE, {}])


class PeerError(Exception):
    """The connection is closed or unusable; the text says why."""


class IdleTimeoutError(PeerError):
    """Nothing was received for longer than the idle limit."""


class ProtocolError(PeerError):
    """The peer sent data that violates the protocol."""


class Connection:
    """A connection to one peer; a context manager that closes it."""

    def __init__(self, sock, peer):
        """Set up a connection.

        :param sock: a connected socket
        :param peer: the peer's name in log lines
        """
        self.peer = peer
        self._sock = sock
        # Held by a waiting sender, so that only one frame of those is queued.
        self._send_lock = threading.Lock()
        # Pairs of the unsent part of a frame and its size if it was posted,
        # or 0. Guarded by the I/O lock, like the counters.
        self._unsent = collections.deque()
        self._posted_bytes = 0
        self._queued_frames = 0
        self._sent_frames = 0
        # The time since which the peer has taken no data, or None.
        self._blocked_since = None
        self._closed = False
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        # Lock held for each read or write, none of which blocks. A TLS object
        # used by two threads at once corrupts memory.
        self._io_lock = threading.Lock()
        self._read_poll = select.poll()
        self._read_poll.register(sock, select.POLLIN)
        self._write_poll = select.poll()
        self._write_poll.register(sock, select.POLLOUT)
        self._duplex_poll = select.poll()
        self._duplex_poll.register(sock, select.POLLIN | select.POLLOUT)
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
        """Close the connection; a blocked reader wakes up."""
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()

    def send(self, message):
        """Send one message, waiting for the peer to read as needed.

        :raises PeerError: the connection is closed
        """
        frame = encode_frame(message)
        try:
            with self._send_lock:
                self._send_all(frame)
        except (OSError, ValueError) as exc:
            self.close()
            raise PeerError(f'cannot send: {exc}') from exc

    def post(self, message, frame=b''):
        """Send one message without waiting, in the order of the calls.

        :param frame: as :func:`encode_frame` returns it for the message, to
            post it to many peers
        :raises PeerError: the connection is closed, or too much is waiting
            for the peer to read
        """
        frame = frame or encode_frame(message)
        try:
            self._flush(self._queued_frames)
            if self._posted_bytes > MAX_POSTED_BYTES:
                raise TimeoutError('the peer does not read')
            self._flush(self._queue_frame(frame, len(frame)))
        except (OSError, ValueError) as exc:
            self.close()
            raise PeerError(f'cannot send: {exc}') from exc

    def receive(self):
        """Return the next message, waiting up to the idle limit.

        :raises PeerError: the connection is closed
        """
        while True:
            frame = self._receive_frame()
            message = _decode_frame(frame)
            if message is not None:
                return message

    def try_send(self, message):
        """Send one message; returns False if the connection is closed."""
        try:
            self.send(message)
        except PeerError:
            return False
        return True

    def try_post(self, message, frame=b''):
        """Post one message; returns False if the connection is closed.

        :param frame: as for :meth:`post`
        """
        try:
            self.post(message, frame)
        except PeerError:
            return False
        return True

    def _receive_frame(self):
        try:
            while True:
                for frame in self._unpacker:
                    return frame
                self._wait_until_readable()
                raw = self._read_available()
                if raw is None:
                    continue
                if not raw:
                    raise PeerError('closed by the peer')
                self._unpacker.feed(raw)
        except TimeoutError as exc:
            raise IdleTimeoutError('silent for too long') from exc
        except OSError as exc:
            raise PeerError(f'cannot read: {exc}') from exc
        except (ValueError, msgpack.UnpackException) as exc:
            raise ProtocolError(f'cannot read: {exc}') from exc

    def _read_available(self):
        """Return the available bytes, or None if there are none yet.

        A TLS record may have arrived in part, or contain no payload.
        """
        try:
            with self._io_lock:
                return self._sock.recv(_READ_BYTES)
        except _WOULD_BLOCK:
            return None

    def _send_all(self, frame):
        """Send a whole frame, waiting for the peer to read as needed.

        :raises TimeoutError: the peer does not read
        """
        deadline = time.monotonic() + SEND_SECONDS
        number = self._queue_frame(frame)
        while True:
            blocked = self._flush(number)
            if blocked is None:
                return
            if self._closed or time.monotonic() > deadline:
                raise TimeoutError('the peer does not read')
            self._wait_until_writable(blocked)

    def _queue_frame(self, frame, posted_bytes=0):
        """Queue a frame behind those that wait to be sent.

        :returns: the number of frames queued so far
        """
        with self._io_lock:
            self._unsent.append((memoryview(frame), posted_bytes))
            self._posted_bytes += posted_bytes
            self._queued_frames += 1
            return self._queued_frames

    def _flush(self, number):
        """Send queued frames as far as that is possible without waiting.

        :param number: of the last frame to send
        :returns: the error of the write that would block, or None if the
            frame was sent
        """
        while True:
            with self._io_lock:
                if self._sent_frames >= number:
                    return None
                frame, posted_bytes = self._unsent[0]
                try:
                    sent = self._sock.send(frame[:CHUNK_BYTES])
                except _WOULD_BLOCK as exc:
                    if self._blocked_since is None:
                        self._blocked_since = time.monotonic()
                    return exc
                self._blocked_since = None
                self._sent_at = time.monotonic()
                if sent < len(frame):
                    self._unsent[0] = (frame[sent:], posted_bytes)
                    continue
                self._unsent.popleft()
                self._posted_bytes -= posted_bytes
                self._sent_frames += 1

    def _wait_until_writable(self, exc):
        """Wait until a blocked write may go on, or for a short time.

        :param exc: how the write was blocked; TLS may need a read first
        """
        wants_read = isinstance(exc, ssl.SSLWantReadError)
        poll = self._read_poll if wants_read else self._write_poll
        poll.poll(_BLOCKED_POLL_SECONDS * _MS_PER_SECOND)

    def _wait_until_readable(self):
        """Wait until there are bytes to read.

        Sends the queued frames meanwhile, and keep-alive frames.

        :raises TimeoutError: nothing came within the idle limit
        :raises PeerError: the peer does not read
        """
        deadline = time.monotonic() + self._idle_seconds
        while not self._closed:
            self._queue_keep_alive()
            blocked = self._flush(self._queued_frames)
            self._check_progress()
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError
            wait = min(left, self._idle_seconds / KEEP_ALIVES_PER_LIMIT)
            poll = self._read_poll
            if isinstance(blocked, _WOULD_BLOCK_WRITE):
                poll = self._duplex_poll
            for _, ready in poll.poll(wait * _MS_PER_SECOND):
                if ready != select.POLLOUT:
                    return

    def _queue_keep_alive(self):
        """Queue a keep-alive frame if nothing was sent for a while.

        None is needed while earlier frames wait to be sent.
        """
        if self._unsent or (
            time.monotonic() - self._sent_at
            < self._idle_seconds / KEEP_ALIVES_PER_LIMIT
        ):
            return
        self._queue_frame(_KEEP_ALIVE_FRAME)

    def _check_progress(self):
        """Check that the peer has taken data recently, if any are queued.

        :raises PeerError: it has not
        """
        since = self._blocked_since
        if since is not None and time.monotonic() - since > SEND_SECONDS:
            raise PeerError('the peer does not read')

    def set_idle(self, seconds):
        """Set how many seconds of silence close the connection.

        Both ends need similar limits, as each sends its keep-alive frames
        at intervals that depend on its own.
        """
        self._idle_seconds = seconds


class Listener:
    """Accepts connections and handles each one in a thread of its own."""

    def __init__(self, address, port, handle, context=None):
        """Listen on an address; port 0 takes any free port.

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
        """The port that the listener is bound to."""
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
            conn = Connection(self._start_tls(sock), peer)
        except (OSError, ssl.SSLError) as exc:
            LOG.warning('TLS failed: %s', exc, extra=logs.fields(peer=peer))
            sock.close()
            return
        with self._lock:
            self._conns.add(conn)
        try:
            with conn:
                self._handle(conn)
        except PeerError as exc:
            log_closed(exc, peer)
        except Exception:
            # A bug in the handler must not affect other connections.
            LOG.exception('connection failed', extra=logs.fields(peer=peer))
        finally:
            with self._lock:
                self._conns.discard(conn)

    def _start_tls(self, sock):
        if self._context is None:
            return sock
        sock.settimeout(GREETING_SECONDS)
        return self._context.wrap_socket(sock, server_side=True)


def log_closed(exc, peer):
    """Log why a connection was closed, a protocol violation as a warning."""
    level = logging.DEBUG
    if isinstance(exc, ProtocolError):
        level = logging.WARNING
    LOG.log(level, 'connection closed: %s', exc, extra=logs.fields(peer=peer))


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


def exchange_hellos(conn, hello, seconds=GREETING_SECONDS, idle=IDLE_SECONDS):
    """Exchange greetings on a new connection, as the dialling end.

    The wait for the greeting has its own limit, as a paused process accepts
    connections and sends nothing.

    :param seconds: how long to wait for the peer's greeting
    :param idle: the idle limit in seconds after the greetings
    :returns: the peer's :class:`messages.Hello`
    :raises PeerError: no greeting, or another protocol version
    """
    conn.set_idle(seconds)
    conn.send(hello)
    peer = check_hello(conn.receive())
    conn.set_idle(idle)
    return peer


def check_hello(message):
    """Return the peer's greeting if it is a valid one.

    :raises PeerError: not a greeting, or another protocol version
    """
    if not isinstance(message, messages.Hello):
        raise ProtocolError(f'no greeting but a {type(message).__name__}')
    if message.version != messages.PROTOCOL_VERSION:
        raise ProtocolError(
            f'protocol version {message.version}, '
            f'this is {messages.PROTOCOL_VERSION}'
        )
    return message


def encode_frame(message):
    """Return a message as the bytes that are sent."""
    kind = messages.KIND_BY_CLASS[type(message)]
    return msgpack.packb([kind, codec.to_map(message)])


def _decode_frame(frame):
    """Return the message in a frame, or None if its kind is unknown.

    :raises PeerError: the frame is malformed
    """
    if not isinstance(frame, list) or len(frame) != 2:
        raise ProtocolError('malformed frame')
    kind, fields = frame
    if not isinstance(kind, str):
        raise ProtocolError('malformed kind of a frame')
    cls = messages.KINDS.get(kind)
    if cls is None:
        return None
    try:
        return codec.from_map(cls, fields)
    except (TypeError, ValueError) as exc:
        raise ProtocolError(f'malformed {kind}: {exc}') from exc
