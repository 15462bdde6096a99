# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a runner's answer proves about whether a request ran."""

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
    """Return the adapter for a port."""
    return case.enterContext(endpoints.HttpRunner('127.0.0.1', port, 4))


def serve_bytes(case, raw):
    """Answer the first connection with raw bytes, then close it."""
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)

    def answer():
        sock, _ = server.accept()
        with sock:
            sock.recv(65536)
            sock.sendall(raw)

    threading.Thread(target=answer, daemon=True).start()
    return server.getsockname()[1]


def test_answer_is_the_computed_one(case):
    standin = runner.RunnerStandIn()
    client = open_runner(case, fixtures.serve(case, standin))
    answer = client.run('id-1', 'lens/fit-check', PAYLOAD, 5)
    right = programs.answer_request('lens/fit-check', PAYLOAD)
    case.assertEqual((answer.whole, answer.payload), (True, right))
    case.assertEqual(standin.ran['id-1'], 1)


def test_slow_runner_is_waited_for(case):
    standin = runner.RunnerStandIn()
    standin.delay = 0.8
    client = open_runner(case, fixtures.serve(case, standin))
    case.assertTrue(client.run('id-1', 's/x', PAYLOAD, 5).whole)


def test_time_out_may_have_run(case):
    standin = runner.RunnerStandIn()
    standin.delay = 1.0
    client = open_runner(case, fixtures.serve(case, standin))
    answer = client.run('id-1', 's/x', PAYLOAD, 0.1)
    case.assertEqual((answer.ran, answer.whole), (True, False))


def test_bad_payload_ran_and_failed(case):
    client = open_runner(case, fixtures.serve(case, runner.RunnerStandIn()))
    answer = client.run('id-1', 's/x', b'not json', 5)
    case.assertTrue(answer.whole and answer.failed)


def test_busy_runner_has_not_run_it(case):
    client = open_runner(case, fixtures.serve(case, runner.RunnerStandIn(0)))
    case.assertFalse(client.run('id-1', 's/x', PAYLOAD, 5).ran)


def test_no_runner_has_not_run_it(case):
    case.assertFalse(open_runner(case, 1).run('id-1', 's/x', b'', 5).ran)


def test_cut_answer_is_not_whole(case):
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Request-Id: id-1'
    client = open_runner(case, serve_bytes(case, raw + b'\r\n\r\nhalf'))
    answer = client.run('id-1', 's/x', b'', 5)
    case.assertEqual((answer.ran, answer.whole), (True, False))


def test_answer_of_another_request_is_not_taken(case):
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: id-9'
    client = open_runner(case, serve_bytes(case, raw + b'\r\n\r\nok'))
    answer = client.run('id-1', 's/x', b'', 5)
    case.assertFalse(answer.whole)
