# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Walks on which workers crash, also under tasks, and shrink and grow."""

from portwharf.testing import cluster
from portwharf.testing import walk


def test_job_is_given_up_by_whichever_task_stands_out_first(case):
    """One that crashes its workers took a sound one of its job along.

    Both had begun together on the same workers three times, so that nothing
    tells them apart, and the job is lost with either.
    """
    walk.Walk(4, more=True, births=True).run()


def test_walks_with_births_and_jobs(case):
    """Nothing begins out of turn, after its end, or after its last try."""
    for seed in (1, 2, 3):
        with case.subTest(seed=seed):
            walk.Walk(seed, more=True, births=True, jobs=True).run()


def test_walks_with_workers_that_crash_and_shrink(case):
    """No sound task is given up, and no room is overrun."""
    for seed in (6, 35, 100):
        with case.subTest(seed=seed):
            walk.Walk(seed, more=True).run()


def test_walks_with_zones_that_are_closed(case):
    """Nothing begins in a zone that has long been closed."""
    for seed in (1, 2, 3, 4):
        with case.subTest(seed=seed):
            walk.Walk(seed, jobs=True, zones=True).run()


def test_end_that_is_acknowledged_after_the_lease_counts_as_not_noted(case):
    """A task is begun again after a success that came too late.

    Its worker was silent for longer than its lease, so that the attempt was
    given up and the next one placed; the success is dropped then.
    """
    walk.Walk(1020, jobs=True).run()


def test_end_that_is_acknowledged_in_time_is_noted(case):
    made = cluster.Cluster(1)
    made.submit(1)
    made.run(4)
    worker = made.nodes[0].worker
    (run,) = worker.record
    worker.finish(run.attempt.task)
    made.run(1)
    case.assertTrue(run.noted)
