# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Paces what fills a VM, so that what serves on it keeps its targets.

A reflex of the side, within a poll of the measurement: what the owner
would hear a heartbeat later comes too late for a load that swings within
seconds. By what is known of each pair (``decisions.presses``) the room that
each server has under its target is given to filling tasks, those first that
end a job for the least of it (``decisions.precedence``). A brake on all of
them makes up for what is not known yet.
"""

import collections
import dataclasses
import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import presses
from portwharf.side import pacelog
from portwharf.side import traits

FULL = 100
# Tails are steered to this share of their targets; what a load swings by
# between two polls has to fit above it.
AIM = 0.85
# A tail above this share of its target pulls the brake.
_OVER = 1.0
_BRAKE_FACTOR = 0.5
_RELEASE_STEP = 0.2
# The least that a filling task works at: it has to end some day.
LEAST = 3
# After so long over its target a server has what fills stand still, in
# seconds: several at the least still press, and a brake needs three polls
# of 0.4 s to bring them there. Harm counts from 4 s on.
STILL_SECONDS = 1.2
# Less than this is not worth a call.
_LEAST_CHANGE = 4
# Tails are measured over half a second; nearer samples overlap.
SAMPLE_SECONDS = 0.5
# Smaller changes of the processors in use say too little.
_LEAST_OBSERVED = 0.02
# Kept while there is no owner to tell.
MAX_OBSERVED = 50


@dataclasses.dataclass(slots=True)
class Pace:
    """Let an attempt work at this share, in percent."""

    task: str = ''
    attempt: int = 0
    percent: int = FULL


@dataclasses.dataclass(slots=True)
class _Sample:
    """What was measured at one time.

    :param tails: logarithm of the tail, by serving attempt
    :param used: share of the processors, by filling image
    """

    at: float = 0.0
    tails: dict = dataclasses.field(default_factory=dict)
    used: dict = dataclasses.field(default_factory=dict)


class Pacer:
    """The shares that what fills one VM works at."""

    def __init__(self):
        self.presses = presses.Presses()
        self._traits = traits.Traits()
        # The shares that attempts were told to work at, in percent; None
        # where a former side, or an order without an answer, may have set
        # another.
        self._told = {}
        # How much of each attempt is done, in percent.
        self._done = {}
        self._brake = 1.0
        # Since when a server has been over its target on end, or None.
        self._over_since = None
        self._sample = None
        self._headrooms = []
        self._observed = []
        self._owner_knows = True
        self.log = pacelog.PaceLog()

    def note_start(self, message):
        """Take a task from the ``messages.StartTask`` that begins it."""
        self._traits.note(message)

    def note_held(self, held):
        """Take a ``messages.HeldTask``, which may have begun long ago.

        If it was begun by a former side, its share has to be set anew.
        """
        if self._traits.note(held):
            self._told[(held.task, held.attempt)] = None

    def note_all_held(self, tasks):
        """Take all that the VM holds, a list of ``messages.HeldTask``."""
        for held in tasks:
            self.note_held(held)
        self._traits.note_all()

    @property
    def runs_strangers(self):
        """Whether something runs here whose size nobody has told."""
        return bool(self._traits.strangers)

    def note_owner(self):
        """Note a new connection to an owner, maybe one that knows nothing."""
        self._owner_knows = False

    def take_known(self):
        """Return what is known of pairs if the owner has not been told."""
        if self._owner_knows:
            return []
        self._owner_knows = True
        return self.presses.list_all()

    def list_headrooms(self):
        """Return the ``messages.Headroom`` of each image that serves."""
        return self._headrooms

    def plan(self, listing, now, now_ms=0):
        """Return the :class:`Pace` changes that are due.

        :param listing: a ``workers.Listing``, just read
        :param now_ms: wall time, for which jobs are late
        """
        running = [
            a for a in listing.attempts if a.state == data.RunState.RUNNING
        ]
        self._traits.use(running)
        filling = [a for a in running if self._traits.find(a).fill_milli]
        targeted = [a for a in running if self._traits.find(a).target_ms]
        serving = [a for a in targeted if a.tail_ms > 0]
        fresh = [a for a in targeted if not a.tail_ms]
        self._done = {(a.task, a.attempt): a.percent for a in filling}
        cores = max(1, listing.capacity.cpu_milli)
        self._observe(serving, filling, cores, now)
        self._pull_brake(serving, bool(filling), now)
        self._tell(serving, filling, now)
        used = self._sum_used(filling, cores)
        rooms = self._find_rooms(serving, used)
        for one in fresh:
            image = self._traits.find(one).image
            room = rooms.get(image, presses.FRESH_ROOM)
            rooms[image] = min(presses.FRESH_ROOM, room)
        self._note_headrooms(serving)
        wanted = self._share_out(filling, rooms, cores, now_ms)
        if self._stands_still(now):
            wanted = dict.fromkeys(wanted, 0)
        return self._list_changes(filling, wanted)

    def _tell(self, serving, filling, now):
        """Have the log tell of strangers, and of targets missed."""
        self.log.note_strangers(self._traits.strangers)
        worst = max(serving, key=self._find_strain, default=None)
        target_ms = self._traits.find(worst).target_ms if worst else 0
        self.log.note_worst(worst, target_ms, self._brake, len(filling), now)

    def _find_strain(self, attempt):
        """Return a serving attempt's tail as a share of its target."""
        return attempt.tail_ms / self._traits.find(attempt).target_ms

    def forget_told(self, pace):
        """Note that nobody knows whether a change was made."""
        self._told[(pace.task, pace.attempt)] = None

    def _sum_used(self, filling, cores):
        """Return the share of the processors used by filling image."""
        used = collections.defaultdict(float)
        for one in filling:
            image = self._traits.find(one).image
            used[image] += one.used_cpu_milli / cores
        return used

    def take_observed(self):
        """Return what was observed since the last time."""
        observed, self._observed = self._observed, []
        return observed

    def list_paced(self):
        """Return the ``messages.PacedTask`` of what works at less."""
        return [
            messages.PacedTask(*name, percent, self._done.get(name, 0))
            for name, percent in self._told.items()
            if percent is not None and percent < FULL
        ]

    def _observe(self, serving, filling, cores, now):
        """Note what changed since the last sample, for the owner."""
        former = self._sample
        if former is not None and now - former.at < SAMPLE_SECONDS:
            return
        sample = _Sample(now, {}, self._sum_used(filling, cores))
        for one in serving:
            name = (one.task, one.attempt)
            sample.tails[name] = math.log(one.tail_ms)
        self._sample = sample
        if former is None or now - former.at > 2 * SAMPLE_SECONDS:
            return
        images = set(former.used) | set(sample.used)
        differences = [
            messages.FillChange(
                image, sample.used.get(image, 0.0) - former.used.get(image, 0)
            )
            for image in images
        ]
        if sum(abs(one.share) for one in differences) < _LEAST_OBSERVED:
            return
        growths = collections.defaultdict(list)
        for one in serving:
            name = (one.task, one.attempt)
            if name in former.tails:
                growth = sample.tails[name] - former.tails[name]
                growths[self._traits.find(one).image].append(growth)
        for image, rows in growths.items():
            mean = sum(rows) / len(rows)
            self._observed.append(
                messages.PressObserved(image, mean, differences)
            )
        del self._observed[:-MAX_OBSERVED]

    def _pull_brake(self, serving, filled, now):
        worst = max(map(self._find_strain, serving), default=0.0)
        if worst <= _OVER or not filled:
            self._over_since = None
            self._brake = min(1.0, self._brake + _RELEASE_STEP)
            return
        if self._over_since is None:
            self._over_since = now
        self._brake = max(LEAST / FULL, self._brake * _BRAKE_FACTOR)

    def _stands_still(self, now):
        """Tell whether what fills has to stand still for now."""
        since = self._over_since
        return since is not None and now - since >= STILL_SECONDS

    def _find_rooms(self, serving, used):
        """Return how much each serving image bears in all, by image.

        :returns: map of image to growth of the logarithm of its tail over
            what it would be with nothing that fills beside it
        """
        rooms = {}
        for one in serving:
            trait = self._traits.find(one)
            pressed = sum(
                self.presses.find(trait.image, image) * share
                for image, share in used.items()
            )
            free = math.log(AIM * trait.target_ms / one.tail_ms)
            room = max(0.0, free + pressed)
            rooms[trait.image] = min(room, rooms.get(trait.image, room))
        return rooms

    def _note_headrooms(self, serving):
        left = {}
        for one in serving:
            trait = self._traits.find(one)
            room = math.log(AIM * trait.target_ms / one.tail_ms)
            left[trait.image] = min(room, left.get(trait.image, room))
        self._headrooms = [
            messages.Headroom(image, room) for image, room in left.items()
        ]

    def _share_out(self, filling, rooms, cores, now_ms):
        """Give each filling task its share, by precedence.

        :returns: map of (task, attempt) to percent
        """
        left = dict(rooms)
        wanted = {}
        for one in sorted(filling, key=lambda a: self._rank(a, rooms, now_ms)):
            trait = self._traits.find(one)
            share = 1.0
            for image, room in left.items():
                press = self.presses.find_cautious(image, trait.image)
                cost = press * trait.fill_milli / cores
                if cost > 0:
                    share = min(share, room / cost)
            share = max(LEAST / FULL, share)
            for image in left:
                press = self.presses.find_cautious(image, trait.image)
                cost = press * trait.fill_milli / cores
                left[image] = max(0.0, left[image] - cost * share)
            percent = int(FULL * share * self._brake)
            wanted[(one.task, one.attempt)] = max(LEAST, percent)
        return wanted

    def _rank(self, attempt, rooms, now_ms):
        """Return a filling task's precedence, and its name."""
        trait = self._traits.find(attempt)
        press = max(
            (self.presses.find(image, trait.image) for image in rooms),
            default=0.0,
        )
        weight = trait.claim.weigh(now_ms)
        return (precedence.rank(weight, press), attempt.task)

    def _list_changes(self, filling, wanted):
        live = set(wanted)
        self._told = {n: p for n, p in self._told.items() if n in live}
        changes = []
        for one in filling:
            name = (one.task, one.attempt)
            percent = wanted[name]
            if not _is_due(self._told.get(name, FULL), percent):
                continue
            self._told[name] = percent
            changes.append(Pace(one.task, one.attempt, percent))
        return changes


def _is_due(told, percent):
    """Tell whether a share has to be set, given what was told before."""
    if told is None:
        return True
    near = abs(told - percent) < _LEAST_CHANGE
    return told != percent and (not near or percent in (0, LEAST, FULL))
