# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tests that fail for a fault that is known and not mended yet.

``KNOWN-RED.txt`` at the root has a line for each: test, cause, issue. A run
passes over these and names them, and over nothing else; one that passes has
to go from the list.
"""

import dataclasses
import pathlib

# packages/testing/portwharf/testing/<module>
PATH = pathlib.Path(__file__).parents[4] / 'KNOWN-RED.txt'
# More than this is no landing any more.
MOST = 3


@dataclasses.dataclass(slots=True)
class KnownRed:
    """One line of the list."""

    test: str = ''
    cause: str = ''
    issue: str = ''


def read_list(path=PATH):
    """Return the :class:`KnownRed` of the list; no file, no lines.

    :raises ValueError: a line without three parts, or too many lines
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    found = [parse_line(line) for line in lines if line]
    if len(found) > MOST:
        raise ValueError(f'{path}: {len(found)} lines, {MOST} at most')
    return found


def parse_line(line):
    """Return the :class:`KnownRed` of a line."""
    test, _, rest = line.partition(',')
    cause, _, issue = rest.rpartition(',')
    if not (test.strip() and cause.strip() and issue.strip()):
        raise ValueError(f'not test, cause, issue: {line!r}')
    return KnownRed(test.strip(), cause.strip(), issue.strip())


def judge(listed, failed, ran):
    """Tell which failures are known, and which lines have to go.

    :param failed: names of the tests that failed, ``module.test``
    :param ran: names of the tests that ran
    :returns: lists of KnownRed: those that failed, those that passed
    """
    red = [one for one in listed if one.test in failed]
    stale = [
        one for one in listed if one.test in ran and one.test not in failed
    ]
    return red, stale
