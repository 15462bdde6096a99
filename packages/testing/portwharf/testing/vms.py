# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fake of the platform's VM list service."""

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import web


class FakeVmListService:
    """The VM list service, as a WSGI application.

    :ivar vms: map of VM name to ``data.Vm``; ``/control`` adds or replaces
    :ivar down: whether the list is answered with 503
    """

    def __init__(self, vms=()):
        self.vms = {vm.name: vm for vm in vms}
        self.down = False

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/control':
            vm = codec.from_map(data.Vm, web.read_json(environ))
            self.vms[vm.name] = vm
            return web.send_json(start_response, 200, {})
        if path != '/vms' or self.down:
            return web.send_json(start_response, 503, {})
        rows = [codec.to_map(vm) for vm in list(self.vms.values())]
        return web.send_json(start_response, 200, {'vms': rows})
