# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Whatever a client can have accepted can be logged, restored and started.

A job in the log that cannot be packed ends each owner that writes a snapshot;
one that cannot be read ends every process that reads the log (incident 0033).
Each check draws jobs whose values are at and beyond their limits.
"""

import json

import hypothesis
from hypothesis import strategies
import msgpack

from portwharf.core import codec
from portwharf.peers import streams
from portwharf.platform import decoding
from portwharf.scheduler import capacity_reports
from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler import events
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs
from portwharf.scheduler import occurrences
from portwharf.scheduler import operations
from portwharf.scheduler import operator_api
from portwharf.scheduler import reconcile
from portwharf.scheduler import state

JOB_ID = '5c0e7a21d94b36f8'
NOW = 1_800_000_000_000
LARGEST = 2**53
NUMBERS = strategies.sampled_from(
    [0, 1, 2, 63, 64, 100_000, 2**31, 2**43, LARGEST - 1, LARGEST]
)
BEYOND = strategies.sampled_from(
    [-1, 0.5, LARGEST + 1, 2**63, 2**64, 10**400, 1e308, float('inf'), None]
)
TEXTS = strategies.sampled_from(['', 'a', 'x' * 1000, 'x' * 4000])
COUNTS = strategies.sampled_from([1, 1, 2, 100, 100_000])
FLAGS = strategies.booleans()


def draw_dependencies(number):
    """Return a strategy of the earlier steps that a step names."""
    if not number:
        return strategies.just([])
    every = list(range(number))
    return strategies.sampled_from([[], [0], every, [0] * 200_000])


@strategies.composite
def draw_job(draw):
    """Draw the body of a submission."""
    kept = {
        'count': draw(COUNTS),
        'cpu': draw(NUMBERS),
        'memMb': draw(NUMBERS),
        'estimateMs': draw(NUMBERS),
        'requires': draw(TEXTS),
        'image': draw(TEXTS),
        'affinity': draw(TEXTS),
        'fills': draw(FLAGS),
        'longRunning': draw(FLAGS),
        'target_ms': draw(NUMBERS),
    }
    size = draw(strategies.sampled_from([1, 2, 64, 65]))
    steps = [
        {**kept, 'watchRev': draw(draw_dependencies(number))}
        for number in range(min(size, 3))
    ]
    while len(steps) < size:
        steps.append({**kept, 'watchRev': list(range(len(steps)))})
    body = {
        'spec': draw(TEXTS),
        'steps': steps,
        'maxRuns': draw(NUMBERS),
        'initialMs': draw(NUMBERS),
        'intervalMs': draw(NUMBERS),
    }
    if draw(FLAGS):
        changed = draw(strategies.sampled_from([body, steps[-1]]))
        changed[draw(strategies.sampled_from(sorted(changed)))] = draw(BEYOND)
    return body


@strategies.composite
def draw_queue(draw):
    """Draw the queue that a job is submitted to."""
    stretch = draw(strategies.sampled_from([0.0, 2.5, 1e15]))
    allowance_ms = draw(strategies.sampled_from([0, 1000, LARGEST]))
    return configuration.Queue(
        'plans', 'desk.example', '/', 'pool', 1, 3, stretch, allowance_ms
    )


def pass_log(batch):
    """Return events as they are read from an entry of the log."""
    raw = msgpack.packb(events.write_events(batch))
    return events.read_events(msgpack.unpackb(raw))


def for_jobs(check):
    """Run a check on drawn bodies and queues."""
    limits = hypothesis.settings(
        max_examples=300,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    limits(hypothesis.given(draw_job(), draw_queue())(check))()


def test_accepted_jobs_come_back_from_the_log_and_snapshots(case):
    accepted = []

    def check(body, queue):
        read = decoding.parse_job(JOB_ID, queue, body)
        if read.is_err():
            case.assertTrue(read.err_value.describe())
            return
        job = read.ok_value
        accepted.append(job)
        submission = codec.pack(job_operations.JobSubmission(job))
        case.assertLess(len(submission), operator_api.MAX_ARGUMENT_BYTES)
        logged = [events.JobAccepted(NOW, job)]
        case.assertEqual(pass_log(logged), logged)
        made = state.ShardState()
        made.apply(logged[0])
        for now_ms in (NOW, 2 * LARGEST):
            schedule = occurrences.OccurrenceSchedule(made)
            due = schedule.make_due_events(now_ms)
            case.assertEqual(pass_log(due), due)
            for event in due:
                made.apply(event)
        restored = state.ShardState.unpack(made.pack())
        case.assertEqual(restored.jobs, made.jobs)
        case.assertEqual(restored.workloads, made.workloads)

    for_jobs(check)
    case.assertGreater(len(accepted), 20)
    case.assertGreater(max(job.times for job in accepted), 2**31)


def test_accepted_jobs_can_be_started_and_reported(case):
    def check(body, queue):
        read = decoding.parse_job(JOB_ID, queue, body)
        if read.is_err():
            return
        made = state.ShardState()
        made.apply(events.JobAccepted(NOW, read.ok_value))
        schedule = occurrences.OccurrenceSchedule(made)
        for event in schedule.make_due_events(NOW):
            made.apply(event)
        weigher = precedence.Weigher(made, NOW)
        loads = shard_load.ClassLoad(left=0.0)
        for record in made.list_active():
            made.apply(events.TaskPlaced(f'{record.id}.0', 1, 'vm-1'))
            task = made.tasks[f'{record.id}.0']
            start = reconcile.make_start(made, task, weigher=weigher)
            case.assertTrue(streams.encode_frame(start))
            loads.left += weigher.get_step_forecast(record).left
        held = reconcile.make_held_tasks(made, 'vm-1')
        case.assertTrue(streams.encode_frame(held))
        reports = capacity_reports.make_reports([loads], {}, {}, [], [])
        case.assertTrue(codec.pack(operations.ShardReport(capacity=reports)))

    for_jobs(check)


def test_repeated_dependency_counts_once(case):
    steps = [{'count': 1}, {'count': 1, 'watchRev': [0] * 200_000}]
    queue = configuration.Queue('plans')
    read = decoding.parse_job(JOB_ID, queue, {'steps': steps}).ok_value
    case.assertEqual(read.steps[1].after, ['0'])


def test_job_that_is_too_large_for_the_log_is_refused(case):
    step = {'count': 1, 'requires': 'x' * jobs.MAX_JOB_BYTES}
    queue = configuration.Queue('plans')
    refused = decoding.parse_job(JOB_ID, queue, {'steps': [step]}).err_value
    case.assertIn(f'at most {jobs.MAX_JOB_BYTES}', refused.describe())
    body = json.dumps({'steps': [{**step, 'requires': 'x'}]})
    case.assertTrue(
        decoding.parse_job(JOB_ID, queue, json.loads(body)).is_ok()
    )
