# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ended jobs are kept for as long as clients may ask for them.

A job that is dropped earlier is answered as unknown, and one that is sent
again is accepted and runs once more.
"""

from portwharf.core import data
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import events
from portwharf.scheduler import state

NOW_MS = 1_000_000_000
# Time for which clients may ask for an ended job.
STATUS_SECONDS = 120


def end_jobs(count, accepted_ms):
    """Return a state with completed jobs of one task each."""
    made = state.ShardState()
    for number in range(count):
        name = f'{number:016x}'
        steps = [data.Workload(run_ms=1000)]
        made.apply(
            events.JobAccepted(accepted_ms, data.Job(name, steps=steps))
        )
        task = f'{name}.0.0.0'
        made.apply(events.TaskPlaced(task, 1, 'vm-1'))
        made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))
    return made


def test_jobs_that_have_just_ended_are_kept_however_many_there_are(case):
    made = end_jobs(
        pass_inputs.MAX_ENDED + 5, NOW_MS - STATUS_SECONDS * 1000 // 2
    )
    dropped = pass_inputs.list_expired_jobs(made, NOW_MS)
    case.assertEqual(dropped, [])
