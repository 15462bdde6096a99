# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tasks that crash the workers that start them, told from crashes of workers.

Each worker's crash leaves all that had just begun there under suspicion. A
task that keeps at work for a while is cleared, and so is what had been at
work when its worker crashed. One that crashes its workers is what their
crashes have in common, so that suspects are kept apart from one another, and
it is given up once nothing else explains the crashes as well. Its crashes are
then taken off the others.

How many it takes: one crash may be the worker's own fault, and two of them
chance, if others crash too: racks and zones are lost, workers are restarted
in series. So two are enough only if each came right after the task's start,
and no other crash of the shard lies between them; three if each came right
after its start; four in any case. Users allow five. Each one more costs all
that runs on a VM; one too few costs a sound job.

The state keeps what is known here in the log: it must outlast the owner, the
sides and a loss of all power. This module judges and changes nothing.
"""

import dataclasses

from portwharf.core import data

# A crash as near to a task's start as this is likely the task's doing. Sides
# were seen to notice one 15 to 130 ms after the start was sent.
CLOSE_MS = 250
# What has been at work for longer is not what crashes its worker: that comes
# with the start.
YOUNG_MS = 3000
# Crashes that are enough: alone, beside others, and however long after the
# task's start.
ENOUGH_ALONE = 2
ENOUGH_BESIDE = 3
ENOUGH_ANY = 4


@dataclasses.dataclass(slots=True)
class CrashSeen:
    """A worker's crash under a task.

    :param name: the crash, as :func:`name_crash` gives
    :param close: it came right after the task's start
    """

    name: str = ''
    close: bool = False


def name_crash(vm, crash):
    """Return a crash's name in the shard.

    :param crash: its name among those of the VM
    """
    return f'{vm}/{crash}'


def is_young(ran_ms):
    """Tell whether a crash may be the doing of a task of this age.

    :param ran_ms: time since its start, in ms; below 0 if it is not known
    """
    return ran_ms <= YOUNG_MS


def is_close(ran_ms):
    """Tell whether a crash came right after a task's start."""
    return 0 <= ran_ms <= CLOSE_MS


def is_culprit(state, task):
    """Tell whether a task is to be given up.

    Asked once all are counted that the latest crash has ended.

    :param state: the shard's state
    :param task: a ``state.TaskRecord``
    """
    return (
        task.state == data.TaskState.WAITING
        and _is_enough(state, task)
        and _stands_out(state, task)
    )


def _is_enough(state, task):
    """Tell whether a task's crashes would be too many for chance."""
    seen = len(task.crashes)
    close = sum(one.close for one in task.crashes)
    if seen >= ENOUGH_ANY:
        return True
    if close < seen:
        return False
    if seen >= ENOUGH_BESIDE:
        return True
    return seen >= ENOUGH_ALONE and _explains_all(state, task)


def _explains_all(state, task):
    """Tell whether a task was under all crashes since its first."""
    names = {one.name for one in task.crashes}
    first = task.crashes[0].name
    if first not in state.crashes:
        return False
    since = state.crashes[state.crashes.index(first) :]
    return names.issuperset(since)


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
    """Return what is given up with a task: its job, or its workload."""
    record = state.find_workload(task.id)
    return record.workload.job or record.id


def _weigh(task):
    """Return how much speaks against a task."""
    return len(task.crashes), sum(one.close for one in task.crashes)
