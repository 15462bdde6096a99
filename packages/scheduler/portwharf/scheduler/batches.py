# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What comes into a pass of an owner, and what goes out of it.

Items wait in the owner's inbox for its deciding thread; a batch holds the
events of one pass and what may be done before and after they are logged.
"""

import dataclasses
import enum


@dataclasses.dataclass(slots=True)
class Reported:
    """A side's reports, waiting to be judged.

    :param connection: the number of the link's connection that they came on
    """

    link: object = None
    message: object = None
    connection: int = 0


@dataclasses.dataclass(slots=True)
class Measured:
    """What a side measured of its services, waiting to be learnt from."""

    vm: str = ''
    measures: list = None


@dataclasses.dataclass(slots=True)
class Called:
    """An operator's changing call, waiting to be carried out."""

    fut: object = None
    method: str = ''
    arguments: object = None


class Batch:
    """Events of one pass and what is done once they are logged."""

    def __init__(self):
        self.events = []
        self.early = []
        self.effects = []

    def send_early(self, link, message):
        """Send a message that earlier entries of the log allow already."""
        if link is not None:
            self.early.append(lambda: link.send(message))

    def send(self, link, message):
        """Send a message after the events are logged."""
        if link is not None:
            self.effects.append(lambda: link.send(message))

    def answer(self, fut, value):
        """Answer an operator after the events are logged."""
        self.effects.append(lambda: fut.set_result(value))


class Step(enum.Enum):
    """What became of one step of the deciding thread."""

    DONE = 1
    # The store has not confirmed the append; the next step tries again.
    STALLED = 2
    DEPOSED = 3
