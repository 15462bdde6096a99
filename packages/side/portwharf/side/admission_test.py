# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Order of execution, rejections and outcomes of queued requests."""

import queue
import threading

from portwharf.core import clock
from portwharf.core import data
from portwharf import endpoints
from portwharf.side import admission


class GatedRunner(endpoints.Runner):
    """A runner whose requests block until they are released."""

    def __init__(self):
        self.ran = []
        self.started = queue.Queue()
        self.gate = threading.Semaphore(0)
        self.answer = endpoints.RunnerAnswer(whole=True, payload=b'ok')

    def run(self, request, service, payload, timeout):
        self.ran.append(request)
        self.started.put(request)
        self.gate.acquire()
        return self.answer

    def release(self, count=1000):
        """Let a number of requests finish."""
        self.gate.release(count)


class QueueBench:
    """A request queue with a gated runner; collects the verdicts."""

    def __init__(self, case, slots=1, waiting=2):
        self.runner = GatedRunner()
        self.clock = clock.ManualClock()
        self.done = queue.Queue()
        self.admission = admission.Admission(
            self.runner, slots, waiting, self.clock
        )
        case.enterContext(self.admission)
        case.addCleanup(self.runner.release)

    def offer(self, request, left=10.0, **fields):
        """Offer a request whose deadline is ``left`` seconds away."""
        deadline = self.clock.read_monotonic() + left
        job = admission.Job(request, 's/x', deadline=deadline, **fields)
        job.finish = lambda verdict: self.done.put((request, verdict))
        self.admission.offer(job)
        return job

    def occupy_slot(self):
        """Occupy a slot with a running request."""
        self.offer('first')
        self.runner.started.get(timeout=10)

    def take_answer(self):
        """Return the next request that has finished, and its verdict."""
        return self.done.get(timeout=10)


def test_request_is_run_and_answered(case):
    bench = QueueBench(case)
    bench.runner.release()
    bench.offer('a')
    request, verdict = bench.take_answer()
    case.assertEqual((request, verdict.payload), ('a', b'ok'))
    case.assertEqual(verdict.outcome, data.Outcome.ANSWERED)


def test_no_more_run_than_there_are_slots(case):
    bench = QueueBench(case, slots=3, waiting=5)
    for number in range(8):
        bench.offer(str(number))
    for _ in range(3):
        bench.runner.started.get(timeout=10)
    case.assertEqual(len(bench.runner.ran), 3)
    case.assertEqual(bench.admission.in_flight, 8)


def test_nearest_deadline_goes_first(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('late', 9)
    bench.offer('soon', 1)
    bench.runner.release()
    order = [bench.take_answer()[0] for _ in range(3)]
    case.assertEqual(order, ['first', 'soon', 'late'])


def test_full_queue_rejects_the_latest_deadline_at_once(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('late', 9)
    bench.offer('later', 10)
    bench.offer('soon', 1)
    request, verdict = bench.take_answer()
    case.assertEqual(request, 'later')
    case.assertEqual(verdict.outcome, data.Outcome.NOT_RUN)
    case.assertEqual(verdict.reason, admission.REASON_QUEUE)
    case.assertNotIn('later', bench.runner.ran)


def test_request_past_its_deadline_is_not_run(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('short', 1)
    bench.clock.advance(2)
    bench.runner.release()
    bench.take_answer()
    request, verdict = bench.take_answer()
    case.assertEqual(request, 'short')
    case.assertEqual(verdict.outcome, data.Outcome.NOT_RUN)
    case.assertNotIn('short', bench.runner.ran)


def test_withdrawn_request_is_not_run(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('gone').withdrawn = True
    bench.runner.release()
    bench.take_answer()
    case.assertEqual(bench.take_answer()[1].outcome, data.Outcome.NOT_RUN)
    case.assertNotIn('gone', bench.runner.ran)


def test_draining_queue_rejects_new_requests_and_finishes_others(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('waiting')
    bench.admission.drain()
    bench.offer('new')
    request, verdict = bench.take_answer()
    case.assertEqual(request, 'new')
    case.assertEqual(verdict.reason, admission.REASON_LEAVING)
    bench.runner.release()
    answers = [bench.take_answer()[1].outcome for _ in range(2)]
    case.assertEqual(answers, [data.Outcome.ANSWERED] * 2)
    case.assertTrue(bench.admission.wait_until_idle(10))


def test_callers_over_their_share_come_last(case):
    bench = QueueBench(case, waiting=3)
    bench.occupy_slot()
    bench.offer('noisy', 1, excess=True)
    bench.offer('modest', 9)
    bench.runner.release()
    order = [bench.take_answer()[0] for _ in range(3)]
    case.assertEqual(order, ['first', 'modest', 'noisy'])


def test_request_whose_home_changed_meanwhile_is_not_run(case):
    bench = QueueBench(case)
    bench.occupy_slot()
    bench.offer('order', may_run=lambda: False)
    bench.runner.release()
    bench.take_answer()
    verdict = bench.take_answer()[1]
    case.assertEqual(verdict.outcome, data.Outcome.NOT_RUN)
    case.assertNotIn('order', bench.runner.ran)


def test_cut_answer_is_unknown_and_failure_is_failed(case):
    bench = QueueBench(case)
    bench.runner.release()
    bench.runner.answer = endpoints.RunnerAnswer(reason='cut')
    bench.offer('a')
    case.assertEqual(bench.take_answer()[1].outcome, data.Outcome.UNKNOWN)
    bench.runner.answer = endpoints.RunnerAnswer(whole=True, failed=True)
    bench.offer('b')
    case.assertEqual(bench.take_answer()[1].outcome, data.Outcome.FAILED)
