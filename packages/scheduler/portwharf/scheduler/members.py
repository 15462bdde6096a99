# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An owner's connections to the sides of its shard, a thread for each.

The owner dials; the side sends heartbeats, each answered with a grant on
the same connection, and reports. A command counts only on the connection
that it was sent on: when that ends the side drops what it has not begun,
and the next connection starts with a report of everything.
"""

import dataclasses
import threading

from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams

_REDIAL_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class MemberView:
    """What the owner knows of a side at one time.

    :param heard: the owner's clock at the last heartbeat, or None
    :param granted: the last grant on this connection was valid
    :param reported: the side has told all that it runs on this connection
    """

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    heard: float = None
    reported: bool = False
    granted: bool = False
    draining: bool = False
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    config_revision: int = 0


class MemberLink:
    """The connection to one side; a context manager that ends it."""

    def __init__(self, vm, owner):
        """Take the member's VM and an :class:`OwnerCalls`."""
        self._owner = owner
        # Open from dialling on; ``_conn`` only once greetings are exchanged.
        self._open = None
        self._conn = None
        self._stop = threading.Event()
        self._capacity = data.Resources()
        self.view = MemberView(vm)
        self._thread = threading.Thread(
            target=self._run, name=f'member-{vm.name}', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stop()
        self._thread.join()

    def stop(self):
        """Begin to end, without waiting."""
        self._stop.set()
        self.drop()

    @property
    def name(self):
        """The member's VM's name."""
        return self.view.vm.name

    def send(self, message):
        """Send a command if there is a connection.

        A command that is lost is made up for by the report of everything
        that the next connection begins with.
        """
        conn = self._conn
        return conn is not None and conn.try_send(message)

    def drop(self):
        """End the present connection; a new one is made after it."""
        conn = self._open
        if conn is not None:
            conn.close()

    def _run(self):
        while not self._stop.is_set():
            try:
                self._talk()
            except streams.PeerError as exc:
                streams.log_end(exc, self.name)
            self.detach()
            self._stop.wait(_REDIAL_SECONDS)

    def _talk(self):
        vm = self.view.vm
        with self._owner.dial(vm) as conn:
            self._open = conn
            if self._stop.is_set():
                return
            peer = streams.greet(conn, self._owner.make_hello())
            self.attach(conn, peer)
            while not self._stop.is_set():
                self.handle(conn, conn.receive())

    def attach(self, conn, peer):
        """Begin with a connection whose greetings are exchanged."""
        self._owner.note_epoch(peer.epoch)
        self._conn = conn
        conn.send(self._owner.make_grant(self.name, 0))
        conn.send(self._owner.make_config())
        conn.send(self._owner.make_rosters())

    def detach(self):
        """Forget a connection that has ended."""
        self._open = None
        self._conn = None
        self.view.reported = False
        self.view.granted = False

    def handle(self, conn, message):
        """Take one message of the side's."""
        if isinstance(message, messages.Heartbeat):
            self._hear(message)
            # A side that does not acknowledge our epoch, as it has just
            # restarted, gets no grant.
            ours = message.epoch == self._owner.epoch
            side_ms = message.side_ms if ours else 0
            grant = self._owner.make_grant(self.name, side_ms)
            conn.send(grant)
            self.view.granted = grant.valid
        elif isinstance(message, messages.Reports):
            self._owner.take_reports(self, message)
        else:
            raise streams.GarbledError(f'unexpected {type(message).__name__}')

    def _hear(self, beat):
        view = self.view
        view.heard = self._owner.read_clock()
        view.capacity = beat.capacity
        view.draining = beat.draining
        view.config_revision = beat.config_revision
        self._owner.note_epoch(beat.epoch)
        self._owner.record_ack(self.name, beat)
        if beat.measures:
            self._owner.take_measures(self.name, beat.measures)
