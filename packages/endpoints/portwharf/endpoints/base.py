# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side process needs of the endpoint (runner) on its VM."""

import abc
import dataclasses


@dataclasses.dataclass(slots=True)
class RunnerAnswer:
    """What a runner gave.

    :param ran: the runner may have begun the request; False is proof that
        it has not
    :param whole: ``payload`` is the whole answer
    :param reason: why there is no whole answer, or ''
    """

    ran: bool = True
    whole: bool = False
    failed: bool = False
    reason: str = ''
    payload: bytes = b''


class Runner(abc.ABC):
    """The runner of one VM."""

    @abc.abstractmethod
    def run(self, request, service, payload, timeout):
        """Run one request, once.

        :param timeout: seconds until nobody waits for the answer
        :returns: a :class:`RunnerAnswer`
        """
