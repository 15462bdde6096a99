# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections that have gone silent cost one call and not one each."""

import concurrent.futures
import threading

from portwharf.core import settings
from portwharf.platform import http_client
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf.testing import relay

OPEN = 3


class Waiting:
    """Answers ``/together`` once all have come, ``/held`` when let go."""

    def __init__(self):
        self._all = threading.Barrier(OPEN)
        self.held = threading.Event()
        self.let_go = threading.Event()

    def __call__(self, environ, start_response):
        if environ['PATH_INFO'] == '/together':
            self._all.wait(10)
        if environ['PATH_INFO'] == '/held':
            self.held.set()
            self.let_go.wait(10)
        return platform_store.answer(start_response, 200, {})


def open_client(case):
    """Return a client through a relay, the relay and the application."""
    app = Waiting()
    port = fixtures.serve(case, app, threads=8)
    between = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    place = settings.Endpoint('127.0.0.1', between.port)
    client = case.enterContext(http_client.Client(place))
    pool = case.enterContext(concurrent.futures.ThreadPoolExecutor(OPEN))
    case.addCleanup(app.let_go.set)
    return client, between, app, pool


def call(client, path, seconds=10):
    """Make a call."""
    return client.call('GET', path, seconds)


def call_together(client, pool):
    """Make calls at the same time; returns which were answered."""
    asked = [pool.submit(call, client, '/together', 2) for _ in range(OPEN)]
    return [one.result().is_ok() for one in asked]


def test_one_call_finds_out_that_all_connections_are_silent(case):
    client, between, _, pool = open_client(case)
    case.assertEqual(call_together(client, pool), [True] * OPEN)
    between.hush()
    case.assertTrue(call(client, '/', 0.2).is_err())
    case.assertEqual(call_together(client, pool), [True] * OPEN)


def test_answer_that_is_waited_for_outlives_another_calls_time_limit(case):
    client, _, app, pool = open_client(case)
    held = pool.submit(call, client, '/held')
    app.held.wait(10)
    case.assertTrue(call(client, '/held', 0.1).is_err())
    app.let_go.set()
    case.assertTrue(held.result().is_ok())
