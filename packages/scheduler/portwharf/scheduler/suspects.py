# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tasks that crash the workers that start them, told from crashes of workers.

Each worker's crash leaves all that had just begun there under suspicion. A
task that keeps at work for a while is cleared, and so is what had been at
work when its worker crashed. One that crashes its workers is what their
crashes have in common, so that suspects are kept apart from one another, and
it is given up once nothing else explains the crashes as well. Its crashes are
then taken off the others.

What else explains them is ordinary trouble: racks and zones are lost, workers
are restarted in series, and a task may be placed ahead of such a wave more
than once. So after its second crash a task is held back until it is calm. Two
crashes right after its start, with no other near them, are enough. Otherwise
it is tried once more, in calm and away from other suspects; a crash of that
worker, and of no other, settles it. Four are enough in any case, as users
allow five. Each one more costs all that runs on a VM; one too few costs a
sound job. A worker that has crashed lately, by no task that was given up, may
be what is unsound: its crash shows little, and no trial is made there.

The state keeps what is counted in the log: it must outlast the owner, the
sides and a loss of all power. This module judges and changes nothing.
"""

import dataclasses
import enum
import itertools

from portwharf.core import data

# A crash as near to a task's start as this is likely the task's doing. Sides
# were seen to notice one 15 to 130 ms after the start was sent.
CLOSE_MS = 250
# What has been at work for longer is not what crashes its worker: that comes
# with the start.
YOUNG_MS = 3000
# A task is held back, and judged, after so many crashes.
SUSPICIOUS = 2
# In any case enough; and where another job was under as many.
ENOUGH = 4
MOST = 5
# It is calm without a crash for so long at least, and for so many times the
# longest of the last gaps between crashes: what comes in series goes on. With
# 1 or 2 s alone, a series a little slower than that met the trials, and 1 or 2
# sound jobs of 200 days' were given up (make bench-crashes, series).
CALM_SECONDS = 1.0
CALM_GAPS = 2.0
LAST_GAPS = 3
# Crashes further apart than this are no series.
SERIES_SECONDS = 5.0
# Trials wait for no longer: where it is never calm, work must go on.
LONGEST_SECONDS = 20.0
# A worker that has crashed so lately may crash again by itself.
STEADY_SECONDS = 30.0
# For so long crashes are remembered: longer than any of the above looks back.
KEEP_SECONDS = 120.0


class Verdict(enum.Enum):
    """What is to become of a task that waits."""

    # It is placed like any other.
    PLACE = 1
    # It is held back, for now.
    WAIT = 2
    # It is placed, away from other suspects.
    TRY = 3
    GIVE_UP = 4


@dataclasses.dataclass(slots=True)
class CrashSeen:
    """A worker's crash under a task.

    :param name: the crash, as :func:`name_crash` gives
    :param close: it came right after the task's start
    """

    name: str = ''
    close: bool = False


class CrashTimes:
    """When workers crashed, as far as one owner has heard."""

    def __init__(self, began):
        """Take the time from which on it hears of them."""
        self._began = began
        self._times = {}

    def note(self, name, now):
        """Note a crash, once, and forget old ones."""
        self._times.setdefault(name, now)
        self._times = {
            one: at
            for one, at in self._times.items()
            if now - at < KEEP_SECONDS
        }

    def find(self, name):
        """Return when a crash was heard of.

        :returns: the beginning if it was before that, or is long ago
        """
        return self._times.get(name, self._began)

    def is_calm(self, since, names=()):
        """Tell whether no crash but some was heard of since a time."""
        if since < self._began:
            return False
        return not any(
            at >= since
            for name, at in self._times.items()
            if name not in names
        )

    def measure_calm(self):
        """Return for how many seconds no crash has to come to be calm."""
        times = sorted(self._times.values())[-LAST_GAPS - 1 :]
        gaps = [two - one for one, two in itertools.pairwise(times)]
        series = [gap for gap in gaps if gap < SERIES_SECONDS]
        return max(CALM_SECONDS, CALM_GAPS * max(series, default=0.0))

    def is_steady(self, name):
        """Tell whether a crash was its worker's first for long."""
        vm = _find_vm(name)
        at = self.find(name)
        return not any(
            at - STEADY_SECONDS < other < at
            for one, other in self._times.items()
            if one != name and _find_vm(one) == vm
        )

    def list_unsteady(self, now):
        """Return the names of the VMs whose workers have crashed lately."""
        return {
            _find_vm(name)
            for name, at in self._times.items()
            if now - at < STEADY_SECONDS
        }

    def forget(self, names):
        """Forget crashes that a task was found to have brought about."""
        for name in names:
            self._times.pop(name, None)


def name_crash(vm, crash):
    """Return a crash's name in the shard.

    :param crash: its name among those of the VM
    """
    return f'{vm}/{crash}'


def _find_vm(name):
    """Return the VM of a crash."""
    return name.partition('/')[0]


def is_young(ran_ms):
    """Tell whether a crash may be the doing of a task of this age.

    :param ran_ms: time since its start, in ms; below 0 if it is not known
    """
    return ran_ms <= YOUNG_MS


def is_close(ran_ms):
    """Tell whether a crash came right after a task's start."""
    return 0 <= ran_ms <= CLOSE_MS


def judge(state, task, times, tried, now):
    """Return the :class:`Verdict` on a task.

    Asked once all are counted that the latest crash has ended.

    :param state: the shard's state
    :param task: a ``state.TaskRecord``
    :param times: a :class:`CrashTimes`
    :param tried: its last attempt was begun in calm, after the second crash
    """
    seen = len(task.crashes)
    if task.state != data.TaskState.WAITING or seen < SUSPICIOUS:
        return Verdict.PLACE
    if seen >= MOST or (seen >= ENOUGH and _stands_out(state, task)):
        return Verdict.GIVE_UP
    quiet = now - times.find(task.crashes[-1].name)
    calm = times.measure_calm()
    if quiet < calm:
        return Verdict.WAIT
    if _is_enough(task, times, tried, calm) and _stands_out(state, task):
        return Verdict.GIVE_UP
    if times.is_calm(now - calm) or quiet >= LONGEST_SECONDS:
        return Verdict.TRY
    return Verdict.WAIT


def _is_enough(task, times, tried, calm):
    """Tell whether nothing but a task explains its crashes.

    :param calm: for how long around them no other may have come, in seconds
    """
    names = {one.name for one in task.crashes}
    telling = task.crashes[-1:] if tried else task.crashes
    if not all(one.close and times.is_steady(one.name) for one in telling):
        return False
    began = times.find(telling[0].name)
    # A trial was begun in calm.
    before = CALM_SECONDS if tried else calm
    return times.is_calm(began - before, names)


def _stands_out(state, task):
    """Tell whether no other job was as often under the task's crashes."""
    job = find_unit(state, task)
    last = task.crashes[-1].name
    return not any(
        find_unit(state, other) != job and _weigh(other) >= _weigh(task)
        for other in state.suspects.values()
        if any(one.name == last for one in other.crashes)
    )


def find_unit(state, task):
    """Return what is given up with a task, as :func:`name_unit` gives."""
    return name_unit(state.find_workload(task.id))


def name_unit(record):
    """Return what is given up together: a job, or a workload alone.

    :param record: a ``state.WorkloadRecord``
    """
    return record.workload.job or record.id


def _weigh(task):
    """Return how much speaks against a task."""
    return len(task.crashes), sum(one.close for one in task.crashes)
