# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sides get an update of pairs after changes, at a limited rate."""

from portwharf.peers import messages
from portwharf.scheduler import pairing

PRESS = messages.Press('desk', 'plan', 8.0, 0.5)


def test_no_update_without_changes(case):
    case.assertIsNone(pairing.Pairing().take_news(1.0))


def test_change_is_sent_once(case):
    made = pairing.Pairing()
    made.adopt([PRESS])
    case.assertEqual(made.take_news(1.0), messages.PressUpdate([PRESS]))
    case.assertIsNone(made.take_news(9.0))


def test_change_waits_for_the_next_interval(case):
    made = pairing.Pairing()
    made.adopt([PRESS])
    made.take_news(1.0)
    made.adopt([messages.Press('desk', 'other', 1.0, 0.5)])
    case.assertIsNone(
        made.take_news(1.0 + pairing.UPDATE_INTERVAL_SECONDS / 2)
    )
    case.assertIsNotNone(made.take_news(1.0 + pairing.UPDATE_INTERVAL_SECONDS))
