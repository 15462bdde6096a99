# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An owner's connections to the sides of its shard, a thread for each.

The owner dials; the side sends heartbeats, each answered with a grant on
the same connection, and reports. A command counts only on the connection
that it was sent on: when that ends the side drops what it has not begun,
and the next connection starts with a report of everything.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.peers import links
from portwharf.peers import messages
from portwharf.peers import streams

# Saves that wait for a pass, of one VM: in a long outage of the store the
# oldest go first, which later ones stand in for.
MAX_SAVED = 1000
# And measurements of run times, of which a few a step are enough.
MAX_MEASURED = 200


@dataclasses.dataclass(slots=True)
class MemberView:
    """What the owner knows of a side at one time.

    :param connection: how many connections have ended before this one
    :param heard: the owner's clock at the last heartbeat, or None
    :param largest: the largest capacity that its worker has shown
    :param saved: ``messages.SavedTask`` that no pass has taken yet
    :param measured: ``messages.RunMeasure`` that no pass has taken yet
    :param granted: the last grant on this connection was valid
    :param reported: the side has told all that it runs on this connection
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
    rack: str = ''
    life: data.LifeId = data.LifeId()
    saved: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAVED)
    )
    measured: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_MEASURED)
    )


class MemberLink(links.PeerLink):
    """The connection to one side.

    A command that is lost with it is made up for by the report of
    everything that the next connection begins with.
    """

    def __init__(self, vm, owner):
        """Take the member's VM and the ``owner.Owner``."""
        super().__init__(vm.name)
        self._owner = owner
        self.idle = owner.limits.owner_idle
        self.view = MemberView(vm)
        self._held = messages.HeldTasks()

    def dial(self):
        return self._owner.dial(self.view.vm)

    def make_hello(self):
        # Before the side counts our silence: the owner's lock may be held
        # for as long as a pass takes.
        self._held = self._owner.make_held(self.name)
        return self._owner.make_hello()

    def attach(self, conn, peer):
        self._owner.note_epoch(peer.epoch)
        conn.send(self._owner.make_grant(self.name, 0))
        # Before any order: a side that has restarted does not know what it
        # is that runs on its VM, and would pace nothing beside it.
        conn.send(self._held)
        conn.send(self._owner.make_zones())
        conn.send(self._owner.make_config())
        conn.send(self._owner.make_rosters())
        known = self._owner.make_presses()
        if known.presses:
            conn.send(known)

    def detach(self):
        self.view.connection += 1
        self.view.reported = False
        self.view.granted = False

    def handle(self, conn, message):
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
        view.largest = view.largest.cover(beat.capacity)
        view.draining = beat.draining
        view.pool = beat.pool
        view.labels = beat.labels
        view.leaves_in_ms = beat.leaves_in_ms
        view.headrooms = beat.headrooms
        view.paced = beat.paced
        view.rack = beat.rack
        view.life = data.LifeId(beat.life, beat.born_ms)
        view.saved.extend(beat.saved)
        view.measured.extend(beat.measured)
        if beat.known:
            self._owner.take_known(beat.known)
        if beat.observed:
            self._owner.take_observed(beat.observed)
        view.config_revision = beat.config_revision
        self._owner.note_epoch(beat.epoch)
        self._owner.record_ack(self.name, beat)
        if beat.measures:
            self._owner.take_measures(self.name, beat.measures)
