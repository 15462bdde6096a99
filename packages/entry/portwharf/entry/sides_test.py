# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A link that goes silent ends the calls on it, and is dialled anew."""

import queue
import threading

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.entry import fewsides
from portwharf.entry import sides
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import configuration
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


class ToldLink(sides.SideLink):
    """A link to a side with a configuration, which notes what it is told."""

    def __init__(self, name, keeper, revision, up=True):
        vm = data.Vm(name)
        super().__init__(vm, None, None, clock.SystemClock(), None, keeper)
        self.view.up = up
        self.view.state = messages.SideState(config_revision=revision)
        self.told = []

    def send(self, message):
        self.told.append(message.config_revision)


class Rounds:
    """In place of the event that ends a table: it ends after some beats."""

    def __init__(self, count):
        self._left = count

    def is_set(self):
        self._left -= 1
        return self._left < 0

    def wait(self, timeout):
        return False


class NoList:
    """A VM list that cannot be read."""

    def read(self):
        return result.Err('it is away')


def list_asked(revisions, up=True, beats=1):
    """Return which sides are asked for a configuration, beat by beat.

    :param revisions: what each side has; the entry has 5
    """
    keeper = configuration.ConfigKeeper()
    keeper.offer(5, '')
    links = [
        ToldLink(str(number), keeper, revision, up)
        for number, revision in enumerate(revisions)
    ]
    table = sides.LinkTable(NoList(), None, None, None, keeper)
    table._links = {link.name: link for link in links}
    table._stop = Rounds(beats)
    table._changed = Rounds(0)
    table._run()
    return [
        [n for n, told in enumerate(row) if told < revisions[n]]
        for row in zip(*(link.told for link in links), strict=True)
    ]


def test_one_side_at_a_time_is_asked_for_a_later_configuration(case):
    asked = list_asked([9] * 76, beats=3)
    case.assertEqual([len(rows) for rows in asked], [1, 1, 1])
    # The one asked before may be cut off, or slow.
    case.assertEqual(len({rows[0] for rows in asked}), 3)


def test_nobody_is_asked_for_what_is_here_already(case):
    case.assertEqual(list_asked([5, 4, 5]), [[]])


def test_a_side_that_is_not_there_is_not_asked(case):
    case.assertEqual(list_asked([9], up=False), [[]])


def test_only_sides_that_have_a_later_configuration_are_asked(case):
    case.assertEqual(list_asked([5, 9, 4]), [[1]])


class ListOf:
    """A VM list of some sides on free ports."""

    def __init__(self, names):
        self._vms = [
            data.Vm(name, '127.0.0.1', 9, role=data.Role.ENDPOINT)
            for name in names
        ]

    def read(self):
        return result.Ok(self._vms)


class NoSide(streams.PeerError):
    """Nobody is there."""


def test_table_links_to_an_owner_as_soon_as_a_side_tells_of_it(case):
    dialled = queue.Queue()
    let_go = threading.Event()

    def dial(vm):
        dialled.put(vm.name)
        let_go.wait(30)
        raise NoSide('not there')

    names = [f'side-{number}' for number in range(100)]
    table = sides.LinkTable(
        ListOf(names),
        dial,
        None,
        clock.SystemClock(),
        None,
        fewsides.FewSides('entry-1'),
    )
    case.enterContext(table)
    case.addCleanup(let_go.set)
    case.assertTrue(table.listed.wait(10))
    linked = {link.name for link in table.list_links()}
    case.assertEqual(len(linked), fewsides.LEAST_SIDES)
    owner = next(name for name in names if name not in linked)
    told = table.list_links()[0]
    told.view.up = True
    told.handle(None, messages.SideState(owner=owner, epoch=3))
    # It is dialled, or the queue runs empty and says so.
    while dialled.get(timeout=10) != owner:
        continue
