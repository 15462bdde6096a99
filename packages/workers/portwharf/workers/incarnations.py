# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tracks which incarnation of a worker is running at its address.

A worker's heartbeats may be delayed beyond its end. They then arrive after
the next incarnation has started at the same address, or are the first that a
restarted side process receives. Instance ids and start times distinguish
incarnations but do not order them, so only the worker at the address can
decide which is current: a new incarnation remains a candidate until it has
answered a call itself. If a dead incarnation were taken as current, running
tasks of its successor would be reported as gone.
"""

import dataclasses

from portwharf.core import data
from portwharf.workers import base


@dataclasses.dataclass(slots=True)
class Incarnation:
    """An incarnation of a worker, as described by its last heartbeat.

    :param id: the ``data.IncarnationId``
    :param seq: the sequence number of the heartbeat within the incarnation,
        0 if it has none
    :param leaves_in_ms: minimum time that a draining worker still stays
    :param described: whether a heartbeat has set the other fields. Until
        then no attempt may be started, as a new incarnation may have another
        pool and capacity.
    """

    id: data.IncarnationId = data.IncarnationId()
    pool: str = ''
    zone: str = ''
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    labels: list = dataclasses.field(default_factory=list)
    rack: str = ''
    draining: bool = False
    leaves_in_ms: int = 0
    seq: int = 0
    described: bool = True


class IncarnationTracker:
    """The current incarnation of a worker and a candidate for it.

    Not thread-safe; the caller has to hold a lock.

    :ivar current: the :class:`Incarnation` that answered last
    :ivar candidate: an :class:`Incarnation` that has sent a heartbeat but
        has not answered yet, or None
    """

    __slots__ = ('current', 'candidate')

    def __init__(self):
        self.current = Incarnation(described=False)
        self.candidate = None

    def record_heartbeat(self, life):
        """Record a heartbeat.

        :param life: the :class:`Incarnation` that it describes
        :returns: whether the caller has to read the worker's listing
        """
        if life.id == self.current.id:
            return self._update(life)
        candidate = self.candidate
        if candidate is None or not _is_outdated(candidate, life):
            self.candidate = life
        return True

    def list_instances(self):
        """Return the instance ids that may be in use, most likely first."""
        lives = [self.candidate] if self.candidate is not None else []
        lives.append(self.current)
        return list(dict.fromkeys(life.id.instance for life in lives))

    def confirm(self, life_id):
        """Record that an incarnation has answered, which makes it current.

        The attempts, listing and sequence numbers of the previous
        incarnation are no longer valid.

        :param life_id: the ``data.IncarnationId``
        :returns: whether the current incarnation has changed
        """
        if life_id == self.current.id:
            return False
        if self.candidate is not None and self.candidate.id == life_id:
            self.current = self.candidate
            self.candidate = None
        else:
            self.current = Incarnation(life_id, described=False)
        return True

    def discard_candidate(self, life):
        """Drop a candidate because another incarnation answered after it.

        :param life: the :class:`Incarnation` that was the candidate; ignored
            if another one has become the candidate since
        """
        if self.candidate is life:
            self.candidate = None

    def check_start(self):
        """Return the reason for which starts must be refused, or ''.

        The last heartbeat counts even if the listing does not show it yet,
        because a draining worker was told that its heartbeat was received.
        """
        if not (self.current.id.instance and self.current.described):
            return base.REFUSED_NO_HEARTBEAT
        if self.current.draining:
            return base.REFUSED_LEAVING
        return ''

    def _update(self, life):
        previous = self.current
        if _is_outdated(previous, life):
            return False
        self.current = life
        return _get_placement_fields(previous) != _get_placement_fields(life)


def _get_placement_fields(life):
    """Return the fields whose change affects which tasks may run."""
    return life.described, life.draining, life.pool, life.capacity


def _is_outdated(known, life):
    """Return whether a heartbeat is not newer than the known one."""
    is_same = known.id == life.id
    return is_same and 0 < life.seq <= known.seq
