# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds long gaps between placements in the logs of programs.

    python -m portwharf.testing.placement_gaps LOG [LONGEST]

Input lines are ``SECONDS PROCESS {...}``, as the users' bench prints them
for ``run SITE deploy/days/DAY.toml --log side``. The output lists each gap
between two placements of more than LONGEST seconds, with the ownership
events in it. A gap may also mean that no task was waiting.
"""

import dataclasses
import json
import re
import sys

# Longest gap between placements that is usual on a site of 11 workers.
USUAL_GAP_SECONDS = 0.8
_LINE_PATTERN = re.compile(r'\s*(-?[0-9.]+)\s+(\S+)\s+(\{.*)')
_OWNERSHIP_EVENTS = (
    'owner begins',
    'owner ends',
    'resigned',
    'append stalled',
)


@dataclasses.dataclass(slots=True)
class Line:
    """One line of a log.

    :param at: its time, in seconds
    """

    at: float = 0.0
    process: str = ''
    message: str = ''


@dataclasses.dataclass(slots=True)
class Gap:
    """A gap between placements, with the ownership events around it."""

    began: float = 0.0
    ended: float = 0.0
    events: list = dataclasses.field(default_factory=list)


def read_lines(source):
    """Return the log's :class:`Line` values by time; skip other lines."""
    lines = []
    for text in source:
        match = _LINE_PATTERN.match(text)
        if match is None:
            continue
        try:
            message = json.loads(match.group(3)).get('message', '')
        except ValueError:
            # The line was cut off when its process was killed.
            continue
        lines.append(Line(float(match.group(1)), match.group(2), message))
    return sorted(lines, key=lambda line: line.at)


def find_gaps(lines, longest_seconds=USUAL_GAP_SECONDS):
    """Return a :class:`Gap` for each gap between placements that is too long.

    :param longest_seconds: gaps up to this long are skipped
    """
    placed_at = [line.at for line in lines if line.message == 'placed']
    gaps = []
    for began, ended in zip(placed_at, placed_at[1:], strict=False):
        if ended - began <= longest_seconds:
            continue
        events = [
            line
            for line in lines
            if began - 1 <= line.at <= ended
            and line.message.startswith(_OWNERSHIP_EVENTS)
        ]
        gaps.append(Gap(began, ended, events))
    return gaps


def main():
    """Print the gaps of the log that the first argument names."""
    longest_seconds = (
        float(sys.argv[2]) if len(sys.argv) > 2 else USUAL_GAP_SECONDS
    )
    with open(sys.argv[1]) as source:
        gaps = find_gaps(read_lines(source), longest_seconds)
    for gap in gaps:
        print(f'{gap.ended - gap.began:5.2f} s from {gap.began:.2f}')
        for line in gap.events:
            print(f'    {line.at:8.2f} {line.process} {line.message}')


if __name__ == '__main__':
    main()
