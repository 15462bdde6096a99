# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Idle connections are closed, and the pool keeps its size."""

import urllib3

from portwharf.core import pools

SIZE = 3


class FakeConnection:
    """A connection that records whether it was closed."""

    closed = False

    def close(self):
        """Record the call."""
        self.closed = True


def make_pool(conns):
    """Return a connection pool that holds some idle connections."""
    pool = urllib3.HTTPConnectionPool('127.0.0.1', 1, maxsize=SIZE)
    for conn in conns:
        pool.pool.get_nowait()
    for conn in conns:
        pool.pool.put_nowait(conn)
    return pool


def test_idle_connections_are_closed_and_the_pool_keeps_its_size(case):
    conns = [FakeConnection(), FakeConnection()]
    pool = make_pool(conns)
    pools.close_idle_connections(pool)
    case.assertEqual([conn.closed for conn in conns], [True, True])
    slots = [pool.pool.get_nowait() for _ in range(pool.pool.qsize())]
    case.assertEqual(slots, [None] * SIZE)


def test_connection_in_use_stays_open_and_can_be_returned(case):
    idle, used = FakeConnection(), FakeConnection()
    pool = make_pool([idle, used])
    case.assertIs(pool.pool.get_nowait(), used)
    pools.close_idle_connections(pool)
    pool.pool.put_nowait(used)
    case.assertEqual((idle.closed, used.closed), (True, False))


def test_closed_pool_is_accepted(case):
    pool = make_pool([])
    pool.close()
    pools.close_idle_connections(pool)
