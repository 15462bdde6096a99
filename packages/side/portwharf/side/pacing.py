# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Throttles filling tasks so that serving tasks meet their targets.

Serving tasks have a target for their tail latency; filling tasks are batch
work on the remaining capacity of the same VM. The side throttles within one
poll of a measurement, because the owner, which hears of it a heartbeat later,
would be too slow for load that changes within seconds.

The interference of each pair of images (``decisions.tail_interference``) tells
how much filling work fits within the latency headroom of each serving task.
The headroom goes first to those tasks that finish a job for the least of it
(``decisions.precedence``). A throttle factor on all filling tasks makes up for
interference that is not known yet.
"""

import collections
import dataclasses
import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import tail_interference
from portwharf.side import pacing_log
from portwharf.side import share_assignment
from portwharf.side import share_limits
from portwharf.side import task_traits

FULL = share_assignment.FULL
LEAST = share_assignment.LEAST
# Share of the target that tail latency is steered to. The rest absorbs load
# changes between two polls.
TARGET_SHARE = 0.85
# Tail latency, as a share of the target, from which on the throttle factor is
# lowered. A tail that is reported at its target may be up to 1 ms over it.
_MAX_TARGET_RATIO = 1.0
_THROTTLE_BACKOFF = 0.5
_THROTTLE_RECOVERY = 0.2
# Filling tasks are suspended after a serving task has been over its target for
# this long, because several tasks at ``LEAST`` still interfere. The throttle
# factor needs three polls of 0.4 s to reach that. A missed target counts as
# harm from 4 s on.
SUSPEND_AFTER_SECONDS = 1.2
# Smaller changes, in percent, are not sent.
_MIN_CHANGE = 4
# Tail latency is measured over half a second; closer samples overlap.
SAMPLE_SECONDS = 0.5
# Smaller changes of the CPU share in use are not significant.
_MIN_OBSERVED = 0.02
# Observations kept while there is no owner to send them to.
MAX_OBSERVED = 50


@dataclasses.dataclass(slots=True)
class Pace:
    """Run an attempt at this CPU share, in percent."""

    task: str = ''
    attempt: int = 0
    percent: int = FULL


@dataclasses.dataclass(slots=True)
class _Sample:
    """The measurements of one time.

    :param at: monotonic time, in seconds
    :param tails: logarithm of the tail latency, by serving attempt
    :param used: share of the VM's CPU in use, by filling image
    """

    at: float = 0.0
    tails: dict = dataclasses.field(default_factory=dict)
    used: dict = dataclasses.field(default_factory=dict)


class Pacer:
    """Plans the CPU shares of the filling tasks on one VM."""

    def __init__(self):
        self.presses = tail_interference.TailInterferenceModel()
        self._traits = task_traits.TraitsCache()
        # The share that each attempt was last set to, in percent; None where a
        # previous side process or an unanswered command may have set another.
        self._sent = {}
        # The share that each attempt should have, in percent, and what limits
        # it, a name of ``share_limits``.
        self._wanted = {}
        self._limits = {}
        # The progress of each attempt, in percent.
        self._progress = {}
        self._throttle_factor = 1.0
        # Time since which a serving task has been over its target, or None.
        self._over_since = None
        self._sample = None
        self._headrooms = []
        self._observed = []
        self._owner_informed = True
        self.log = pacing_log.PacingLog()

    def record_start(self, message):
        """Take a task from the ``messages.StartTask`` that starts it."""
        self._traits.record(message)

    def record_held(self, held):
        """Take a ``messages.HeldTask``, which may have started long ago.

        If a previous side process started it, its share is unknown.
        """
        if self._traits.record(held):
            self._sent[(held.task, held.attempt)] = None

    def record_all_held(self, tasks):
        """Take all tasks on the VM, a list of ``messages.HeldTask``."""
        for held in tasks:
            self.record_held(held)
        self._traits.record_all_described()

    def update_claims(self, claims):
        """Take a list of ``messages.StepClaim`` of tasks that may run here."""
        for one in claims:
            self._traits.update_claim(one)

    @property
    def has_unknown_attempts(self):
        """Whether an attempt of unknown size runs here."""
        return bool(self._traits.unknown)

    def record_new_owner(self):
        """Record a new owner connection, whose owner may know nothing yet."""
        self._owner_informed = False

    def adopt_presses(self):
        """Return the known interference, once for each owner connection.

        :returns: list of ``messages.Press``
        """
        if self._owner_informed:
            return []
        self._owner_informed = True
        return self.presses.list_all()

    def list_headrooms(self):
        """Return the ``messages.Headroom`` of each serving image."""
        return self._headrooms

    def plan(self, listing, now, now_ms=0):
        """Return the :class:`Pace` changes that are due.

        :param listing: a ``workers.Listing``, just read
        :param now: monotonic time, in seconds
        :param now_ms: Unix time, to which the due times of jobs refer
        """
        running = [
            a for a in listing.attempts if a.state == data.RunState.RUNNING
        ]
        self._traits.set_running(running)
        filling = [a for a in running if self._traits.find(a).fill_milli]
        targeted = [a for a in running if self._traits.find(a).target_ms]
        serving = [a for a in targeted if a.tail_ms > 0]
        unmeasured = [a for a in targeted if not a.tail_ms]
        self._progress = {(a.task, a.attempt): a.percent for a in filling}
        capacity_milli = max(1, listing.capacity.cpu_milli)
        self._observe(serving, filling, capacity_milli, now)
        self._update_throttle_factor(serving, bool(filling), now)
        self._log_state(serving, filling, now)
        used = self._sum_used(filling, capacity_milli)
        headrooms = self._compute_headrooms(serving, used)
        for one in unmeasured:
            image = self._traits.find(one).image
            headroom = headrooms.get(image, tail_interference.DEFAULT_HEADROOM)
            headrooms[image] = min(
                tail_interference.DEFAULT_HEADROOM, headroom
            )
        self._record_headrooms(serving)
        shares = self._assign_shares(
            filling, headrooms, capacity_milli, now_ms
        )
        if self._is_suspended(now):
            none = share_assignment.Share(0, share_limits.SUSPENDED)
            shares = dict.fromkeys(shares, none)
        self._limits = {name: one.limit for name, one in shares.items()}
        self._wanted = {name: one.percent for name, one in shares.items()}
        changes = self._list_changes(filling, self._wanted)
        self._log_filling(serving, filling, now)
        return changes

    def _log_state(self, serving, filling, now):
        """Log unknown attempts and missed targets."""
        self.log.report_unknown(self._traits.unknown)
        worst = max(serving, key=self._compute_target_ratio, default=None)
        target_ms = self._traits.find(worst).target_ms if worst else 0
        self.log.record_tail(
            worst,
            target_ms,
            self._throttle_factor,
            len(filling),
            now,
            sum(one.used_cpu_milli for one in filling),
        )

    def _log_filling(self, serving, filling, now):
        """Log the filling tasks, with the shares that they are set to."""
        shares = [
            self._sent.get((one.task, one.attempt), FULL) for one in filling
        ]
        state = pacing_log.FillingState(
            count=len(filling),
            throttled=sum(share < FULL for share in shares),
            least=sum(share <= LEAST for share in shares),
            asked_milli=sum(
                self._traits.find(one).fill_milli for one in filling
            ),
            used_milli=sum(one.used_cpu_milli for one in filling),
            tail_ratio=max(
                map(self._compute_target_ratio, serving), default=0.0
            ),
            throttle=self._throttle_factor,
            limits=self._sum_unmet(filling),
            headroom=min((one.room for one in self._headrooms), default=0.0),
        )
        self.log.record_filling(state, now)

    def _sum_unmet(self, filling):
        """Return the processors that filling tasks lack, by limit.

        :returns: map of limit to thousandths of a processor
        """
        unmet = collections.Counter()
        for one in filling:
            name = (one.task, one.attempt)
            lacking = FULL - self._wanted[name]
            milli = self._traits.find(one).fill_milli * lacking // FULL
            unmet[self._limits[name]] += milli
        return unmet

    def _compute_target_ratio(self, attempt):
        """Return a serving attempt's tail latency as a share of its target."""
        return attempt.tail_ms / self._traits.find(attempt).target_ms

    def forget_sent(self, pace):
        """Record that the share of an attempt is unknown."""
        self._sent[(pace.task, pace.attempt)] = None

    def controls(self, name):
        """Return whether an attempt, (task, attempt), has had a share."""
        return name in self._sent

    def forget_all_sent(self):
        """Record that no share that was ever sent is known to be in force."""
        self._sent = dict.fromkeys(self._sent)

    def _sum_used(self, filling, capacity_milli):
        """Return the share of the VM's CPU that each filling image uses."""
        used = collections.defaultdict(float)
        for one in filling:
            image = self._traits.find(one).image
            used[image] += one.used_cpu_milli / capacity_milli
        return used

    def record_presses_observed(self):
        """Return the observations since the last call.

        :returns: list of ``messages.PressObserved``
        """
        observed, self._observed = self._observed, []
        return observed

    def get_share(self, name):
        """Return the share of an attempt in percent, 0 if it is unknown.

        :param name: (task, attempt)
        """
        share = self._sent.get(name, FULL)
        return 0 if share is None else share

    def get_limit(self, name):
        """Return what limits the share of an attempt.

        :param name: (task, attempt)
        :returns: a name of ``share_limits``
        """
        return self._limits.get(name, share_limits.UNKNOWN_SHARE)

    def list_paced(self):
        """Return the ``messages.PacedTask`` of each throttled attempt.

        Where it is unknown which share is in force, it is the planned one.
        """
        found = []
        for name, percent in self._sent.items():
            if percent is None:
                percent = self._wanted.get(name, FULL)
            if percent < FULL:
                done = self._progress.get(name, 0)
                found.append(messages.PacedTask(*name, percent, done))
        return found

    def _observe(self, serving, filling, capacity_milli, now):
        """Record what changed since the last sample, for the owner."""
        previous = self._sample
        if previous is not None and now - previous.at < SAMPLE_SECONDS:
            return
        sample = _Sample(now, {}, self._sum_used(filling, capacity_milli))
        for one in serving:
            name = (one.task, one.attempt)
            sample.tails[name] = math.log(one.tail_ms)
        self._sample = sample
        if previous is None or now - previous.at > 2 * SAMPLE_SECONDS:
            return
        images = set(previous.used) | set(sample.used)
        differences = [
            messages.FillChange(
                image,
                sample.used.get(image, 0.0) - previous.used.get(image, 0),
            )
            for image in images
        ]
        if sum(abs(one.share) for one in differences) < _MIN_OBSERVED:
            return
        growths = collections.defaultdict(list)
        for one in serving:
            name = (one.task, one.attempt)
            if name in previous.tails:
                growth = sample.tails[name] - previous.tails[name]
                growths[self._traits.find(one).image].append(growth)
        for image, rows in growths.items():
            mean = sum(rows) / len(rows)
            self._observed.append(
                messages.PressObserved(image, mean, differences)
            )
        del self._observed[:-MAX_OBSERVED]

    def _update_throttle_factor(self, serving, filled, now):
        worst = max(map(self._compute_target_ratio, serving), default=0.0)
        if worst < _MAX_TARGET_RATIO or not filled:
            self._over_since = None
            self._throttle_factor = min(
                1.0, self._throttle_factor + _THROTTLE_RECOVERY
            )
            return
        if self._over_since is None:
            self._over_since = now
        self._throttle_factor = max(
            LEAST / FULL, self._throttle_factor * _THROTTLE_BACKOFF
        )

    def _is_suspended(self, now):
        """Tell whether all filling tasks have to be suspended."""
        since = self._over_since
        return since is not None and now - since >= SUSPEND_AFTER_SECONDS

    def _compute_headrooms(self, serving, used):
        """Return the headroom of each serving image without filling tasks.

        :returns: map of image to the growth of the logarithm of its tail
            latency that still meets the target
        """
        headrooms = {}
        for one in serving:
            trait = self._traits.find(one)
            interference = sum(
                self.presses.get_press(trait.image, image) * share
                for image, share in used.items()
            )
            margin = math.log(TARGET_SHARE * trait.target_ms / one.tail_ms)
            headroom = max(0.0, margin + interference)
            headrooms[trait.image] = min(
                headroom, headrooms.get(trait.image, headroom)
            )
        return headrooms

    def _record_headrooms(self, serving):
        left = {}
        for one in serving:
            trait = self._traits.find(one)
            headroom = math.log(TARGET_SHARE * trait.target_ms / one.tail_ms)
            left[trait.image] = min(headroom, left.get(trait.image, headroom))
        self._headrooms = [
            messages.Headroom(image, headroom)
            for image, headroom in left.items()
        ]

    def _assign_shares(self, filling, headrooms, capacity_milli, now_ms):
        """Assign a share to each filling task, by precedence.

        :param headrooms: headroom by serving image
        :returns: map of (task, attempt) to ``share_assignment.Share``
        """
        ranked = []
        for one in sorted(
            filling, key=lambda a: self._rank(a, headrooms, now_ms)
        ):
            trait = self._traits.find(one)
            asked = trait.fill_milli / capacity_milli
            ranked.append(((one.task, one.attempt), trait.image, asked))
        return share_assignment.assign_shares(
            ranked, headrooms, self.presses, self._throttle_factor
        )

    def _rank(self, attempt, headrooms, now_ms):
        """Return the sort key of a filling task: precedence, then name."""
        trait = self._traits.find(attempt)
        press = max(
            (
                self.presses.get_press(image, trait.image)
                for image in headrooms
            ),
            default=0.0,
        )
        weight = self._traits.find_claim(attempt).weigh(now_ms)
        return (precedence.rank(weight, press), attempt.task)

    def _list_changes(self, filling, wanted):
        live = set(wanted)
        self._sent = {n: p for n, p in self._sent.items() if n in live}
        changes = []
        for one in filling:
            name = (one.task, one.attempt)
            percent = wanted[name]
            if not _is_due(self._sent.get(name, FULL), percent):
                continue
            self._sent[name] = percent
            changes.append(Pace(one.task, one.attempt, percent))
        return changes


def _is_due(sent, percent):
    """Tell whether a share has to be sent, given the last one that was."""
    if sent is None:
        return True
    near = abs(sent - percent) < _MIN_CHANGE
    return sent != percent and (not near or percent in (0, LEAST, FULL))
