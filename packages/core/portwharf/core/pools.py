# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Closing the idle connections of an HTTP connection pool.

A network fault can make all open connections stop responding while new ones
work. A call that times out closes its own connection only; each idle one
that is left in the pool would make another call time out.
"""

import queue


def close_idle_connections(pool):
    """Close the connections of a pool that no call is using.

    Connections in use stay open: their calls may still be answered, and
    each call has its own timeout.

    :param pool: a ``urllib3.HTTPConnectionPool``
    """
    idle = pool.pool
    if idle is None:
        # The pool is closed.
        return
    # Each slot that is taken is returned empty, so that the pool keeps its
    # size. Other threads may take and return connections concurrently.
    slots = [_take_slot(idle) for _ in range(idle.qsize())]
    for conn in slots:
        if conn is not None:
            conn.close()
        _return_empty_slot(idle)


def _take_slot(idle):
    try:
        return idle.get_nowait()
    except queue.Empty:
        return None


def _return_empty_slot(idle):
    try:
        idle.put_nowait(None)
    except queue.Full:
        pass
