# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A side tells a crash of its worker from all else that ends an attempt."""

import dataclasses

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import agent
from portwharf.side import crashes
from portwharf.side import losses
from portwharf.side import reports
from portwharf.testing import agent_bench
from portwharf import workers

# Lives of a worker under one id.
FIRST = data.LifeId('worker', 2)
SECOND = data.LifeId('worker', 1)


class MortalWorker(agent_bench.FakeWorker):
    """A worker that can crash and come back as another life."""

    def __init__(self, now):
        super().__init__(now)
        self.life = FIRST
        self.absent = False
        self.draining = False
        # The next start ends it before it has answered.
        self.doomed = False

    def read_listing(self):
        listing = super().read_listing().ok_value
        listing.life = data.LifeId() if self.absent else self.life
        listing.absent = self.absent
        listing.draining = self.draining
        return result.Ok(listing)

    def start(self, start):
        if not self.doomed:
            return super().start(start)
        self.crash()
        return result.Err('closed')

    def crash(self, life=None):
        """End, or be another life at once."""
        self.listing = dataclasses.replace(self.listing, attempts=[])
        self.absent = life is None
        self.life = life


def make_bench():
    """Return an agent under a grant, with a worker that can crash."""
    bench = agent_bench.Bench()
    bench.worker = MortalWorker(bench.clock)
    bench.agent = agent.Agent(
        bench.worker, bench.guard, agent_bench.LIMITS, bench.clock, bench._note
    )
    bench.conn = bench.connect()
    bench.grant()
    bench.step(1)
    return bench


def list_gone(bench):
    """Return name, reason, crash and age of what was told to be gone."""
    return [
        (report.task, report.reason, report.crash, report.ran_ms)
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.state == 'gone'
    ]


def test_crash_is_told_with_the_age_of_what_ran(case):
    bench = make_bench()
    bench.start()
    bench.worker.crash()
    bench.step(0.5)
    told = [('w.0', reports.REASON_CRASHED, FIRST.name, 500)]
    case.assertEqual(list_gone(bench), told)


def test_crash_is_seen_when_the_next_life_is_there_already(case):
    bench = make_bench()
    bench.start()
    bench.worker.crash(life=SECOND)
    bench.step(0.5)
    told = [('w.0', reports.REASON_CRASHED, FIRST.name, 500)]
    case.assertEqual(list_gone(bench), told)


def test_start_without_an_answer_may_have_begun_under_a_crash(case):
    bench = make_bench()
    bench.worker.doomed = True
    bench.start()
    told = [('w.0', reports.REASON_CRASHED, FIRST.name, crashes.UNKNOWN)]
    case.assertEqual(list_gone(bench), told)


def test_all_that_a_crash_ended_is_told_at_once(case):
    bench = make_bench()
    bench.start('w.0')
    bench.start('w.1')
    bench.conn.take(messages.Reports)
    bench.worker.crash()
    bench.step(0.5)
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(len(message.reports), 2)


def test_crash_is_told_again_to_an_owner_that_missed_it(case):
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
    (told,) = list_gone(bench)
    case.assertEqual(told[1:3], (reports.REASON_CRASHED, FIRST.name))


def test_worker_that_leaves_as_it_said_has_not_crashed(case):
    bench = make_bench()
    bench.start()
    bench.worker.draining = True
    bench.step(0.5)
    bench.worker.crash()
    bench.step(0.5)
    told = [('w.0', losses.GONE_UNLISTED, '', 0)]
    case.assertEqual(list_gone(bench), told)


def test_attempt_that_is_not_listed_any_more_saw_no_crash(case):
    bench = make_bench()
    bench.start()
    bench.worker.listing.attempts = []
    bench.step(0.5)
    told = [('w.0', losses.GONE_UNLISTED, '', 0)]
    case.assertEqual(list_gone(bench), told)


def test_first_look_at_a_worker_shows_no_crash(case):
    watch = crashes.CrashTracker()
    listing = workers.Listing(life=FIRST)
    case.assertFalse(watch.detect_crash(listing))
    case.assertFalse(watch.detect_crash(listing))
    case.assertTrue(watch.detect_crash(workers.Listing(absent=True)))
    case.assertFalse(watch.detect_crash(workers.Listing(absent=True)))
    listing.life = SECOND
    case.assertFalse(watch.detect_crash(listing))
