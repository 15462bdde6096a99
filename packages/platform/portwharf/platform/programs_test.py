# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stopping entry answers all calls before its grace time is over."""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

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
STARTED = (b'in force', b'entry begins')


def find_port():
    """Return a free port of this machine."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]


@contextlib.contextmanager
def start_entry(case):
    """Start an entry without an owner; yields its process and port."""
    store = platform_store.FakePlatformStore()
    raw = base64.b64encode(json.dumps(CONFIG).encode())
    store.set_item('op/config', raw.decode())
    store_port = fixtures.serve(case, store, threads=16)
    port, ready, internal = find_port(), find_port(), find_port()
    text = f"""
node = "entry-0"
role = "entry"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-0"
internalPorts = [{internal}, {internal + 5}]
[listen]
front = "127.0.0.1:{port}"
ready = "127.0.0.1:{ready}"
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
    with subprocess.Popen(argv, env=env, stdout=subprocess.PIPE) as program:
        try:
            wait_for_lines(program, STARTED)
            yield program, port
        finally:
            program.kill()


def wait_for_lines(program, texts):
    """Read a program's output until each text was in a line."""
    missing = set(texts)
    for line in program.stdout:
        missing = {text for text in missing if text not in line}
        if not missing:
            return


def open_connection(port):
    """Return a client's connection to the entry."""
    return http.client.HTTPConnection('127.0.0.1', port, LIMIT_SECONDS)


def test_call_in_progress_at_a_stop_is_answered(case):
    with start_entry(case) as (program, port):
        conn = open_connection(port)
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
    with start_entry(case) as (program, port):
        conn = open_connection(port)
        conn.request('GET', PATH, headers=HEADERS)
        conn.getresponse().read()
        program.send_signal(signal.SIGTERM)
        case.assertEqual(conn.sock.recv(1), b'')
        case.assertEqual(program.wait(LIMIT_SECONDS), 0)
