# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Links to sides: silent connections, configuration and owner changes."""

import queue
import threading

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.entry import side_links
from portwharf.entry import side_subset
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import streams_test
from portwharf.scheduler import configuration
from portwharf.testing import relay


def serve_side(case):
    """Listen as a side that sends only its hello.

    :returns: the port, and a queue of the messages received
    """
    received = queue.Queue()

    def handle(conn):
        conn.receive()
        conn.send(messages.Hello(role='side', name='vm-1'))
        while True:
            received.put(conn.receive())

    listener = streams.Listener('127.0.0.1', 0, handle)
    case.enterContext(listener)
    return listener.port, received


class WatchedLink(side_links.SideLink):
    """A link that sets an event when it is up."""

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
    port, received = serve_side(case)
    proxy = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    link = open_link(case, proxy.port)
    case.assertTrue(link.attached.wait(10))
    link.attached.clear()
    proxy.freeze_connections()
    lost = link.send_request(messages.Operation(0, 'lost'))
    case.assertTrue(lost.wait(8))
    case.assertEqual(lost.failure, 'connection-lost')
    case.assertTrue(link.attached.wait(10))
    link.send_request(messages.Operation(0, 'found'))
    case.assertEqual(received.get(timeout=10).method, 'found')


class RecordingLink(side_links.SideLink):
    """A link to a side with a configuration; records the heartbeats."""

    def __init__(self, name, keeper, revision, up=True):
        vm = data.Vm(name)
        super().__init__(vm, None, None, clock.SystemClock(), None, keeper)
        self.view.up = up
        self.view.state = messages.SideState(config_revision=revision)
        self.revisions_sent = []

    def send(self, message):
        self.revisions_sent.append(message.config_revision)


class CountdownEvent:
    """Stands in for an event and is set after some checks."""

    def __init__(self, count):
        self._left = count

    def is_set(self):
        self._left -= 1
        return self._left < 0

    def wait(self, timeout):
        return False


class UnreadableVmList:
    """A VM list that cannot be read."""

    def read(self):
        return result.Err('it is away')


def list_asked_sides(revisions, up=True, heartbeats=1):
    """Return the sides asked for their configuration by each heartbeat.

    :param revisions: of each side; the entry has 5
    :returns: list, for each heartbeat, of the numbers of the sides
    """
    keeper = configuration.ConfigKeeper()
    keeper.update(5, '')
    links = [
        RecordingLink(str(number), keeper, revision, up)
        for number, revision in enumerate(revisions)
    ]
    table = side_links.LinkTable(UnreadableVmList(), None, None, None, keeper)
    table._links = {link.name: link for link in links}
    table._stop = CountdownEvent(heartbeats)
    table._changed = CountdownEvent(0)
    table._run()
    return [
        [n for n, sent in enumerate(row) if sent < revisions[n]]
        for row in zip(*(link.revisions_sent for link in links), strict=True)
    ]


def test_one_side_at_a_time_is_asked_for_a_later_configuration(case):
    asked = list_asked_sides([9] * 76, heartbeats=3)
    case.assertEqual([len(rows) for rows in asked], [1, 1, 1])
    # A side that was asked may be slow or unreachable.
    case.assertEqual(len({rows[0] for rows in asked}), 3)


def test_nobody_is_asked_for_what_is_here_already(case):
    case.assertEqual(list_asked_sides([5, 4, 5]), [[]])


def test_a_side_that_is_not_there_is_not_asked(case):
    case.assertEqual(list_asked_sides([9], up=False), [[]])


def test_only_sides_that_have_a_later_configuration_are_asked(case):
    case.assertEqual(list_asked_sides([5, 9, 4]), [[1]])


class StaticVmList:
    """A VM list of some sides; nothing listens at their addresses."""

    def __init__(self, names):
        self._vms = [
            data.Vm(name, '127.0.0.1', 9, role=data.Role.ENDPOINT)
            for name in names
        ]

    def read(self):
        return result.Ok(self._vms)


class UnreachableError(streams.PeerError):
    """The side does not accept connections."""


def test_table_links_at_once_to_an_owner_that_a_side_reports(case):
    dialed = queue.Queue()
    release = threading.Event()

    def dial(vm):
        dialed.put(vm.name)
        release.wait(30)
        raise UnreachableError('not there')

    names = [f'side-{number}' for number in range(100)]
    table = side_links.LinkTable(
        StaticVmList(names),
        dial,
        None,
        clock.SystemClock(),
        None,
        side_subset.SideSubset('entry-1'),
    )
    case.enterContext(table)
    case.addCleanup(release.set)
    case.assertTrue(table.vmlist_loaded.wait(10))
    linked = {link.name for link in table.list_links()}
    case.assertEqual(len(linked), side_subset.MIN_LINKS)
    owner = next(name for name in names if name not in linked)
    link = table.list_links()[0]
    link.view.up = True
    link.handle(None, messages.SideState(owner=owner, epoch=3))
    # Fails with queue.Empty if the owner is not dialed.
    while dialed.get(timeout=10) != owner:
        continue


def test_side_that_does_not_read_does_not_hold_up_calls(case):
    """A call waits for its answer, and no longer than its caller."""
    vm = data.Vm('side-0')
    link = side_links.SideLink(vm, None, None, clock.SystemClock())
    link._conn, _ = streams_test.make_slow_pair(case)

    done = threading.Event()

    def send_operations():
        for _ in range(100):
            link.send_request(messages.Operation(body=bytes(2000)))
        done.set()

    threading.Thread(target=send_operations, daemon=True).start()
    case.assertTrue(done.wait(8))


def test_removed_side_that_hangs_does_not_hold_up_other_links(case):
    dialed = queue.Queue()
    release = threading.Event()
    case.addCleanup(release.set)

    def dial(vm):
        dialed.put(vm.name)
        release.wait(30)
        raise UnreachableError('not there')

    first = StaticVmList(['side-0'])
    table = side_links.LinkTable(first, dial, None, clock.SystemClock())
    case.enterContext(table)
    case.addCleanup(release.set)
    case.assertEqual(dialed.get(timeout=10), 'side-0')
    table._vmlist = StaticVmList(['side-1'])
    # Fails with queue.Empty if the new side is not dialed.
    case.assertEqual(dialed.get(timeout=10), 'side-1')
