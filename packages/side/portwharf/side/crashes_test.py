# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A worker crash is told apart from other causes of lost attempts."""

import dataclasses

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import agent
from portwharf.side import crashes
from portwharf.side import loss_reporter
from portwharf.side import reports
from portwharf.testing import agent_harness
from portwharf import workers

# Two incarnations of the same worker.
FIRST = data.IncarnationId('worker', 2)
SECOND = data.IncarnationId('worker', 1)


class CrashingWorker(agent_harness.FakeWorker):
    """A worker that can crash and return as another incarnation."""

    def __init__(self, now):
        super().__init__(now)
        self.life = FIRST
        self.absent = False
        self.draining = False
        # The worker crashes at the next start, before it answers.
        self.crashes_on_start = False

    def read_listing(self):
        listing = super().read_listing().ok_value
        listing.life = data.IncarnationId() if self.absent else self.life
        listing.absent = self.absent
        listing.draining = self.draining
        return result.Ok(listing)

    def start(self, start):
        if not self.crashes_on_start:
            return super().start(start)
        self.crash()
        return result.Err('closed')

    def crash(self, life=None):
        """Crash, and return at once if an incarnation is given."""
        self.listing = dataclasses.replace(self.listing, attempts=[])
        self.absent = life is None
        self.life = life


def make_bench():
    """Return a bench under a grant, with a worker that can crash."""
    bench = agent_harness.AgentHarness()
    bench.worker = CrashingWorker(bench.clock)
    bench.agent = agent.Agent(
        bench.worker,
        bench.guard,
        agent_harness.LIMITS,
        bench.clock,
        bench._note,
    )
    bench.conn = bench.connect()
    bench.grant()
    bench.step(1)
    return bench


def list_gone(bench):
    """Return task, reason, crash and run time of the lost attempts."""
    return [
        (report.task, report.reason, report.crash, report.ran_ms)
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.state == 'gone'
    ]


def test_crash_report_has_the_run_time(case):
    bench = make_bench()
    bench.start()
    bench.worker.crash()
    bench.step(0.5)
    reported = [('w.0', reports.REASON_CRASHED, FIRST.name, 500)]
    case.assertEqual(list_gone(bench), reported)


def test_crash_is_detected_when_the_worker_is_already_back(case):
    bench = make_bench()
    bench.start()
    bench.worker.crash(life=SECOND)
    bench.step(0.5)
    reported = [('w.0', reports.REASON_CRASHED, FIRST.name, 500)]
    case.assertEqual(list_gone(bench), reported)


def test_unconfirmed_start_is_reported_with_the_crash(case):
    bench = make_bench()
    bench.worker.crashes_on_start = True
    bench.start()
    reported = [('w.0', reports.REASON_CRASHED, FIRST.name, crashes.UNKNOWN)]
    case.assertEqual(list_gone(bench), reported)


def test_crash_is_reported_in_one_message_for_all_attempts(case):
    bench = make_bench()
    bench.start('w.0')
    bench.start('w.1')
    bench.conn.take(messages.Reports)
    bench.worker.crash()
    bench.step(0.5)
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(len(message.reports), 2)


def test_crash_is_reported_again_to_a_new_owner(case):
    bench = make_bench()
    bench.start()
    bench.worker.crash()
    bench.step(0.5)
    bench.worker.crash(life=SECOND)
    bench.conn = bench.connect()
    bench.grant()
    bench.step(1)
    list_gone(bench)
    bench.start()
    (reported,) = list_gone(bench)
    case.assertEqual(reported[1:3], (reports.REASON_CRASHED, FIRST.name))


def test_draining_worker_that_leaves_has_not_crashed(case):
    bench = make_bench()
    bench.start()
    bench.worker.draining = True
    bench.step(0.5)
    bench.worker.crash()
    bench.step(0.5)
    reported = [('w.0', loss_reporter.GONE_UNLISTED, '', 0)]
    case.assertEqual(list_gone(bench), reported)


def test_unlisted_attempt_is_gone_without_a_crash(case):
    bench = make_bench()
    bench.start()
    bench.worker.listing.attempts = []
    bench.step(0.5)
    reported = [('w.0', loss_reporter.GONE_UNLISTED, '', 0)]
    case.assertEqual(list_gone(bench), reported)


def test_first_listing_shows_no_crash(case):
    watch = crashes.CrashTracker()
    listing = workers.Listing(life=FIRST)
    case.assertFalse(watch.detect_crash(listing))
    case.assertFalse(watch.detect_crash(listing))
    case.assertTrue(watch.detect_crash(workers.Listing(absent=True)))
    case.assertFalse(watch.detect_crash(workers.Listing(absent=True)))
    listing.life = SECOND
    case.assertFalse(watch.detect_crash(listing))


def test_crash_report_has_the_time_of_the_last_listing(case):
    """It tells how long the attempt is known to have run."""
    bench = make_bench()
    bench.start()
    bench.step(0.5)
    bench.worker.crash()
    bench.step(0.7)
    (report,) = [
        report
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.state == 'gone'
    ]
    case.assertEqual((report.ran_ms, report.listed_ms), (1200, 500))
