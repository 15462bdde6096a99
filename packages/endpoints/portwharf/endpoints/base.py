# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Interface of the endpoint (runner) on a VM, used by the side process."""

import abc
import dataclasses


@dataclasses.dataclass(slots=True)
class RunnerAnswer:
    """The outcome of a request to a runner.

    :param ran: whether the runner may have started the request; False
        guarantees that it has not
    :param whole: whether ``payload`` is a complete answer
    :param failed: whether the request ran and failed
    :param reason: why there is no complete successful answer, or ''
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
        """Send one request, without retries.

        :param request: the id of the request
        :param service: the service, as "team/name"
        :param payload: the body, in bytes
        :param timeout: in seconds
        :returns: a :class:`RunnerAnswer`
        """
