# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads the list of tests that are known to fail.

``KNOWN-RED.txt`` at the root has a line for each: test, cause, issue. A test
run prints these failures and does not fail for them. A listed test that
passes fails the run until its line is removed.
"""

import dataclasses
import pathlib

# The repository root, from packages/testing/portwharf/testing/<module>.
PATH = pathlib.Path(__file__).parents[4] / 'KNOWN-RED.txt'
# Keeps the list from growing; a longer one is an error.
MAX_ENTRIES = 14


@dataclasses.dataclass(slots=True)
class KnownFailure:
    """One line of the list.

    :param test: ``module.test``
    """

    test: str = ''
    cause: str = ''
    issue: str = ''


def read_list(path=PATH):
    """Return the list's entries; empty if there is no file.

    :returns: list of :class:`KnownFailure`
    :raises ValueError: a line without three parts, or too many lines
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [parse_line(line) for line in lines if line]
    if len(entries) > MAX_ENTRIES:
        raise ValueError(
            f'{path}: {len(entries)} entries, at most {MAX_ENTRIES} allowed'
        )
    return entries


def parse_line(line):
    """Return the :class:`KnownFailure` of a line.

    :raises ValueError: a part is missing
    """
    test, _, rest = line.partition(',')
    cause, _, issue = rest.rpartition(',')
    if not (test.strip() and cause.strip() and issue.strip()):
        raise ValueError(f'expected "test, cause, issue", found {line!r}')
    return KnownFailure(test.strip(), cause.strip(), issue.strip())


def match_failures(listed, failed, ran):
    """Split the listed tests that ran into failed and passed ones.

    :param listed: list of :class:`KnownFailure`
    :param failed: names of the tests that failed, ``module.test``
    :param ran: names of the tests that ran, ``module.test``
    :returns: two lists of :class:`KnownFailure`: failed, passed
    """
    still_failing = [entry for entry in listed if entry.test in failed]
    passing = [
        entry
        for entry in listed
        if entry.test in ran and entry.test not in failed
    ]
    return still_failing, passing
