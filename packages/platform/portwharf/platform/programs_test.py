# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stopping entry answers all calls before its grace time is over."""

import base64
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading

from portwharf.testing import fixtures
from portwharf.testing import platform_store

ROOT = pathlib.Path(__file__).parents[4]
PATH = '/a/5c0e7a21d94b36f8'
HEADERS = {'Host': 'desk.example'}
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'plans',
            'host': 'desk.example',
            'pathPrefix': '/a/',
            'service': 'pool',
            'priority': 0,
            'maxAttempts': 3,
            'stretch': 2.0,
            'targetLatencyMs': 1000,
        }
    ],
}
# Answers are due half a second after the stop request.
GRACE_SECONDS = 2
LIMIT_SECONDS = 20
CLIENT_PORT = 7701
CLIENTS = 8
STARTED = (b'in force', b'entry begins')


class OutputReader:
    """Reads the output of a program in a thread; keeps its lines."""

    def __init__(self, stream):
        self._lines = []
        self._has_ended = False
        self._changed = threading.Condition()
        self._thread = threading.Thread(
            target=self._read, args=(stream,), daemon=True
        )
        self._thread.start()

    def wait_for(self, texts, seconds):
        """Wait until each text has been in a line.

        :raises AssertionError: one is missing at the end of the output or of
            the time; shows the output
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._has_ended or not self._list_missing(texts),
                seconds,
            )
            missing = self._list_missing(texts)
            if missing:
                printed = b''.join(self._lines).decode(errors='replace')
                raise AssertionError(f'{missing} missing in:\n{printed}')

    def join(self, seconds):
        """Wait for the end of the output."""
        self._thread.join(seconds)

    def _list_missing(self, texts):
        return [
            text
            for text in texts
            if not any(text in line for line in self._lines)
        ]

    def _read(self, stream):
        for line in stream:
            with self._changed:
                self._lines.append(line)
                self._changed.notify_all()
        with self._changed:
            self._has_ended = True
            self._changed.notify_all()


def make_address():
    """Return a loopback address that only this process uses.

    A port that was found free on a shared address may be taken by another
    process before the entry listens on it.
    """
    pid = os.getpid()
    return f'127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}'


@contextlib.contextmanager
def start_entry(case):
    """Start an entry without an owner; yields its process and address."""
    store = platform_store.FakePlatformStore()
    raw = base64.b64encode(json.dumps(CONFIG).encode())
    store.set_item('op/config', raw.decode())
    store_port = fixtures.serve(case, store, threads=16)
    address = make_address()
    text = f"""
node = "entry-0"
role = "entry"
serves = ["front"]
ip = "{address}"
zone = "zone-0"
internalPorts = [7720, 7725]
[listen]
front = "{address}:{CLIENT_PORT}"
ready = "{address}:7702"
[bounds]
graceS = {GRACE_SECONDS}
[platform]
address = "127.0.0.1:{store_port}"
writes_per_s = 400.0
reads_per_s = 2000.0
"""
    folder = pathlib.Path(case.enterContext(tempfile.TemporaryDirectory()))
    (folder / 'entry.toml').write_text(text)
    argv = [sys.executable, str(ROOT / 'deploy/start.py'), 'entry']
    env = {**os.environ, 'PORTWHARF_BOOT': str(folder / 'entry.toml')}
    with start_program(argv, env) as (program, output):
        output.wait_for(STARTED, LIMIT_SECONDS)
        yield program, address


@contextlib.contextmanager
def start_program(argv, env=None):
    """Start a program; yields its process and the reader of its output."""
    with subprocess.Popen(
        argv, env=env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    ) as program:
        output = OutputReader(program.stdout)
        try:
            yield program, output
        finally:
            program.kill()
            output.join(LIMIT_SECONDS)


def open_connection(address):
    """Return a client's connection to the entry."""
    return http.client.HTTPConnection(address, CLIENT_PORT, LIMIT_SECONDS)


def call_until_refused(address):
    """Call an entry, each time on a new connection.

    :returns: set of the statuses of all answers
    """
    statuses = set()
    while True:
        conn = open_connection(address)
        try:
            conn.connect()
        except (ConnectionRefusedError, ConnectionResetError):
            # Reset while it is opened: the port has just been closed.
            return statuses
        with contextlib.closing(conn):
            conn.request('GET', PATH, headers=HEADERS)
            statuses.add(conn.getresponse().status)


def test_wait_for_output_ends_with_the_program(case):
    with start_program([sys.executable, '-c', 'print(1 / 0)']) as (_, output):
        with case.assertRaisesRegex(AssertionError, 'ZeroDivisionError'):
            output.wait_for([b'ready'], LIMIT_SECONDS)


def test_wait_for_output_has_a_limit(case):
    code = 'import time; print("waiting", flush=True); time.sleep(600)'
    with start_program([sys.executable, '-c', code]) as (_, output):
        output.wait_for([b'waiting'], LIMIT_SECONDS)
        with case.assertRaisesRegex(AssertionError, 'ready.*\n.*waiting'):
            output.wait_for([b'waiting', b'ready'], 0.1)


def test_call_in_progress_at_a_stop_is_answered(case):
    with start_entry(case) as (program, address):
        conn = open_connection(address)
        conn.request('GET', PATH, headers=HEADERS)
        case.assertEqual(conn.getresponse().read()[:8], b'{"error"')
        program.send_signal(signal.SIGTERM)
        # The connection stays open, and no owner can answer the call.
        conn.request('GET', PATH, headers=HEADERS)
        answer = conn.getresponse()
        case.assertEqual(answer.status, 503)
        case.assertEqual(answer.headers['Connection'], 'close')
        case.assertEqual(answer.headers['Retry-After'], '1')
        answer.read()
        case.assertEqual(program.wait(LIMIT_SECONDS), 0)


def test_idle_connection_is_closed_and_the_entry_exits(case):
    with start_entry(case) as (program, address):
        conn = open_connection(address)
        conn.request('GET', PATH, headers=HEADERS)
        conn.getresponse().read()
        program.send_signal(signal.SIGTERM)
        case.assertEqual(conn.sock.recv(1), b'')
        case.assertEqual(program.wait(LIMIT_SECONDS), 0)


def test_calls_that_keep_coming_during_a_stop_are_not_cut(case):
    with start_entry(case) as (program, address):
        pool = case.enterContext(
            concurrent.futures.ThreadPoolExecutor(CLIENTS)
        )
        clients = [
            pool.submit(call_until_refused, address) for _ in range(CLIENTS)
        ]
        program.send_signal(signal.SIGTERM)
        # A call that is cut raises here.
        for client in clients:
            case.assertEqual(client.result(LIMIT_SECONDS), {503})
        case.assertEqual(program.wait(LIMIT_SECONDS), 0)
