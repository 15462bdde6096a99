# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A link that goes silent ends the calls on it, and is dialled anew."""

import queue
import threading

from portwharf.core import clock
from portwharf.core import data
from portwharf.entry import sides
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.testing import relay


def serve_side(case):
    """Listen as a side that greets and answers nothing.

    :returns: the port, and a queue of the operations that came
    """
    came = queue.Queue()

    def handle(conn):
        conn.receive()
        conn.send(messages.Hello(role='side', name='vm-1'))
        while True:
            came.put(conn.receive())

    listener = streams.Listener('127.0.0.1', 0, handle)
    case.enterContext(listener)
    return listener.port, came


class WatchedLink(sides.SideLink):
    """A link that tells when it is up."""

    def attach(self, conn, peer):
        super().attach(conn, peer)
        self.attached.set()


def open_link(case, port):
    """Return a running link to a port."""
    vm = data.Vm('vm-1', '127.0.0.1', port)
    link = WatchedLink(
        vm,
        lambda vm: streams.dial(vm.address, vm.port),
        lambda: messages.Hello(role='entry', name='entry-1'),
        clock.SystemClock(),
    )
    link.attached = threading.Event()
    return case.enterContext(link)


def test_call_on_a_link_that_goes_silent_ends_and_the_next_one_goes(case):
    port, came = serve_side(case)
    between = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    link = open_link(case, between.port)
    case.assertTrue(link.attached.wait(10))
    link.attached.clear()
    between.hush()
    lost = link.begin(messages.Operation(0, 'lost'))
    case.assertTrue(lost.wait(8))
    case.assertEqual(lost.lost, 'connection-lost')
    case.assertTrue(link.attached.wait(10))
    link.begin(messages.Operation(0, 'found'))
    case.assertEqual(came.get(timeout=10).method, 'found')
