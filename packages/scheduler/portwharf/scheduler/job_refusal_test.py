# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A refused job has not run, and does not run because of its submission.

The owner loses its role, its store or its process around a refusal.
"""

from unittest import mock

import prometheus_client

from portwharf.core import data
from portwharf.scheduler import batches
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler import jobs_test
from portwharf.scheduler import operations
from portwharf.testing import cluster


def make_cluster(case):
    """Return a cluster whose owners refuse each job, and the patch."""
    made = cluster.Cluster(3)
    made.run(3)
    verdict = job_admission.Verdict(job_admission.REASON_LATE, 'too late')
    patch = mock.patch.object(
        job_admission.JobAdmission, 'assess', lambda *_: verdict
    )
    patch.start()
    case.addCleanup(patch.stop)
    return made, patch


def submit(made):
    """Submit a job of one task; returns the call's future."""
    return made.submit_job(jobs_test.make_job(jobs_test.make_step()))


def is_refused(fut):
    """Return whether a call was answered with a refusal."""
    return getattr(fut.value, 'code', '') == job_admission.CODE_NO_ROOM


def run_step(made):
    """Let the first node's owner decide on all that is queued."""
    leader = made.nodes[0].owner
    items = () if leader.stalled else leader.take_items()
    return leader.step(items)


def test_refused_job_never_runs(case):
    made, _ = make_cluster(case)
    fut = submit(made)
    made.run(3)
    case.assertTrue(is_refused(fut))
    case.assertEqual(made.read_state().jobs, {})
    case.assertFalse(any(node.worker.record for node in made.nodes))


def test_job_in_the_log_is_accepted_at_any_load(case):
    made, patch = make_cluster(case)
    patch.stop()
    submit(made)
    made.run(1)
    patch.start()
    fut = submit(made)
    made.run(1)
    case.assertEqual(fut.value, operations.Accepted(jobs_test.ID))


def test_replaced_owner_reports_no_refusal(case):
    """The next owner may have accepted the job."""
    made, _ = make_cluster(case)
    fut = submit(made)
    made.nodes[1].claim()
    case.assertIs(run_step(made), batches.StepResult.DEPOSED)
    case.assertIsNone(fut.value)


def test_refusal_waits_for_the_append(case):
    made, _ = make_cluster(case)
    made.fake.faults.down = True
    fut = submit(made)
    case.assertIs(run_step(made), batches.StepResult.STALLED)
    case.assertIsNone(fut.value)
    made.fake.faults.down = False
    case.assertIs(run_step(made), batches.StepResult.DONE)
    case.assertTrue(is_refused(fut))


def test_next_owner_decides_anew_if_an_owner_dies_before_its_answer(case):
    made, patch = make_cluster(case)
    made.fake.faults.down = True
    lost = submit(made)
    run_step(made)
    made.nodes[0].end_owner()
    made.fake.faults.down = False
    patch.stop()
    made.nodes[1].claim()
    made.run(3)
    case.assertEqual(made.read_state().jobs, {})
    fut = submit(made)
    made.run(3)
    case.assertTrue(fut.value.created)
    case.assertIsNone(lost.value)
    patch.start()


def test_job_larger_than_all_workers_is_refused(case):
    made = cluster.Cluster(3)
    made.run(12)
    name = 'portwharf_owner_refused_jobs_total'
    labels = {'reason': 'no-worker-can-ever-hold-it'}

    def read():
        registry = prometheus_client.REGISTRY
        return registry.get_sample_value(name, labels) or 0

    before = read()
    step = jobs_test.make_step(resources=data.Resources(10**7, 10))
    with case.assertLogs('portwharf.scheduler.decisionlog', 'INFO') as logs:
        fut = made.submit_job(jobs_test.make_job(step))
        made.run(1)
    case.assertTrue(is_refused(fut))
    case.assertEqual(read() - before, 1)
    record = next(r for r in logs.records if r.message == 'job refused')
    case.assertEqual(record.request, jobs_test.ID)


def test_loads_are_read_from_the_owner(case):
    """The decider must tell the tracker of each pass."""
    made = cluster.Cluster(3)
    made.run(3)
    for number in range(9):
        job = jobs_test.make_job(jobs_test.make_step(60, run_ms=60_000))
        job.id = f'{number:016x}'
        made.submit_job(job)
    made.run(4)
    load = made.nodes[0].owner._decider.load
    now = made.nodes[0].owner.read_clock()
    (found,) = load.list_loads(now)
    case.assertTrue(found.is_short)
    case.assertGreater(found.rate, 0)
    case.assertEqual(found.capacity_class, shard_load.CapacityClass())
