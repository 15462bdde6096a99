# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Runners of the soak test."""

import json
from unittest import mock

from portwharf.testing import soak_runner

TASK = '00000000000000aa.0.0.0'


def test_crasher_does_not_succeed_because_its_crash_is_late(case):
    delay = '_CRASH_DELAY_SECONDS'
    case.enterContext(mock.patch.object(soak_runner, delay, 3600))
    runner = soak_runner.SoakRunner('runner', '', '', 1.0)
    body = {
        'task': TASK,
        'run': 1,
        'spec': json.dumps({'steps': [{'ms': 0, 'crashes': True}]}),
        'untilMs': runner.read_ms() + 60_000,
        'fence': 0,
    }
    with runner._lock:
        case.assertEqual(runner._start_run(body)[0], 200)
        (span,) = runner.record
        runner._end_if_done(span)
        case.assertEqual(runner.running, {TASK: 1})
