# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sides get an update of pairs after changes, at a limited rate."""

from portwharf.peers import messages
from portwharf.scheduler import interference_updates

PRESS = messages.Press('desk', 'plan', 8.0, 0.5)


def test_no_update_without_changes(case):
    case.assertIsNone(
        interference_updates.InterferenceTracker().take_due_update(1.0)
    )


def test_change_is_sent_once(case):
    made = interference_updates.InterferenceTracker()
    made.adopt([PRESS])
    case.assertEqual(made.take_due_update(1.0), messages.PressUpdate([PRESS]))
    case.assertIsNone(made.take_due_update(9.0))


def test_change_waits_for_the_next_interval(case):
    made = interference_updates.InterferenceTracker()
    made.adopt([PRESS])
    made.take_due_update(1.0)
    made.adopt([messages.Press('desk', 'other', 1.0, 0.5)])
    case.assertIsNone(
        made.take_due_update(
            1.0 + interference_updates.UPDATE_INTERVAL_SECONDS / 2
        )
    )
    case.assertIsNotNone(
        made.take_due_update(
            1.0 + interference_updates.UPDATE_INTERVAL_SECONDS
        )
    )
