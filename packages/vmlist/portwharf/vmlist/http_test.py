# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The VM list adapter against the stand-in."""

from portwharf.testing import fixtures
from portwharf.testing import vms
from portwharf import vmlist


def test_list_comes_whole_and_outage_is_told(case):
    known = [fixtures.make_vm(1), fixtures.make_vm(2, state='leaving')]
    standin = vms.VmListStandIn(known)
    port = fixtures.serve(case, standin)
    client = case.enterContext(vmlist.HttpVmList('127.0.0.1', port))
    case.assertEqual(client.read().ok_value, known)
    standin.down = True
    case.assertTrue(client.read().is_err())


def test_what_is_no_list_is_told(case):
    def nonsense(environ, start_response):
        start_response('200 OK', [('Content-Length', '5')])
        return [b'[1,2]']

    port = fixtures.serve(case, nonsense)
    client = case.enterContext(vmlist.HttpVmList('127.0.0.1', port))
    case.assertTrue(client.read().is_err())
