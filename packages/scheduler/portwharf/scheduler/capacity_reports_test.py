# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
from portwharf.scheduler import capacity_reports
from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import shortage_shares
from portwharf.scheduler import operations

BLUE = shard_load.CapacityClass('blue', True)
RED = shard_load.CapacityClass('red', False)


def test_classes_are_reported_while_short_and_while_jobs_return(case):
    """Guards against a shortage that an operator cannot see."""
    loads = [shard_load.ClassLoad(BLUE, 7000.0, True, 3e6)]
    owed = [shortage_shares.OwedGroup('plans', 'zone', 'zone-1')]
    queues = [configuration.Queue('plans', pool='blue')]
    reports = capacity_reports.make_reports(
        loads, {BLUE: 2, RED: 1}, {RED: 1}, owed, queues
    )
    expected = [
        operations.CapacityReport(
            'blue', True, 7000, 3, True, 2, 0, ['plans zone zone-1']
        ),
        operations.CapacityReport('red', refused=1, returning=1),
    ]
    case.assertEqual(reports, expected)
