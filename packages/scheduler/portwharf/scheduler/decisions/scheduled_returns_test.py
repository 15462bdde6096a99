# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Admission control with a schedule of returns."""

from portwharf.core import data
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import return_schedule
from portwharf.scheduler.decisions import scheduled_returns
from portwharf.testing import admission_site


class _SiteClock:
    """The clock of an ``admission_site.Site``."""

    def __init__(self, site):
        self._site = site

    def read_monotonic(self):
        return self._site.now


def make_site():
    """Return a site with a shortage, and its schedule of returns."""
    site = admission_site.Site()
    schedule = return_schedule.ReturnSchedule(_SiteClock(site))
    site.admission = job_admission.JobAdmission(
        site.state,
        site.runtimes,
        site.load,
        -60.0,
        scheduled_returns.ScheduledReturns(
            schedule, lambda one: site.load.is_short(one, site.now)
        ),
    )
    for number in range(30):
        made = admission_site.make_arrival(number, site.now_ms, 'urgent', 40)
        site.step([made])
    return site, schedule


def make_refused(number, site):
    """Return an arrival that the site refuses for some seconds."""
    return admission_site.make_arrival(number, site.now_ms, allowance_ms=3000)


def test_early_retry_is_refused_with_the_time_that_is_left(case):
    """Otherwise a caller would gain by asking more often than told."""
    site, schedule = make_site()
    made = make_refused(990, site)
    first = site.submit(made)
    case.assertGreaterEqual(first.retry_after_ms, 2000)
    due_at = schedule.find(made.job.id).due_at
    site.step()
    again = site.submit(made)
    case.assertEqual(again.code, job_admission.CODE_NO_ROOM)
    case.assertLessEqual(again.retry_after_ms, first.retry_after_ms)
    case.assertEqual(schedule.find(made.job.id).due_at, due_at)


def test_early_retry_is_refused_for_the_known_reason(case):
    """Failure: log and metrics report a shortage that does not exist."""
    site, _ = make_site()
    late = make_refused(990, site)
    large = make_refused(991, site)
    large.job.steps[0].resources = data.Resources(10**6, 10)
    for made, reason in (
        (large, placement.REASON_NEVER),
        (late, job_admission.REASON_LATE),
    ):
        first, _ = site.admission.decide(made.job, site.now_ms)
        case.assertEqual(first.reason, reason)
        again, problem = site.admission.decide(made.job, site.now_ms)
        case.assertEqual(again.reason, reason)
        case.assertIn('it returns before its time; ', problem.text)
        case.assertIn(first.detail, problem.text)


def test_early_retry_is_judged_while_workers_are_free(case):
    """Failure: it is refused although one of its tasks could begin.

    The class is still short, as larger tasks have no room.
    """
    site, schedule = make_site()
    made = make_refused(990, site)
    case.assertIsNotNone(site.submit(made))
    due_at = schedule.find(made.job.id).due_at
    while site.now < schedule.find(made.job.id).refused_at + 2:
        site.step()
    case.assertLess(site.now, due_at)
    case.assertIsNotNone(site.submit(made))
    capacity = schedule.find(made.job.id).refusal.capacity
    case.assertTrue(site.load.is_short(capacity, site.now))
    site.load.views[0].reserved = data.Resources()
    case.assertIsNone(site.submit(made))


def test_return_is_accepted_once_the_shortage_is_over(case):
    """Its objective counts from the first submission."""
    site, schedule = make_site()
    made = make_refused(990, site)
    asked_ms = site.now_ms
    retry_ms = site.submit(made).retry_after_ms
    while site.load.is_short(
        schedule.find(made.job.id).refusal.capacity, site.now
    ):
        for job_id in list(site.state.jobs):
            record = site.state.jobs[job_id]
            record.cancelled = True
            for name in record.steps:
                site.state.workloads[name].cancelled = True
        site.step()
    while site.now_ms < asked_ms + retry_ms:
        site.step()
    case.assertTrue(schedule.is_due(made.job.id))
    case.assertEqual(schedule.get_asked_ms(made.job.id, site.now_ms), asked_ms)
    case.assertIsNone(site.submit(made))
    case.assertIsNone(schedule.find(made.job.id))


def test_due_return_goes_before_new_jobs(case):
    """Otherwise new jobs would take the capacity that it was told of."""
    site, schedule = make_site()
    returning = make_refused(990, site)
    end_ms = site.now_ms + site.submit(returning).retry_after_ms
    while site.now_ms < end_ms:
        site.step()
    site.admission.start_pass(site.now)

    def assess(arrival):
        job, now_ms = arrival.job, site.now_ms
        return site.admission.assess(job, now_ms, now_ms).reason

    new = make_refused(991, site)
    case.assertEqual(assess(returning), '')
    case.assertEqual(assess(new), job_admission.REASON_LATE)
    schedule.cancel(returning.job.id)
    case.assertEqual(assess(new), '')
