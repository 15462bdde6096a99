# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What portwharf needs of the platform's list of VMs.

The list lags: a VM may be on it after its end, and a new one may not be on
it yet. It is trusted for one thing only, that a VM which it has not named
for long enough is gone, and that only where DESIGN.md says so.
"""

import abc


class VmList(abc.ABC):
    """The platform's list of live and leaving VMs."""

    @abc.abstractmethod
    def read(self):
        """Read the whole list.

        :returns: Ok(list of data.Vm), or Err(text)
        """
