# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections of an owner to the sides of its shard, one thread each.

The owner dials. The side sends reports, and heartbeats that are each answered
with a grant on the same connection. A command is valid only on the connection
that it was sent on: when it ends, the side drops the commands that it has not
begun, and the next connection starts with a full report.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.peers import links
from portwharf.peers import messages
from portwharf.peers import streams

# Checkpoint records that wait for the next pass, for each VM. In a long outage
# of the store the oldest are dropped; later ones supersede them.
MAX_SAVED_TASKS = 1000
# Run time measurements that wait for the next pass, for each VM. The oldest
# are dropped, as a few for each step are enough.
MAX_RUN_MEASURES = 200


@dataclasses.dataclass(slots=True)
class MemberView:
    """What an owner knows of a side.

    :param connection: how many connections have ended before this one
    :param heard: when the last heartbeat came, on the clock of the owner, or
        None
    :param largest: the largest capacity that its worker has reported
    :param saved: deque of ``messages.SavedTask`` not yet processed
    :param measured: deque of ``messages.RunMeasure`` not yet processed
    :param hung: list of ``messages.HungTask`` of the last heartbeat
    :param granted: the last grant on this connection was valid
    :param reported: the side has sent its full report on this connection
    """

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    connection: int = 0
    heard: float = None
    reported: bool = False
    granted: bool = False
    draining: bool = False
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    largest: data.Resources = dataclasses.field(default_factory=data.Resources)
    config_revision: int = 0
    pool: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    leaves_in_ms: int = 0
    headrooms: list = dataclasses.field(default_factory=list)
    paced: list = dataclasses.field(default_factory=list)
    hung: list = dataclasses.field(default_factory=list)
    rack: str = ''
    life: data.IncarnationId = data.IncarnationId()
    saved: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAVED_TASKS)
    )
    measured: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RUN_MEASURES)
    )


class MemberLink(links.PeerLink):
    """The connection to one side.

    A command that is lost with the connection is repeated, if still needed,
    after the full report that begins the next one.
    """

    def __init__(self, vm, owner):
        """Take the member's ``data.Vm`` and the ``owner.Owner``."""
        super().__init__(vm.name)
        self._owner = owner
        self.idle = owner.limits.owner_idle
        self.view = MemberView(vm)
        self._held_tasks = messages.HeldTasks()

    def dial(self):
        return self._owner.dial(self.view.vm)

    def make_hello(self):
        # Computed before the greeting starts the idle timeout of the side, as
        # the owner may hold its lock for a whole pass.
        self._held_tasks = self._owner.make_held_tasks(self.name)
        return self._owner.make_hello()

    def attach(self, conn, peer):
        if peer.name != self.name:
            # Its address is used by another VM now, whose reports say nothing
            # about the tasks of this one.
            raise streams.PeerError(
                f'greeting from {peer.name!r:.60} instead of {self.name}'
            )
        self._owner.check_epoch(peer.epoch)
        conn.post(self._owner.make_grant(self.name, 0))
        # Sent before any command: a restarted side does not know the tasks on
        # its VM, and could not pace their neighbours.
        conn.post(self._held_tasks)
        conn.post(self._owner.make_zones())
        conn.post(self._owner.make_config())
        conn.post(self._owner.make_rosters())
        known = self._owner.make_presses()
        if known.presses:
            conn.post(known)

    def send_on(self, connection, message):
        """Send a message on a connection, unless it has ended.

        :param connection: its number, as in ``MemberView``
        """
        conn = self._conn
        # Read after ``_conn``, as it changes before the next one begins.
        if conn is not None and connection == self.view.connection:
            conn.try_post(message)

    def detach(self):
        self.view.connection += 1
        self.view.reported = False
        self.view.granted = False
        # May be out of date by the time of the next connection, and a stop
        # that is based on it could not be sent before.
        self.view.paced = []
        self.view.hung = []

    def handle(self, conn, message):
        if isinstance(message, messages.Heartbeat):
            self._record_heartbeat(message)
            # A side that does not acknowledge this epoch, such as one that has
            # just restarted, gets no valid grant.
            is_current = message.epoch == self._owner.epoch
            side_ms = message.side_ms if is_current else 0
            grant = self._owner.make_grant(self.name, side_ms)
            conn.post(grant)
            self.view.granted = grant.valid
        elif isinstance(message, messages.Reports):
            self._owner.take_reports(self, message)
        else:
            raise streams.ProtocolError(
                f'unexpected message {type(message).__name__}'
            )

    def _record_heartbeat(self, beat):
        view = self.view
        view.heard = self._owner.read_clock()
        view.capacity = beat.capacity
        view.largest = view.largest.max_with(beat.capacity)
        view.draining = beat.draining
        view.pool = beat.pool
        view.labels = beat.labels
        view.leaves_in_ms = beat.leaves_in_ms
        view.headrooms = beat.headrooms
        view.paced = beat.paced
        view.hung = beat.hung
        view.rack = beat.rack
        view.life = data.IncarnationId(beat.life, beat.born_ms)
        view.saved.extend(beat.saved)
        view.measured.extend(beat.measured)
        if beat.known:
            self._owner.adopt_presses(beat.known)
        if beat.observed:
            self._owner.record_presses_observed(beat.observed)
        view.config_revision = beat.config_revision
        self._owner.check_epoch(beat.epoch)
        self._owner.record_ack(self.name, beat)
        if beat.measures:
            self._owner.take_measures(self.name, beat.measures)
