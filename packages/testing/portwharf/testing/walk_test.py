# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Random walks with options, and regressions that walks have found."""

from portwharf.testing import cluster
from portwharf.testing import walk


def test_sound_task_that_always_starts_with_a_crasher_may_be_given_up(case):
    """A crashing task caused a sound task of its job to be given up.

    Both had started together on the same workers three times, so that
    nothing tells them apart. The job fails with either.
    """
    walk.Walk(4, more=True, births=True).run()


def test_walks_with_restarts_and_jobs(case):
    """Checks the order of steps, starts after success and retry limits."""
    for seed in (1, 2, 3):
        with case.subTest(seed=seed):
            walk.Walk(seed, more=True, births=True, jobs=True).run()


def test_walks_with_workers_that_crash_and_shrink(case):
    """Checks that no sound task is given up and no capacity exceeded."""
    for seed in (6, 35, 100):
        with case.subTest(seed=seed):
            walk.Walk(seed, more=True).run()


def test_walks_with_closed_zones(case):
    """Checks that no task starts in a zone long after it was closed."""
    for seed in (1, 2, 3, 4):
        with case.subTest(seed=seed):
            walk.Walk(seed, jobs=True, zones=True).run()


def test_walks_with_splits(case):
    """Checks that nothing runs twice when VMs that were cut off come back."""
    for seed in (2, 5, 17):
        with case.subTest(seed=seed):
            walk.Walk(seed, splits=True).run()


def test_starts_carried_out_after_a_silence_repeat_no_ended_task(case):
    for seed in (47, 197, 200):
        with case.subTest(seed=seed):
            walk.Walk(seed, jobs=True, late_starts=True).run()


def test_starts_carried_out_after_a_silence_overlap_no_attempt(case):
    for seed in (19, 38, 262):
        with case.subTest(seed=seed):
            walk.Walk(seed, jobs=True, late_starts=True).run()


def test_acknowledgement_after_the_lease_does_not_count(case):
    """A task is started again after a success that was reported too late.

    Its worker was silent for longer than its lease, so that the attempt was
    given up and the next one placed. The late success ends the task.
    """
    walk.Walk(1020, jobs=True).run()


def test_acknowledgement_within_the_lease_counts(case):
    small_cluster = cluster.Cluster(1)
    small_cluster.submit(1)
    small_cluster.run(4)
    worker = small_cluster.nodes[0].worker
    (run,) = worker.record
    worker.finish(run.attempt.task)
    small_cluster.run(1)
    case.assertTrue(run.noted)
