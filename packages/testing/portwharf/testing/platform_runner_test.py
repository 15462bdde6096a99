# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The fake runner lists runs as the platform's runners do."""

from portwharf.testing import platform_runner

MAX_LISTED = platform_runner.MAX_LISTED_ENDS


def test_one_answer_lists_only_the_first_ended_runs(case):
    fake = platform_runner.FakePlatformRunner()
    for number in range(MAX_LISTED + 20):
        task = f'00000000000000aa.0.0.{number}'
        fake.running[task] = 1
        fake.end_run(task)

    def list_numbers(acked):
        with fake._lock:
            _, value = fake._hold({'ackedUpto': acked})
        return [row[0] for row in value['ended']]

    case.assertEqual(list_numbers(0), list(range(1, MAX_LISTED + 1)))
    case.assertEqual(
        list_numbers(MAX_LISTED), list(range(MAX_LISTED + 1, MAX_LISTED + 21))
    )
