# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Pools of HTTP connections of which some may have gone silent.

Open connections may go silent for good while new ones work, all at once.
A call whose time is up closes its own; the others that lie idle would each
cost another call its time.
"""

import queue


def drop_idle(pool):
    """Close the connections of a pool that no call is using.

    Those in use stay: a call that waits may be answered yet, and each has a
    limit of its own.

    :param pool: a ``urllib3.HTTPConnectionPool``
    """
    waiting = pool.pool
    if waiting is None:
        # The pool is closed.
        return
    # A place that was emptied stays one, for a connection that comes back;
    # others take and give back meanwhile.
    places = [_take(waiting) for _ in range(waiting.qsize())]
    for conn in places:
        if conn is not None:
            conn.close()
        _give_back(waiting)


def _take(waiting):
    try:
        return waiting.get_nowait()
    except queue.Empty:
        return None


def _give_back(waiting):
    try:
        waiting.put_nowait(None)
    except queue.Full:
        pass
