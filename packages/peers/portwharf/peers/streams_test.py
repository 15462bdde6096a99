# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Bad frames end one connection and nothing else; TLS keeps others out."""

import queue
import socket
import threading

import msgpack

from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import tls
from portwharf.testing import fixtures
from portwharf.testing import relay

HELLO = messages.Hello(role='entry', name='entry-0')


def listen(case, context=None):
    """Serve connections that send back what they get.

    :returns: the listener's port and a queue of how connections ended
    """
    ended = queue.Queue()

    def echo(conn):
        try:
            while True:
                conn.send(conn.receive())
        except streams.PeerError as exc:
            ended.put(str(exc))
            raise

    listener = streams.Listener('127.0.0.1', 0, echo, context)
    case.enterContext(listener)
    return listener.port, ended


def dial(case, port, context=None):
    """Return a connection to a loopback port."""
    conn = streams.dial('127.0.0.1', port, context)
    return case.enterContext(conn)


def send_raw(case, port, raw):
    """Send bytes on a new connection, which stays open."""
    sock = socket.create_connection(('127.0.0.1', port))
    case.addCleanup(sock.close)
    sock.sendall(raw)
    return sock


def test_message_comes_back_whole(case):
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


def test_garbled_frame_ends_its_connection_alone(case):
    port, ended = listen(case)
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
        ended.get(timeout=10)
    other.send(HELLO)
    case.assertEqual(other.receive(), HELLO)


def test_oversized_frame_ends_its_connection(case):
    port, ended = listen(case)
    head = b'\xc6' + (streams.MAX_FRAME_BYTES * 2).to_bytes(4, 'big')
    sock = send_raw(case, port, head)
    piece = bytes(65536)
    try:
        for _ in range(streams.MAX_FRAME_BYTES * 2 // len(piece)):
            sock.sendall(piece)
    except OSError:
        pass
    case.assertIn('cannot read', ended.get(timeout=10))


def test_closed_connection_tells_both_ends(case):
    port, ended = listen(case)
    conn = dial(case, port)
    conn.close()
    case.assertIn('closed', ended.get(timeout=10))
    with case.assertRaises(streams.PeerError):
        conn.receive()
    case.assertFalse(conn.try_send(HELLO))


def test_unreachable_peer_is_told(case):
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        port = sock.getsockname()[1]
    with case.assertRaisesRegex(streams.PeerError, 'cannot reach'):
        streams.dial('127.0.0.1', port)


def test_other_version_is_refused(case):
    newer = messages.Hello(messages.PROTOCOL_VERSION + 1)
    with case.assertRaisesRegex(streams.PeerError, 'protocol version'):
        streams.check_greeting(newer)


def test_no_greeting_is_refused(case):
    with case.assertRaisesRegex(streams.PeerError, 'no greeting'):
        streams.check_greeting(messages.Grant())


def test_tls_between_certified_peers(case):
    issue = fixtures.make_authority(case)
    port, _ = listen(case, tls.make_server_context(issue('side')))
    conn = dial(case, port, tls.make_client_context(issue('entry')))
    conn.send(HELLO)
    case.assertEqual(conn.receive(), HELLO)


def test_tls_turns_away_who_has_no_certificate_of_ours(case):
    issue = fixtures.make_authority(case)
    strange = fixtures.make_authority(case)('stranger')
    port, _ = listen(case, tls.make_server_context(issue('side')))
    with case.assertRaises(streams.PeerError):
        conn = dial(case, port, tls.make_client_context(strange))
        conn.receive()


def test_tls_turns_away_plain_text(case):
    issue = fixtures.make_authority(case)
    port, _ = listen(case, tls.make_server_context(issue('side')))
    conn = dial(case, port)
    conn.try_send(HELLO)
    with case.assertRaises(streams.PeerError):
        conn.receive()


def hush(case, port):
    """Return a connection through a relay, and the relay."""
    made = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    return dial(case, made.port), made


def make_pair(case, idle):
    """Return a connection and the bare socket at its other end."""
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)
    ours = socket.create_connection(server.getsockname())
    theirs, _ = server.accept()
    case.addCleanup(theirs.close)
    theirs.settimeout(10)
    conn = case.enterContext(streams.Connection(ours, 'peer'))
    conn.set_idle(idle)
    return conn, theirs


def test_ends_that_have_nothing_to_say_keep_their_connection(case):
    conn, theirs = make_pair(case, 0.3)
    taken = queue.Queue()
    threading.Thread(target=lambda: taken.put(conn.receive())).start()
    for _ in range(2 * streams.KEEP_ALIVES_PER_LIMIT):
        frame = theirs.recv(1000)
        case.assertEqual(msgpack.unpackb(frame), [streams.KEEP_ALIVE, {}])
        theirs.sendall(frame)
    theirs.sendall(msgpack.packb(['hello', {}]))
    case.assertEqual(taken.get(timeout=10), messages.Hello())


def test_end_that_only_sends_says_nothing_besides(case):
    conn, theirs = make_pair(case, 60.0)
    conn.send(HELLO)
    theirs.sendall(msgpack.packb(['hello', {}]))
    conn.receive()
    frame = theirs.recv(1000)
    case.assertEqual(msgpack.unpackb(frame)[0], 'hello')


def test_connection_that_goes_silent_is_noticed_at_both_ends(case):
    port, ended = listen(case)
    conn, between = hush(case, port)
    conn.send(HELLO)
    conn.receive()
    between.hush()
    with case.assertRaises(streams.IdleTimeoutError):
        conn.receive()
    case.assertIn('silent', ended.get(timeout=8))


def test_sender_that_is_blocked_on_a_silent_connection_is_let_go(case):
    port, _ = listen(case)
    conn, between = hush(case, port)
    conn.send(HELLO)
    conn.receive()
    between.hush()
    chunk = messages.Chunk(1, bytes(streams.MAX_FRAME_BYTES // 2))

    def send_on():
        while conn.try_send(chunk):
            pass

    sender = threading.Thread(target=send_on)
    sender.start()
    with case.assertRaises(streams.IdleTimeoutError), conn:
        while True:
            conn.receive()
    sender.join(8)
    case.assertFalse(sender.is_alive())


def test_silence_is_noticed_as_soon_with_tls(case):
    """A record that is not a message is no reason to wait without a limit.

    A server's session tickets are such, and the part of a record that came
    before the path went silent.
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
    # No read waits by itself, so that only the limit above counts.
    case.assertFalse(conn._sock.getblocking())
    with case.assertRaises(streams.IdleTimeoutError):
        conn.receive()
