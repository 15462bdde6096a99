# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sides are told of pairs when there is news, and not more often."""

from portwharf.peers import messages
from portwharf.scheduler import pairing

PRESS = messages.Press('desk', 'plan', 8.0, 0.5)


def test_nothing_is_told_without_news(case):
    case.assertIsNone(pairing.Pairing().take_news(1.0))


def test_news_is_told_once(case):
    made = pairing.Pairing()
    made.adopt([PRESS])
    case.assertEqual(made.take_news(1.0), messages.PressUpdate([PRESS]))
    case.assertIsNone(made.take_news(9.0))


def test_news_waits_for_the_next_time(case):
    made = pairing.Pairing()
    made.adopt([PRESS])
    made.take_news(1.0)
    made.adopt([messages.Press('desk', 'other', 1.0, 0.5)])
    case.assertIsNone(
        made.take_news(1.0 + pairing.UPDATE_INTERVAL_SECONDS / 2)
    )
    case.assertIsNotNone(made.take_news(1.0 + pairing.UPDATE_INTERVAL_SECONDS))
