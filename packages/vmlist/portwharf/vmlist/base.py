# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Interface of the platform's list of VMs.

The list lags: it may contain VMs that have ended and lack VMs that have just
started. The only conclusion drawn from it is that a VM is gone if it has
been missing for long enough, and only where DESIGN.md allows that.
"""

import abc


class VmList(abc.ABC):
    """The platform's list of live and leaving VMs."""

    @abc.abstractmethod
    def read(self):
        """Read the whole list.

        :returns: Ok(list of data.Vm), or Err(text)
        """
