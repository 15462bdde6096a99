# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a runner's answer proves about whether the request has run."""

import json
import socket
import threading

from portwharf import endpoints
from portwharf.testing import fixtures
from portwharf.testing import programs
from portwharf.testing import runner

PAYLOAD = json.dumps(
    {'bridge_mm': 18, 'nose_mm': 18, 'frame_mm': 130, 'face_mm': 130}
).encode()


def open_runner(case, port):
    """Return a client of the runner at a local port."""
    return case.enterContext(endpoints.HttpRunner('127.0.0.1', port, 4))


def serve_bytes(case, raw):
    """Answer the first connection with raw bytes and close it.

    :returns: the port
    """
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)

    def answer():
        sock, _ = server.accept()
        with sock:
            sock.recv(65536)
            sock.sendall(raw)

    threading.Thread(target=answer, daemon=True).start()
    return server.getsockname()[1]


def test_computed_answer_is_returned(case):
    fake = runner.FakeRunner()
    client = open_runner(case, fixtures.serve(case, fake))
    answer = client.run('id-1', 'lens/fit-check', PAYLOAD, 5)
    expected = programs.answer_request('lens/fit-check', PAYLOAD)
    case.assertEqual((answer.whole, answer.payload), (True, expected))
    case.assertEqual(fake.ran['id-1'], 1)


def test_slow_answer_is_accepted(case):
    fake = runner.FakeRunner()
    fake.delay = 0.8
    client = open_runner(case, fixtures.serve(case, fake))
    case.assertTrue(client.run('id-1', 's/x', PAYLOAD, 5).whole)


def test_request_that_timed_out_may_have_run(case):
    fake = runner.FakeRunner()
    fake.delay = 1.0
    client = open_runner(case, fixtures.serve(case, fake))
    answer = client.run('id-1', 's/x', PAYLOAD, 0.1)
    case.assertEqual((answer.ran, answer.whole), (True, False))


def test_request_with_invalid_payload_ran_and_failed(case):
    client = open_runner(case, fixtures.serve(case, runner.FakeRunner()))
    answer = client.run('id-1', 's/x', b'not json', 5)
    case.assertTrue(answer.whole and answer.failed)


def test_request_to_a_busy_runner_has_not_run(case):
    client = open_runner(case, fixtures.serve(case, runner.FakeRunner(0)))
    case.assertFalse(client.run('id-1', 's/x', PAYLOAD, 5).ran)


def test_request_without_a_runner_has_not_run(case):
    case.assertFalse(open_runner(case, 1).run('id-1', 's/x', b'', 5).ran)


def test_truncated_answer_is_not_complete(case):
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Request-Id: id-1'
    client = open_runner(case, serve_bytes(case, raw + b'\r\n\r\nhalf'))
    answer = client.run('id-1', 's/x', b'', 5)
    case.assertEqual((answer.ran, answer.whole), (True, False))


def test_answer_to_another_request_is_rejected(case):
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: id-9'
    client = open_runner(case, serve_bytes(case, raw + b'\r\n\r\nok'))
    answer = client.run('id-1', 's/x', b'', 5)
    case.assertFalse(answer.whole)
