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


def test_well_known_pair_outlasts_a_first_observation_of_a_new_owner(case):
    """The first side that a new owner hears may know no pair.

    What it observes once is taken as known before the other sides tell what
    they know, and is then sent to them in its place.
    """
    made = interference_updates.InterferenceTracker()
    change = messages.FillChange('plan', 0.02)
    made.add_observations([messages.PressObserved('desk', 0.0, [change])])
    made.adopt([PRESS])
    (press,) = made.make_update().presses
    case.assertGreater(press.press, 6.0, f'deviation {press.deviation:.1f}')
