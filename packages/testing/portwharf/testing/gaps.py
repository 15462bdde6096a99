# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads programs' logs and tells how long nothing was decided.

    python -m portwharf.testing.gaps LOG [LONGEST]

Lines are ``SECONDS PROCESS {...}``, as the users' bench prints them for
``run SITE deploy/days/DAY.toml --log side``. Printed is each pause between
two placements that is longer than usual, with what owners did in it. A pause
also comes about where nothing waits, so that the causes are to be read.
"""

import dataclasses
import json
import re
import sys

# Shorter pauses between placements are usual on a site of 11 workers.
USUAL_SECONDS = 0.8
_LINE = re.compile(r'\s*(-?[0-9.]+)\s+(\S+)\s+(\{.*)')
_EVENTS = ('owner begins', 'owner ends', 'resigned', 'append stalled')


@dataclasses.dataclass(slots=True)
class Line:
    """One line of a log."""

    at: float = 0.0
    process: str = ''
    message: str = ''


@dataclasses.dataclass(slots=True)
class Gap:
    """A pause, and what owners did from just before it to its end."""

    began: float = 0.0
    ended: float = 0.0
    events: list = dataclasses.field(default_factory=list)


def read_lines(source):
    """Return the :class:`Line` values of a log; others are passed over."""
    found = []
    for text in source:
        match = _LINE.match(text)
        if match is None:
            continue
        try:
            message = json.loads(match.group(3)).get('message', '')
        except ValueError:
            # A line that was cut off when its process was killed.
            continue
        found.append(Line(float(match.group(1)), match.group(2), message))
    return sorted(found, key=lambda line: line.at)


def find_gaps(lines, longest=USUAL_SECONDS):
    """Return the pauses between placements that are longer than usual."""
    placed = [line.at for line in lines if line.message == 'placed']
    gaps = []
    for began, ended in zip(placed, placed[1:], strict=False):
        if ended - began <= longest:
            continue
        events = [
            line
            for line in lines
            if began - 1 <= line.at <= ended
            and line.message.startswith(_EVENTS)
        ]
        gaps.append(Gap(began, ended, events))
    return gaps


def main():
    """Print the gaps of the log that the first argument names."""
    longest = float(sys.argv[2]) if len(sys.argv) > 2 else USUAL_SECONDS
    with open(sys.argv[1]) as source:
        gaps = find_gaps(read_lines(source), longest)
    for gap in gaps:
        print(f'{gap.ended - gap.began:5.2f} s from {gap.began:.2f}')
        for line in gap.events:
            print(f'    {line.at:8.2f} {line.process} {line.message}')


if __name__ == '__main__':
    main()
