# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests of framing, greetings, TLS and idle limits of connections."""

import queue
import socket
import threading
from unittest import mock

import msgpack

from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import tls
from portwharf.testing import fixtures
from portwharf.testing import relay

HELLO = messages.Hello(role='entry', name='entry-0')


def listen(case, context=None):
    """Serve connections that echo each message.

    :returns: the listener's port, and a queue of the reasons why connections
        were closed
    """
    reasons = queue.Queue()

    def echo(conn):
        try:
            while True:
                conn.send(conn.receive())
        except streams.PeerError as exc:
            reasons.put(str(exc))
            raise

    listener = streams.Listener('127.0.0.1', 0, echo, context)
    case.enterContext(listener)
    return listener.port, reasons


def dial(case, port, context=None):
    """Return a connection to a loopback port."""
    conn = streams.dial('127.0.0.1', port, context)
    return case.enterContext(conn)


def send_raw(case, port, raw):
    """Send bytes on a new connection and leave it open."""
    sock = socket.create_connection(('127.0.0.1', port))
    case.addCleanup(sock.close)
    sock.sendall(raw)
    return sock


def test_message_encoded_beforehand_arrives_unchanged(case):
    port, _ = listen(case)
    conn = dial(case, port)
    conn.post(HELLO, streams.encode_frame(HELLO))
    case.assertEqual(conn.receive(), HELLO)


def test_message_is_echoed_unchanged(case):
    port, _ = listen(case)
    conn = dial(case, port)
    request = messages.Request(7, 'id', 'lens/fit', True, 100)
    request.size = 3
    request.payload = b'abc'
    conn.send(request)
    case.assertEqual(conn.receive(), request)


def test_unknown_kind_is_skipped(case):
    port, _ = listen(case)
    frames = msgpack.packb(['from-the-future', {'x': 1}])
    frames += msgpack.packb(['hello', {'name': 'n'}])
    sock = send_raw(case, port, frames)
    answer = msgpack.unpackb(sock.recv(1000))
    case.assertEqual(answer, ['hello', {'name': 'n'}])


def test_malformed_frame_closes_only_its_connection(case):
    port, reasons = listen(case)
    other = dial(case, port)
    for raw in (
        msgpack.packb({'not': 'a frame'}),
        msgpack.packb(['hello']),
        msgpack.packb([5, {}]),
        msgpack.packb(['hello', {'epoch': 'x'}]),
        msgpack.packb(['hello', 'text']),
        b'\xc1\xc1\xc1',
    ):
        sock = send_raw(case, port, raw)
        case.assertEqual(sock.recv(10), b'')
        reasons.get(timeout=10)
    other.send(HELLO)
    case.assertEqual(other.receive(), HELLO)


def test_oversized_frame_closes_its_connection(case):
    port, reasons = listen(case)
    head = b'\xc6' + (streams.MAX_FRAME_BYTES * 2).to_bytes(4, 'big')
    sock = send_raw(case, port, head)
    piece = bytes(65536)
    try:
        for _ in range(streams.MAX_FRAME_BYTES * 2 // len(piece)):
            sock.sendall(piece)
    except OSError:
        pass
    case.assertIn('cannot read', reasons.get(timeout=10))


def test_both_ends_notice_a_closed_connection(case):
    port, reasons = listen(case)
    conn = dial(case, port)
    conn.close()
    case.assertIn('closed', reasons.get(timeout=10))
    with case.assertRaises(streams.PeerError):
        conn.receive()
    case.assertFalse(conn.try_send(HELLO))


def test_unreachable_peer_is_an_error(case):
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        port = sock.getsockname()[1]
        # Bound and not listening: connections are refused, and no other
        # process can listen there.
        with case.assertRaisesRegex(streams.PeerError, 'cannot reach'):
            streams.dial('127.0.0.1', port)


def test_other_version_is_refused(case):
    newer = messages.Hello(messages.PROTOCOL_VERSION + 1)
    with case.assertRaisesRegex(streams.PeerError, 'protocol version'):
        streams.check_hello(newer)


def test_other_message_than_a_greeting_is_refused(case):
    with case.assertRaisesRegex(streams.PeerError, 'no greeting'):
        streams.check_hello(messages.Grant())


def test_tls_between_certified_peers(case):
    issue = fixtures.make_authority(case)
    port, _ = listen(case, tls.make_server_context(issue('side')))
    conn = dial(case, port, tls.make_client_context(issue('entry')))
    conn.send(HELLO)
    case.assertEqual(conn.receive(), HELLO)


def test_tls_refuses_a_certificate_of_another_authority(case):
    issue = fixtures.make_authority(case)
    foreign_files = fixtures.make_authority(case)('stranger')
    port, _ = listen(case, tls.make_server_context(issue('side')))
    with case.assertRaises(streams.PeerError):
        conn = dial(case, port, tls.make_client_context(foreign_files))
        conn.receive()


def test_tls_refuses_plain_text(case):
    issue = fixtures.make_authority(case)
    port, _ = listen(case, tls.make_server_context(issue('side')))
    conn = dial(case, port)
    conn.try_send(HELLO)
    with case.assertRaises(streams.PeerError):
        conn.receive()


def dial_through_relay(case, port):
    """Return a connection through a relay, and the relay."""
    link_relay = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    return dial(case, link_relay.port), link_relay


def make_pair(case, idle):
    """Return a connection and the plain socket at its other end."""
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)
    ours = socket.create_connection(server.getsockname())
    theirs, _ = server.accept()
    case.addCleanup(theirs.close)
    theirs.settimeout(10)
    conn = case.enterContext(streams.Connection(ours, 'peer'))
    conn.set_idle(idle)
    return conn, theirs


def test_keep_alives_hold_an_idle_connection_open(case):
    conn, theirs = make_pair(case, 1.5)
    received = queue.Queue()
    threading.Thread(target=lambda: received.put(conn.receive())).start()
    unpacker = msgpack.Unpacker()
    messages_seen = []
    while len(messages_seen) < 2 * streams.KEEP_ALIVES_PER_LIMIT:
        # Several arrive at once if this thread was delayed.
        raw = theirs.recv(1000)
        case.assertTrue(raw)
        unpacker.feed(raw)
        messages_seen += unpacker
        theirs.sendall(raw)
    for message in messages_seen:
        case.assertEqual(message, [streams.KEEP_ALIVE, {}])
    theirs.sendall(msgpack.packb(['hello', {}]))
    case.assertEqual(received.get(timeout=10), messages.Hello())


def test_no_keep_alive_is_sent_after_a_message(case):
    conn, theirs = make_pair(case, 60.0)
    conn.send(HELLO)
    theirs.sendall(msgpack.packb(['hello', {}]))
    conn.receive()
    frame = theirs.recv(1000)
    case.assertEqual(msgpack.unpackb(frame)[0], 'hello')


def test_both_ends_notice_a_silent_connection(case):
    port, reasons = listen(case)
    conn, link_relay = dial_through_relay(case, port)
    conn.send(HELLO)
    conn.receive()
    link_relay.freeze_connections()
    with case.assertRaises(streams.IdleTimeoutError):
        conn.receive()
    case.assertIn('silent', reasons.get(timeout=8))


def test_blocked_sender_is_released_when_the_connection_is_silent(case):
    port, _ = listen(case)
    conn, link_relay = dial_through_relay(case, port)
    conn.send(HELLO)
    conn.receive()
    link_relay.freeze_connections()
    chunk = messages.Chunk(1, bytes(streams.MAX_FRAME_BYTES // 2))

    def send_until_closed():
        while conn.try_send(chunk):
            pass

    sender = threading.Thread(target=send_until_closed)
    sender.start()
    with case.assertRaises(streams.IdleTimeoutError), conn:
        while True:
            conn.receive()
    sender.join(8)
    case.assertFalse(sender.is_alive())


def test_idle_limit_applies_with_tls(case):
    """TLS data without a message does not extend the idle limit.

    Such data are a server's session tickets, or the first part of a record
    when the rest was lost.
    """
    issue = fixtures.make_authority(case)
    done = threading.Event()
    case.addCleanup(done.set)
    listener = streams.Listener(
        '127.0.0.1',
        0,
        lambda conn: done.wait(30),
        tls.make_server_context(issue('side')),
    )
    case.enterContext(listener)
    context = tls.make_client_context(issue('entry'))
    conn = dial(case, listener.port, context)
    conn.set_idle(0.3)
    # Reads do not block, so that only the idle limit applies.
    case.assertFalse(conn._sock.getblocking())
    with case.assertRaises(streams.IdleTimeoutError):
        conn.receive()


def make_slow_pair(case, context_pair=(None, None)):
    """Return two connected ends between which few bytes fit.

    :param context_pair: the ``ssl`` contexts of the dialling and the
        accepting end, or None
    """
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    accepted = queue.Queue()

    def accept():
        sock, _ = server.accept()
        if context_pair[1] is not None:
            sock = context_pair[1].wrap_socket(sock, server_side=True)
        accepted.put(streams.Connection(sock, 'theirs'))

    threading.Thread(target=accept, daemon=True).start()
    conn = dial(case, server.getsockname()[1], context_pair[0])
    conn._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    theirs = case.enterContext(accepted.get(timeout=10))
    for end in (conn, theirs):
        end.set_idle(60.0)
    return conn, theirs


def make_contexts(case):
    """Return the TLS contexts of a dialling and an accepting end."""
    issue = fixtures.make_authority(case)
    return (
        tls.make_client_context(issue('entry')),
        tls.make_server_context(issue('side')),
    )


def read_in_background(conn):
    """Let a thread read a connection, which sends what was posted on it."""

    def read():
        while True:
            try:
                conn.receive()
            except streams.PeerError:
                return

    threading.Thread(target=read, daemon=True).start()


def check_order_after_a_pause(case, conn, theirs):
    """Check what a peer receives that begins to read late."""
    read_in_background(conn)
    count = 400
    for number in range(count):
        conn.post(messages.Chunk(number, bytes(1000)))
    case.assertTrue(conn._unsent)
    sender = threading.Thread(
        target=conn.send, args=(messages.Chunk(count, bytes(500_000)),)
    )
    sender.start()
    for number in range(count + 1):
        case.assertEqual(theirs.receive().id, number)
    sender.join(10)
    conn.post(HELLO)
    case.assertEqual(theirs.receive(), HELLO)


def test_posted_messages_arrive_in_order_once_the_peer_reads(case):
    check_order_after_a_pause(case, *make_slow_pair(case))


def test_posted_messages_arrive_in_order_with_tls(case):
    pair = make_slow_pair(case, make_contexts(case))
    check_order_after_a_pause(case, *pair)


def test_reading_thread_sends_what_was_posted(case):
    conn, theirs = make_slow_pair(case)
    chunk = messages.Chunk(1, bytes(500_000))
    conn.post(chunk)
    conn.post(HELLO)
    case.assertTrue(conn._unsent)
    read_in_background(conn)
    case.assertEqual(theirs.receive(), chunk)
    case.assertEqual(theirs.receive(), HELLO)


def test_connection_closes_when_too_much_is_posted(case):
    conn, _ = make_slow_pair(case)
    read_in_background(conn)
    chunk = messages.Chunk(1, bytes(10_000))
    posted = 0
    while conn.try_post(chunk):
        posted += 10_000
        case.assertLess(posted, 2 * streams.MAX_POSTED_BYTES)
    case.assertGreater(posted, streams.MAX_POSTED_BYTES / 2)
    case.assertTrue(conn.closed)


def test_payload_does_not_count_as_posted(case):
    conn, theirs = make_slow_pair(case)
    payload = messages.Chunk(1, bytes(2 * streams.MAX_POSTED_BYTES))
    sender = threading.Thread(target=conn.send, args=(payload,))
    sender.start()
    while not conn._unsent:
        sender.join(0.01)
    conn.post(HELLO)
    conn.post(HELLO)
    case.assertEqual(theirs.receive(), payload)
    sender.join(10)
    read_in_background(conn)
    for _ in range(2):
        case.assertEqual(theirs.receive(), HELLO)


def test_posting_reader_notices_a_silent_connection(case):
    conn, _ = make_slow_pair(case)
    conn.set_idle(0.3)
    conn.post(messages.Chunk(1, bytes(500_000)))
    with case.assertRaises(streams.IdleTimeoutError):
        conn.receive()


def test_connection_closes_when_a_posted_message_is_never_read(case):
    case.enterContext(mock.patch.object(streams, 'SEND_SECONDS', 0.3))
    conn, theirs = make_slow_pair(case)
    conn.set_idle(1.0)
    ended = threading.Event()
    case.addCleanup(ended.set)

    def send_hellos():
        while theirs.try_send(HELLO):
            ended.wait(0.1)

    threading.Thread(target=send_hellos, daemon=True).start()
    conn.post(messages.Chunk(1, bytes(500_000)))
    with case.assertRaisesRegex(streams.PeerError, 'does not read'):
        while True:
            conn.receive()
