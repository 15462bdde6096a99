# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Filling tasks are throttled to protect serving ones, heaviest first."""

import logging
import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import tail_interference
from portwharf.side import pacing
from portwharf.side import pacing_log
from portwharf.side import task_traits
from portwharf import workers


def make_pacer(**presses):
    """Return a pacer that knows a serving task and filling images.

    :param presses: interference by filling image
    """
    pacer = pacing.Pacer()
    start = messages.StartTask(task='s.0', program='desk', target_ms=20)
    pacer.record_start(start)
    told = [
        messages.Press('desk', image, press)
        for image, press in presses.items()
    ]
    pacer.presses.replace_estimates(told)
    for image in presses:
        start = messages.StartTask(task=f'{image}.0', program=image)
        start.fill_milli = 4000
        pacer.record_start(start)
    return pacer


def make_listing(tail_ms, *images, used=4000):
    """Return a listing of the serving and the filling tasks."""
    running = data.RunState.RUNNING
    attempts = [workers.Attempt('s.0', 1, running, tail_ms=tail_ms)]
    for image in images:
        one = workers.Attempt(f'{image}.0', 1, running, used_cpu_milli=used)
        attempts.append(one)
    return workers.Listing(0, data.Resources(16000, 64000), attempts)


def plan(pacer, listing, now=0.0):
    """Return the changes as a map of task to percent."""
    return {one.task: one.percent for one in pacer.plan(listing, now)}


def test_light_work_is_not_throttled(case):
    pacer = make_pacer(light=0.1)
    case.assertEqual(plan(pacer, make_listing(10, 'light')), {})


def test_heavy_work_is_throttled_before_light_work(case):
    pacer = make_pacer(light=0.2, heavy=8.0)
    changes = plan(pacer, make_listing(16, 'light', 'heavy', used=100))
    case.assertNotIn('light.0', changes)
    case.assertLess(changes['heavy.0'], 30)


def test_missed_target_throttles_all_filling_tasks(case):
    pacer = make_pacer(light=0.0)
    changes = plan(pacer, make_listing(30, 'light'))
    case.assertIn('light.0', changes)
    case.assertLessEqual(changes['light.0'], 50)


def test_throttle_is_released_when_there_is_headroom(case):
    pacer = make_pacer(light=0.1)
    plan(pacer, make_listing(30, 'light'))
    changes = {}
    for step in range(8):
        changes |= plan(pacer, make_listing(5, 'light'), 1.0 + step)
    case.assertEqual(changes['light.0'], pacing.FULL)


def test_unmeasured_server_throttles_heavy_work(case):
    pacer = make_pacer(light=0.1, heavy=8.0)
    changes = plan(pacer, make_listing(0, 'light', 'heavy'))
    case.assertNotIn('light.0', changes)
    case.assertLess(changes['heavy.0'], 20)


def test_unknown_work_is_throttled_as_if_it_might_be_heavy(case):
    pacer = make_pacer(light=0.1)
    start = messages.StartTask(task='new.0', program='new', fill_milli=4000)
    pacer.record_start(start)
    changes = plan(pacer, make_listing(12, 'new', used=0))
    case.assertLess(changes['new.0'], 50)


def test_nothing_is_throttled_without_a_server(case):
    pacer = make_pacer(heavy=30.0)
    listing = make_listing(90, 'heavy')
    del listing.attempts[0]
    case.assertEqual(plan(pacer, listing), {})


def test_lost_change_is_sent_again(case):
    pacer = make_pacer(light=0.1)
    (change,) = pacer.plan(make_listing(30, 'light'), 0.0)
    pacer.forget_sent(change)
    case.assertIn('light.0', plan(pacer, make_listing(30, 'light')))


def test_change_beside_a_server_is_observed_once(case):
    pacer = make_pacer(heavy=3.0)
    pacer.plan(make_listing(5, 'heavy', used=0), 0.0)
    pacer.plan(make_listing(10, 'heavy', used=4000), 0.6)
    (observed,) = pacer.record_presses_observed()
    case.assertEqual(observed.serving, 'desk')
    case.assertAlmostEqual(observed.growth, 0.693, 3)
    case.assertEqual(observed.differences[0].share, 0.25)
    case.assertEqual(pacer.record_presses_observed(), [])


def test_owner_gets_throttled_tasks_and_headrooms(case):
    pacer = make_pacer(light=0.1)
    pacer.plan(make_listing(30, 'light'), 0.0)
    (paced,) = pacer.list_paced()
    case.assertEqual(paced.task, 'light.0')
    (headroom,) = pacer.list_headrooms()
    case.assertLess(headroom.room, 0)


def test_running_server_is_not_evicted_from_the_traits_cache(case):
    pacer = make_pacer(light=0.1)
    case.assertEqual(plan(pacer, make_listing(10, 'light')), {})
    for number in range(task_traits.MAX_TRAITS + 1):
        start = messages.StartTask(task=f'x.{number}', fill_milli=1)
        pacer.record_start(start)
    case.assertIn('light.0', plan(pacer, make_listing(30, 'light')))


def test_lost_release_is_sent_again(case):
    pacer = make_pacer(light=0.1)
    plan(pacer, make_listing(30, 'light'))
    for step in range(8):
        changes = pacer.plan(make_listing(5, 'light'), 1.0 + step)
    case.assertEqual(changes, [])
    pacer.forget_sent(pacing.Pace('light.0', 1, pacing.FULL))
    changes = plan(pacer, make_listing(5, 'light'), 10.0)
    case.assertEqual(changes, {'light.0': pacing.FULL})


def test_task_described_again_keeps_its_share(case):
    pacer = make_pacer(light=0.1)
    plan(pacer, make_listing(30, 'light'))
    held = messages.HeldTask('light.0', 1, program='light', fill_milli=4000)
    pacer.record_held(held)
    (paced,) = pacer.list_paced()
    case.assertEqual(paced.task, 'light.0')
    case.assertEqual(plan(pacer, make_listing(30, 'light')), {})


def test_filling_tasks_are_suspended_after_a_long_target_miss(case):
    """Several tasks at the least share still interfere.

    Under high load a serving task was over its target for 4 s, beside eight
    filling tasks of which most were throttled to the least share.
    """
    pacer = make_pacer(light=0.1, heavy=8.0)
    paces = {}
    for number in range(4):
        listing = make_listing(30, 'light', 'heavy')
        paces |= plan(pacer, listing, 0.4 * number)
    case.assertEqual(paces, {'light.0': 0, 'heavy.0': 0})


def test_log_tells_what_throttled_tasks_ask_for_and_use(case):
    pacer = make_pacer(light=0.2, heavy=8.0)
    listing = make_listing(16, 'light', 'heavy', used=100)
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        plan(pacer, listing)
    (record,) = caught.records
    case.assertEqual(record.getMessage(), 'filling tasks throttled')
    case.assertEqual((record.count, record.throttled, record.least), (2, 1, 1))
    case.assertEqual((record.asked_milli, record.used_milli), (8000, 200))
    case.assertEqual((record.tail_percent, record.percent), (80, 100))


def test_suspended_tasks_are_logged_as_at_the_least_share(case):
    pacer = make_pacer(light=0.1, heavy=8.0)
    for number in range(4):
        plan(pacer, make_listing(30, 'light', 'heavy'), 0.4 * number)
    with case.assertLogs(pacing_log.LOG, logging.INFO) as caught:
        plan(pacer, make_listing(30, 'light', 'heavy'), 9.0)
    (record,) = caught.records
    case.assertEqual((record.throttled, record.least), (2, 2))


def test_tail_that_is_reported_at_its_target_counts_as_missed(case):
    """A tail of 20.9 ms is reported as 20 ms and misses a target of 20 ms."""
    pacer = make_pacer(light=0.1, heavy=8.0)
    paces = {}
    for number in range(6):
        listing = make_listing(20, 'light', 'heavy', used=120)
        paces |= plan(pacer, listing, 0.4 * number)
    case.assertEqual(paces, {'light.0': 0, 'heavy.0': 0})


def test_suspended_work_resumes_once_the_target_is_met(case):
    pacer = make_pacer(light=0.1)
    for number in range(5):
        plan(pacer, make_listing(30, 'light'), 0.4 * number)
    changes = plan(pacer, make_listing(10, 'light'), 2.0)
    case.assertGreaterEqual(changes['light.0'], pacing.LEAST)


def test_share_that_a_former_side_process_may_have_set_is_unknown(case):
    pacer = pacing.Pacer()
    pacer.record_held(messages.HeldTask('light.0', 1))
    case.assertEqual(pacer.get_share(('light.0', 1)), 0)
    case.assertEqual(pacer.get_share(('light.1', 1)), pacing.FULL)


def simulate_alone(press, real_press, tail_ms, count, swing=0.0):
    """Run filling tasks beside a server for 60 s; nothing starts or ends.

    The estimate is learnt from the pacer's observations, as an owner does.

    :param press: the estimate that the pacer begins with
    :param real_press: the real interference
    :param tail_ms: the server's tail latency without filling tasks
    :param count: the number of filling tasks
    :param swing: amplitude of the logarithm of that tail latency, which has a
        period of four seconds
    :returns: the mean share of the filling tasks at the end, in percent, and
        the learnt press
    """
    pacer = make_pacer(**{f'f{number}': press for number in range(count)})
    owner = tail_interference.TailInterferenceModel()
    owner.add_unknown([messages.Press('desk', 'f0', press, 0.5)])
    for number in range(count):
        start = messages.StartTask(
            task=f'f{number}.0', program='f0', fill_milli=1800
        )
        pacer.record_start(start)
    shares = {f'f{number}.0': 100 for number in range(count)}
    images = [f'f{number}' for number in range(count)]
    for step in range(150):
        used = sum(shares.values()) / 100 * 1800
        load = swing * math.sin(math.pi / 2 * 0.4 * step)
        tail = tail_ms * math.exp(load + real_press * used / 16000)
        listing = make_listing(int(tail), *images)
        for attempt in listing.attempts[1:]:
            attempt.used_cpu_milli = 18 * shares[attempt.task]
        shares |= plan(pacer, listing, 0.4 * step)
        for observed in pacer.record_presses_observed():
            owner.add_observation(observed)
        pacer.presses.replace_estimates(owner.list_all())
    return sum(shares.values()) / count, owner.get_press('desk', 'f0')


def test_low_estimate_is_corrected_while_nothing_starts_or_ends(case):
    _, press = simulate_alone(0.0, 8.0, 10, 8)
    case.assertGreater(press, 4.0)


def test_estimates_come_near_the_real_interference(case):
    """Shares follow the estimates and the tails, so both bias what is learnt.

    Where an estimate is far too high, shares stay too small to show it. Where
    the server's own load swings, shares shrink while its tail still grows,
    which looks as if filling tasks reduced it.
    """
    share, high = simulate_alone(40.0, 0.0, 16, 8)
    _, low = simulate_alone(8.0, 8.0, 10, 8, swing=0.5)
    text = f'share {share:.0f}, learnt {high:.1f} for 0 and {low:.1f} for 8'
    case.assertEqual((share > 50, low > 4.0), (True, True), text)
