# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sums of a queue's work stay consistent."""

import hypothesis
from hypothesis import strategies

from portwharf.core import data
from portwharf.scheduler.decisions import queue_work

KEYS = [
    queue_work.list_keys(data.Job(caller=caller, zone=zone))
    for caller in ('', 'one', 'two')
    for zone in ('', 'zone-1', 'zone-2')
]


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['submit', 'finish', 'withdraw']),
            strategies.sampled_from(KEYS),
            strategies.floats(0.0, 1e12),
            strategies.floats(0.0, 60.0),
        ),
        max_size=60,
    )
)
def check_groups_have_at_most_the_total(actions):
    """Submit, finish and withdraw work; each work ends at most once."""
    queue = queue_work.QueueWork(0.0)
    now = 0.0
    jobs = []
    for kind, keys, work, seconds in actions:
        if kind == 'submit':
            queue.record_job(work / 1e6)
            queue.submit(keys, work, now)
            jobs.append((keys, work, queue.decay_exponent))
        elif jobs:
            keys, left, exponent = jobs.pop(int(work) % len(jobs))
            if kind == 'finish':
                queue.finish(keys, left)
            else:
                queue.withdraw(keys, left, exponent)
        for sums in queue.groups.values():
            assert 0 <= sums.submitted <= queue.total.submitted, sums
            assert 0 <= sums.done <= queue.total.done, sums
        if queue.list_underserved(now):
            assert queue.total.submitted > 0
            assert queue.total.done > 0
        now += seconds
        queue.decay(seconds)


def test_groups_have_at_most_the_total(case):
    """Guards against shares above 1 and divisions by zero."""
    check_groups_have_at_most_the_total()


def test_withdrawn_work_has_decayed_like_the_sums(case):
    """Guards against subtracting work that the sums do not have any more."""
    queue = queue_work.QueueWork(0.0)
    one, two = ('caller', 'one'), ('caller', 'two')
    queue.submit([one], 8e6, 0.0)
    exponent = queue.decay_exponent
    queue.decay(3.0)
    # The decay slows down with longer objectives.
    queue.record_job(30_000)
    queue.decay(9.0)
    queue.submit([two], 1e6, 12.0)
    queue.withdraw([one], 8e6, exponent)
    case.assertAlmostEqual(queue.groups[one].submitted, 0.0, 3)
    case.assertAlmostEqual(queue.total.submitted, 1e6, 3)
