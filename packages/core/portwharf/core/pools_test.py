# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections that lie idle are closed, and their places stay."""

import urllib3

from portwharf.core import pools

SIZE = 3


class Conn:
    """A connection that notes its end."""

    closed = False

    def close(self):
        """End."""
        self.closed = True


def make_pool(conns):
    """Return a pool in which some connections lie idle."""
    made = urllib3.HTTPConnectionPool('127.0.0.1', 1, maxsize=SIZE)
    for conn in conns:
        made.pool.get_nowait()
    for conn in conns:
        made.pool.put_nowait(conn)
    return made


def test_all_that_lie_idle_are_closed_and_their_places_stay(case):
    conns = [Conn(), Conn()]
    made = make_pool(conns)
    pools.drop_idle(made)
    case.assertEqual([conn.closed for conn in conns], [True, True])
    left = [made.pool.get_nowait() for _ in range(made.pool.qsize())]
    case.assertEqual(left, [None] * SIZE)


def test_connection_in_use_stays_and_finds_its_place(case):
    idle, used = Conn(), Conn()
    made = make_pool([idle, used])
    case.assertIs(made.pool.get_nowait(), used)
    pools.drop_idle(made)
    made.pool.put_nowait(used)
    case.assertEqual((idle.closed, used.closed), (True, False))


def test_closed_pool_has_nothing_to_drop(case):
    made = make_pool([])
    made.close()
    pools.drop_idle(made)
