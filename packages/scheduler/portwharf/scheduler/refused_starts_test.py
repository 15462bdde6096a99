# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Work that every worker has refused begins soon after they accept it."""

import result

from portwharf.core import data
from portwharf.scheduler import jobs_test
from portwharf.testing import cluster
from portwharf import workers

REFUSING_SECONDS = 40.0
MAX_WAIT_SECONDS = 3.0


def run_while_refused(submit):
    """Return a cluster whose workers have refused some work for long.

    :param submit: function that submits the work to the cluster
    """
    made = cluster.Cluster(3)
    made.run(3)
    accepting = [node.worker.start for node in made.nodes]
    for node in made.nodes:
        node.worker.start = lambda _: result.Ok(workers.REFUSED_CAPACITY)
    submit(made)
    made.run(REFUSING_SECONDS)
    for node, start in zip(made.nodes, accepting, strict=True):
        node.worker.start = start
    return made


def count_running(made):
    """Return how many tasks run on all workers."""
    return sum(run.running for node in made.nodes for run in node.worker.runs)


def test_job_begins_once_workers_accept_it(case):
    job = jobs_test.make_job(jobs_test.make_step(1))
    made = run_while_refused(lambda one: one.submit_job(job))
    made.run(MAX_WAIT_SECONDS)
    case.assertEqual(count_running(made), 1)


def test_service_begins_once_workers_accept_it(case):
    made = run_while_refused(lambda one: one.submit(1, kind=data.Kind.SERVICE))
    made.run(MAX_WAIT_SECONDS)
    case.assertEqual(count_running(made), 1)
