# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Links to members over sockets: greetings, silence and ending."""

import queue
import socket
import threading

from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import limits
from portwharf.scheduler import members
from portwharf.testing import relay


ZONES = messages.ClosedZones(9, ['zone-1'])
HELD = messages.HeldTasks([messages.HeldTask('job.0', 1)])


class FakeOwner:
    """The methods of an owner that a link calls."""

    epoch = 3
    limits = limits.Limits()

    def __init__(self):
        self.reports = queue.Queue()
        self.acks = queue.Queue()
        self.dialled = threading.Event()

    def dial(self, vm):
        """Connect to a member."""
        conn = streams.dial(vm.address, vm.port)
        self.dialled.set()
        return conn

    def read_clock(self):
        """Return a fixed time."""
        return 7.0

    def make_hello(self):
        """Return a greeting."""
        return messages.Hello(role='owner', name='vm-9', epoch=3)

    def make_config(self):
        """Return a configuration."""
        return messages.ConfigUpdate(5, 'text')

    def make_held_tasks(self, member):
        """Return the tasks that a member holds."""
        return HELD

    def make_zones(self):
        """Return which zones are closed."""
        return ZONES

    def make_rosters(self):
        """Return rosters."""
        return messages.RosterUpdate()

    def make_presses(self):
        """Return the known effects between pairs of images."""
        return messages.PressUpdate()

    def record_presses_observed(self, observed):
        """Ignore what a side has measured."""

    def make_grant(self, member, side_ms):
        """Return a grant."""
        return messages.Grant(side_ms, 7000, 3, side_ms > 0)

    def check_epoch(self, epoch):
        """Ignore an epoch."""

    def record_ack(self, member, beat):
        """Queue an acknowledgement."""
        self.acks.put((member, beat.owner_ms))

    def take_reports(self, link, message):
        """Queue reports."""
        self.reports.put(message)


def make_link(case, port):
    """Return a running link to a port, and its owner."""
    owner = FakeOwner()
    vm = data.Vm('vm-1', '127.0.0.1', port)
    return case.enterContext(members.MemberLink(vm, owner)), owner


def accept(case):
    """Return the port of a listener, and the queue of its connections."""
    conns = queue.Queue()
    ended = threading.Event()
    case.addCleanup(ended.set)

    def handle(conn):
        conns.put(conn)
        ended.wait()

    listener = streams.Listener('127.0.0.1', 0, handle)
    case.enterContext(listener)
    return listener.port, conns


def exchange_hellos(conns):
    """Take a connection from the queue and greet as a side does."""
    conn = conns.get(timeout=10)
    streams.check_hello(conn.receive())
    conn.send(messages.Hello(role='side', name='vm-1'))
    return conn


def test_heartbeat_is_answered_with_a_grant(case):
    port, conns = accept(case)
    link, owner = make_link(case, port)
    conn = exchange_hellos(conns)
    case.assertEqual(conn.receive(), messages.Grant(0, 7000, 3, False))
    case.assertEqual(conn.receive(), HELD)
    case.assertEqual(conn.receive(), ZONES)
    case.assertEqual(conn.receive(), messages.ConfigUpdate(5, 'text'))
    case.assertEqual(conn.receive(), messages.RosterUpdate())
    conn.send(messages.Heartbeat(11, 22, 3, data.Resources(1, 2)))
    case.assertEqual(conn.receive(), messages.Grant(11, 7000, 3, True))
    case.assertEqual(owner.acks.get(timeout=10), ('vm-1', 22))
    case.assertEqual(link.view.capacity, data.Resources(1, 2))


def test_reports_of_another_vm_at_the_address_are_not_taken(case):
    port, conns = accept(case)
    _, owner = make_link(case, port)
    for name in ('vm-2', 'vm-1'):
        conn = conns.get(timeout=10)
        streams.check_hello(conn.receive())
        conn.send(messages.Hello(role='side', name=name))
        conn.try_send(messages.Reports(whole=name == 'vm-2'))
    case.assertFalse(owner.reports.get(timeout=10).whole)


def test_side_of_another_epoch_gets_no_grant(case):
    port, conns = accept(case)
    make_link(case, port)
    conn = exchange_hellos(conns)
    for _ in range(5):
        conn.receive()
    conn.send(messages.Heartbeat(11, 22, 0))
    case.assertFalse(conn.receive().valid)


def test_lost_connection_is_dialled_again(case):
    port, conns = accept(case)
    make_link(case, port)
    exchange_hellos(conns).close()
    conn = exchange_hellos(conns)
    case.assertIsInstance(conn.receive(), messages.Grant)


def test_link_ends_at_once_while_a_peer_does_not_greet(case):
    """A paused side accepts connections and sends nothing."""
    server = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(server.close)
    link, owner = make_link(case, server.getsockname()[1])
    owner.dialled.wait(10)
    sock, _ = server.accept()
    case.addCleanup(sock.close)
    sock.recv(1000)
    link.stop()
    link._thread.join(streams.IDLE_SECONDS / 2)
    case.assertFalse(link._thread.is_alive())


def test_connection_that_goes_silent_is_replaced_by_a_new_one(case):
    port, conns = accept(case)
    relayed = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    link, _ = make_link(case, relayed.port)
    conn = exchange_hellos(conns)
    case.assertEqual(conn.receive(), messages.Grant(0, 7000, 3, False))
    relayed.freeze_connections()
    # Much earlier than the idle timeout of streams in general.
    conn = conns.get(timeout=8)
    streams.check_hello(conn.receive())
    conn.send(messages.Hello(role='side', name='vm-1'))
    case.assertEqual(conn.receive(), messages.Grant(0, 7000, 3, False))
    case.assertFalse(link.view.reported)


def test_member_that_does_not_read_does_not_hold_up_its_sender(case):
    port, conns = accept(case)
    link, _ = make_link(case, port)
    conn = exchange_hellos(conns)
    case.assertIsInstance(conn.receive(), messages.Grant)
    ended = threading.Event()
    case.addCleanup(ended.set)

    def send_heartbeats():
        while conn.try_send(messages.Heartbeat(11, 22, 3)):
            ended.wait(0.1)

    threading.Thread(target=send_heartbeats, daemon=True).start()
    command = messages.StartTask(3, 'w.0', 1, argument='x' * 10_000)

    done = threading.Event()

    def send_until_closed():
        while link.send(command):
            pass
        done.set()

    threading.Thread(target=send_until_closed, daemon=True).start()
    case.assertTrue(done.wait(8))
    # The commands that were lost are repeated after the next full report.
    exchange_hellos(conns)


def test_hung_tasks_of_an_ended_connection_are_dropped(case):
    """The next connection may be to a restarted side, which counts anew."""
    link = members.MemberLink(data.Vm('vm-1'), FakeOwner())
    link.view.hung = [messages.HungTask('job.0', 1, 5, 9000)]
    link.detach()
    case.assertEqual(link.view.hung, [])
