# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Discovery of VMs: by the platform's VM list or by a registry."""

from portwharf.vmlist.base import VmList
from portwharf.vmlist.http import HttpVmList
from portwharf.vmlist.registry import PREFIX
from portwharf.vmlist.registry import Registration
from portwharf.vmlist.registry import Registry

__all__ = ('PREFIX', 'HttpVmList', 'Registration', 'Registry', 'VmList')
