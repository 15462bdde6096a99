# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which life of a worker stands at its address, by what it says of itself.

What a worker says may be held up on its way, also past its end: then it
comes after the next life has begun at the same address, or is the first that
a restarted side hears. Ids and births tell lives apart and not which is the
later one, so that only the worker at the address settles it: a life that is
heard of for the first time stays a candidate until it has answered itself.
Believing a dead life would have its successor's work counted as gone while
it runs.
"""

import dataclasses

from portwharf.core import data
from portwharf.workers import base


@dataclasses.dataclass(slots=True)
class Life:
    """What a worker has said of itself.

    :param id: the ``data.LifeId``
    :param seq: rises with everything that one life says; 0 if it is not told
    :param described: it has said the rest; before that nothing may begin
        there, as a new life may be of another kind and size
    """

    id: data.LifeId = data.LifeId()
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


class Lives:
    """The life in use and a candidate; the caller's lock guards both.

    :ivar current: the life that the worker has answered to last
    :ivar candidate: one that was heard of and is not settled, or None
    """

    __slots__ = ('current', 'candidate')

    def __init__(self):
        self.current = Life(described=False)
        self.candidate = None

    def offer(self, life):
        """Take what a life says of itself.

        :returns: whether the worker has to be looked at for it
        """
        if life.id == self.current.id:
            return self._update(life)
        known = self.candidate
        if known is None or not _is_late(known, life):
            self.candidate = life
        return True

    def list_instances(self):
        """Return the ids that the worker may answer to, likeliest first."""
        known = [self.candidate] if self.candidate is not None else []
        known.append(self.current)
        return list(dict.fromkeys(one.id.instance for one in known))

    def settle(self, life_id):
        """Take it that a life is there, as it has answered.

        What the former life ran, listed and counted is gone.

        :returns: whether it is another one than before
        """
        if life_id == self.current.id:
            return False
        if self.candidate is not None and self.candidate.id == life_id:
            self.current = self.candidate
            self.candidate = None
        else:
            self.current = Life(life_id, described=False)
        return True

    def refute(self, life):
        """Drop a candidate: another life has answered since it was heard."""
        if self.candidate is life:
            self.candidate = None

    def check_start(self):
        """Return why nothing may be started, or ''.

        What the worker said last counts, which a listing may not show yet:
        one that leaves has been told that this was heard.
        """
        if not (self.current.id.instance and self.current.described):
            return base.REFUSED_UNHEARD
        if self.current.draining:
            return base.REFUSED_LEAVING
        return ''

    def _update(self, life):
        former = self.current
        if _is_late(former, life):
            return False
        self.current = life
        return _pick_urgent(former) != _pick_urgent(life)


def _pick_urgent(life):
    """Return what a side has to act on at once: where and what may run."""
    return life.described, life.draining, life.pool, life.capacity


def _is_late(known, life):
    """Tell whether a life said something before what is known of it."""
    same = known.id == life.id
    return same and 0 < life.seq <= known.seq
