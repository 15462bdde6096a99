# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The clients of the soak's bursts return as their replies say."""

import json
import random

from portwharf.testing import soak_bursts
from portwharf.testing import soak_clients

TRIALS = 200


def choose_delays(*replies):
    """Return the delays that clients choose after replies, in many trials.

    :param replies: (status, retry_after) of each reply to the job
    """
    rows = [
        soak_clients.Reply(status, retry_after=retry_after)
        for status, retry_after in replies
    ]
    statuses = [row.status for row in rows]
    job = soak_clients.ClientJob(statuses=statuses, replies=rows)
    job.accepted = 1.0 if 200 in statuses else None
    rnd = random.Random(7)
    return [
        soak_bursts.choose_delay(rnd, job, rows[-1]) for _ in range(TRIALS)
    ]


def test_refused_clients_return_in_time_or_too_early(case):
    delays = choose_delays((429, '4'))
    case.assertTrue(all(0.0 <= delay <= 4.0 for delay in delays))
    in_time = delays.count(4.0)
    case.assertTrue(TRIALS / 2 < in_time < TRIALS)


def test_useless_return_is_not_tried(case):
    case.assertEqual(set(choose_delays((429, None))), {None})


def test_unknown_outcome_is_submitted_again(case):
    for reply in ((0, None), (504, '1'), (503, '1')):
        case.assertNotIn(None, choose_delays(reply))
    case.assertNotIn(None, choose_delays((200, None), (0, None)))


def test_some_accepted_jobs_are_submitted_once_more(case):
    delays = choose_delays((200, None))
    case.assertTrue(0 < delays.count(None) < TRIALS)
    case.assertEqual(set(choose_delays((200, None), (200, None))), {None})


def test_burst_has_the_work_that_was_asked_for(case):
    world = type('World', (), {'entries': ['one', 'other']})
    client = soak_bursts.BurstClient(world, 3, 40.0, 2.0)
    jobs = [row[2] for row in client._due]
    work_seconds = sum(
        step['count'] * step['cpu'] * spec['ms'] / 1_000_000
        for job in jobs
        for step, spec in zip(
            job.steps, json.loads(job.spec)['steps'], strict=True
        )
    )
    case.assertTrue(40.0 <= work_seconds < 65.0)
    case.assertEqual(len({job.id for job in jobs}), len(jobs))
