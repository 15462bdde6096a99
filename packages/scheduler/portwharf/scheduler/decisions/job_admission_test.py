# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Refusals of jobs during bursts, judged by an oracle, and their limits."""

import collections

import hypothesis
from hypothesis import strategies

from portwharf.core import data
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler.decisions import worker_sizes
from portwharf.testing import admission_site
from portwharf.testing import fixtures

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, max_examples=25, deadline=None
)


def play_both(arrivals, duration_ms=24_000):
    """Play a day with and without refusals."""
    with_refusals = admission_site.Site().play(arrivals, duration_ms)
    return with_refusals, admission_site.Site(admits=False).play(
        arrivals, duration_ms
    )


def make_short_site(steps=30, milli=1000, **fields):
    """Return a site that has been short of capacity for some steps.

    :param milli: the processors of each task that keeps it busy
    """
    site = admission_site.Site(**fields)
    for number in range(steps):
        made = admission_site.make_arrival(number, site.now_ms, 'urgent', 40)
        made.job.steps[0].resources = data.Resources(milli, 10)
        site.step([made])
    return site


def test_without_a_shortage_every_decision_is_as_before(case):
    for seed in range(3):
        after, before = play_both(admission_site.make_burst(seed, 0.6))
        case.assertEqual(after.refused, {})
        case.assertEqual(after.placed, before.placed)


def test_shortage_of_less_than_a_second_refuses_nothing(case):
    """Placement takes some passes to use free VMs after a burst."""
    for steps, is_refused in ((9, False), (30, True)):
        site = make_short_site(steps, 4000)
        hopeless = admission_site.make_arrival(
            990, site.now_ms, count=900, allowance_ms=0
        )
        case.assertEqual(site.submit(hopeless) is not None, is_refused)


def test_small_tasks_are_accepted_where_only_large_ones_have_no_room(case):
    for milli, is_refused in ((8000, True), (7000, False)):
        site = make_short_site(milli=milli)
        small = admission_site.make_arrival(990, site.now_ms)
        case.assertEqual(site.submit(small) is not None, is_refused)


def test_dip_of_filling_capacity_refuses_no_job_that_ends_in_time(case):
    """Failure: a peak of serving load of 3 s refuses useful work.

    Ten VMs run filling tasks at their normal pace, and then at 0.03 of it.
    The job takes 4 s of the normal rate, of its 6 s or so.
    """
    site = admission_site.Site()
    for number in range(60):
        site.now_ms += admission_site.STEP_MS
        views = []
        for index in range(10):
            view = vmview.VmView(
                fixtures.make_vm(index),
                data.Resources(8000, 8000),
                filling_milli=8000,
                reserved=data.Resources(0, 8000),
            )
            share = 1.0 if number < 30 else 0.03
            view.fillings = [vmview.FillingTask(share=share)]
            views.append(view)
        weigher = precedence.Weigher(site.state, site.now_ms, site.runtimes)
        site.load.update(site.state, views, {}, weigher, site.now)
    site.admission.start_pass(site.now)
    filling = shard_load.CapacityClass('', True)
    case.assertTrue(site.load.is_short(filling, site.now))
    for count, is_refused in ((400, False), (4000, True)):
        made = admission_site.make_arrival(990 + count, site.now_ms)
        made.job.steps[0].count = count
        made.job.steps[0].fills = True
        made.job.allowance_ms = 1500
        case.assertEqual(site.submit(made) is not None, is_refused)


def test_rate_near_zero_refuses_nothing(case):
    """Failure: the end overflows, and the exception ends the owner."""
    site = make_short_site()
    hopeless = admission_site.make_arrival(
        990, site.now_ms, count=900, allowance_ms=0
    )
    for rate, is_refused in ((0.0, False), (1e-320, False), (1.0, True)):
        site.load.get_rate = lambda _, rate=rate: rate
        case.assertEqual(site.submit(hopeless) is not None, is_refused)
        site.admission.start_pass(site.now)


def test_estimate_that_is_too_low_does_not_shorten_the_late_limit(case):
    site = make_short_site()
    made = admission_site.make_arrival(990, site.now_ms, factor=0.1)
    verdict = site.admission.assess(made.job, site.now_ms, site.now_ms)
    case.assertGreaterEqual(round(verdict.late_ms), made.late_ms)


def test_oracle_serves_less_than_a_tenth_of_what_bursts_refuse(case):
    """Neither bad estimates nor bursts may turn away useful work."""
    for factors in ((1.0,), (0.1, 1.9), (0.1,), (1.9,)):
        refused = served = 0
        for seed, burst in ((0, 2), (1, 2.5), (2, 3), (3, 3)):
            arrivals = admission_site.make_burst(seed, burst, factors, 0.8)
            site = admission_site.Site().play(arrivals, 24_000)
            exact = admission_site.make_burst(seed, burst, (1,), 0.8)
            oracle = admission_site.Site(admits=False).play(exact, 24_000)
            turned = [one for one in arrivals if one.job.id in site.refused]
            refused += sum(one.size for one in turned)
            served += sum(one.size for one in turned if oracle.is_served(one))
        case.assertGreater(refused, 0, factors)
        case.assertLess(served, 0.1 * refused, factors)


def test_refusals_cost_no_job_that_was_served_without_them(case):
    arrivals = admission_site.make_burst(3, 3, urgent_share=0.8)
    after, before = play_both(arrivals)
    case.assertTrue(after.refused)
    counts = [sum(map(site.is_served, arrivals)) for site in (after, before)]
    case.assertGreaterEqual(*counts)


def test_no_size_and_no_queue_is_refused_as_a_whole(case):
    """A group is accepted at least half as often as its queue."""
    for burst, burst_ms in ((3, 6000), (2, 14_000)):
        arrivals = admission_site.make_burst(
            5, burst, (0.1, 1.9), 0.7, burst_ms
        )
        site = admission_site.Site().play(arrivals, 16_000)
        submitted = collections.Counter()
        accepted = collections.Counter()
        for one in arrivals:
            queue = one.job.queue
            taken = one.size * (one.job.id not in site.refused)
            for group in ((queue,), (queue, one.job.steps[0].count)):
                submitted[group] += one.size
                accepted[group] += taken
        for group in submitted:
            share = accepted[group] / submitted[group]
            whole = accepted[group[:1]] / submitted[group[:1]]
            case.assertGreater(share, 0.5 * whole, group)
            case.assertGreater(share, 0.2, group)


def test_accepted_job_counts_for_the_next_of_its_pass(case):
    """Two submissions must not both be given the same processors."""
    site = make_short_site()
    site.admission.start_pass(site.now)
    last = admission_site.make_arrival(990, site.now_ms)
    before = site.admission.assess(last.job, site.now_ms, site.now_ms)
    first = admission_site.make_arrival(991, site.now_ms, 'urgent', 10)
    case.assertIsNone(site.submit(first))
    after = site.admission.assess(last.job, site.now_ms, site.now_ms)
    added = after.ahead - before.ahead
    case.assertAlmostEqual(added / (first.size * 1000), 1.0, 2)
    case.assertEqual(before.reason, job_admission.REASON_LATE)


def test_new_owner_refuses_nothing_for_its_first_two_seconds(case):
    case.assertTrue(
        make_short_site().submit(
            admission_site.make_arrival(990, admission_site.START_MS)
        )
    )
    # The step after the three seconds of ``make_short_site`` is at 3.1 s.
    site = make_short_site(began=3.0 - shard_load.MIN_OWNER_SECONDS + 0.1)
    case.assertIsNone(
        site.submit(admission_site.make_arrival(990, admission_site.START_MS))
    )


def test_jobs_that_are_not_known_well_are_accepted(case):
    timed = {
        'times': 2,
        'first_ms': admission_site.START_MS,
        'interval_ms': 500,
    }
    for fields in (timed, {'stretch': 0.0, 'objective_ms': 10}):
        made = admission_site.make_arrival(
            990, admission_site.START_MS, **fields
        )
        case.assertIsNone(make_short_site().submit(made))
    made = admission_site.make_arrival(990, admission_site.START_MS)
    made.job.steps[0].kind = data.Kind.STANDING
    case.assertIsNone(make_short_site().submit(made))
    unmeasured = make_short_site(trained=('urgent',))
    case.assertIsNone(
        unmeasured.submit(
            admission_site.make_arrival(990, admission_site.START_MS)
        )
    )


def test_refusal_says_when_to_retry_if_that_helps(case):
    site = make_short_site()
    fields = {'allowance_ms': 3000}
    early = site.submit(
        admission_site.make_arrival(990, site.now_ms, **fields)
    )
    case.assertEqual(early.code, job_admission.CODE_NO_ROOM)
    case.assertGreaterEqual(early.retry_after_ms, 2000)
    case.assertLess(early.retry_after_ms, 30_000)
    hopeless = site.submit(
        admission_site.make_arrival(991, site.now_ms, allowance_ms=0)
    )
    case.assertEqual(hopeless.retry_after_ms, 0)


def test_job_that_no_worker_can_hold_is_refused_at_any_load(case):
    site = admission_site.Site()
    large = admission_site.make_arrival(1, admission_site.START_MS)
    large.job.steps[0].resources = data.Resources(
        admission_site.CORES * 1000 + 1, 10
    )
    case.assertIsNone(site.submit(large), 'no VM has reported')
    site.step()
    problem = site.submit(large)
    case.assertIn(placement.REASON_NEVER, problem.text)
    case.assertEqual(problem.retry_after_ms, 0)
    large.job.steps[0].pool = 'unknown'
    case.assertIsNone(site.submit(large))


def make_large(number):
    """Return the arrival of a job that is too large for a site's VMs."""
    large = admission_site.make_arrival(number, admission_site.START_MS)
    large.job.steps[0].resources = data.Resources(
        admission_site.CORES * 1000 + 1, 10
    )
    return large


def test_vms_that_may_be_larger_are_waited_for(case):
    """Failure: a VM that joins may hold a job that was refused for good.

    It joins at the owner's begin or later, and also where another VM never
    reports.
    """
    wait_seconds = worker_sizes.REPORT_WAIT_SECONDS
    site = admission_site.Site(began=0.0)
    site.step()
    for number, begin in enumerate((0.1, 300.0, 600.0)):
        view = vmview.VmView(fixtures.make_vm(9 + number))
        site.load.views.append(view)
        case.assertIsNone(site.submit(make_large(number)))
        site.admission.start_pass(begin)
        site.admission.start_pass(begin + wait_seconds - 0.1)
        case.assertIsNone(site.submit(make_large(10 + number)))
        site.admission.start_pass(begin + wait_seconds)
        case.assertIsNotNone(site.submit(make_large(20 + number)))


def test_large_vm_that_left_is_remembered_for_minutes(case):
    """Failure: the only VM that can hold a job restarts, and it is refused."""
    for pool, is_held in (('', True), ('desk', True), ('other', False)):
        site = admission_site.Site()
        site.step()
        size = data.Resources(2 * admission_site.CORES * 1000, 8000)
        small = vmview.VmView(
            fixtures.make_vm(8), site.load.views[0].capacity, pool='other'
        )
        large = vmview.VmView(fixtures.make_vm(9), size, pool='desk')
        gone = vmview.VmView(
            fixtures.make_vm(7), site.load.views[0].capacity, pool='desk'
        )
        site.load.views += [small, large, gone]
        site.admission.start_pass(5.0)
        site.load.views.remove(large)
        for now, is_accepted in ((6.0, is_held), (304.0, is_held), (307.0, 0)):
            site.admission.start_pass(now)
            made = make_large(int(now))
            made.job.steps[0].pool = pool
            case.assertEqual(site.submit(made) is None, bool(is_accepted))


def test_owed_group_is_judged_by_its_share(case):
    """A group with little work of its own must not wait for all others."""
    site = make_short_site()
    made = admission_site.make_arrival(990, site.now_ms)
    site.admission._shares.find_owed = lambda job: (0.5, {job.id})
    case.assertIsNone(site.submit(made))


def test_nothing_is_refused_while_workers_are_free(case):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4000),
                strategies.sampled_from(sorted(admission_site.QUEUES)),
                strategies.integers(1, 60),
                strategies.integers(200, 2500),
                strategies.sampled_from((0.1, 1.0, 1.9)),
                strategies.sampled_from((1000, 5000)),
            ),
            min_size=10,
            max_size=60,
        )
    )
    def check(rows):
        arrivals = []
        for number, (at_ms, *row, milli) in enumerate(rows):
            at_ms += admission_site.START_MS
            made = admission_site.make_arrival(number, at_ms, *row)
            made.job.steps[0].resources = data.Resources(milli, 10)
            arrivals.append(made)
        site = admission_site.Site()
        for arrival in sorted(arrivals, key=lambda one: one.at_ms):
            while site.now_ms < arrival.at_ms:
                site.step()
            if site.submit(arrival):
                milli = arrival.job.steps[0].resources.cpu_milli
                case.assertLess(max(site.free_milli), milli)
                refused.append(arrival)

    refused = []
    check()
    case.assertTrue(refused)


def test_job_that_ends_late_but_useful_is_accepted(case):
    """Run times are known within a factor of two, and nothing arrives."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(sorted(admission_site.QUEUES)),
                strategies.integers(1, 80),
                strategies.integers(200, 2500),
            ),
            min_size=10,
            max_size=30,
        ),
        strategies.integers(1, 40),
        strategies.integers(0, 4000),
    )
    def check(rows, count, allowance_ms):
        site = admission_site.Site(admits=False)
        for number, row in enumerate(rows):
            site.step([admission_site.make_arrival(number, site.now_ms, *row)])
        for _ in range(12):
            site.step()
        site.admission.start_pass(site.now)
        last = admission_site.make_arrival(
            990, site.now_ms, 'plans', count, allowance_ms=allowance_ms
        )
        verdict = site.admission.assess(last.job, site.now_ms, site.now_ms)
        site.submit(last)
        if verdict.reason:
            refused.append(last)
            duration_ms = last.late_ms - admission_site.START_MS
            site.play([], duration_ms + 500)
            case.assertFalse(site.is_served(last), verdict)

    refused = []
    check()
    case.assertTrue(refused)
