# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The client of the VM list against a fake server."""

from portwharf.testing import fixtures
from portwharf.testing import vms
from portwharf import vmlist


def test_all_vms_are_read_and_an_outage_is_an_error(case):
    listed = [fixtures.make_vm(1), fixtures.make_vm(2, state='leaving')]
    fake = vms.FakeVmListService(listed)
    port = fixtures.serve(case, fake)
    client = case.enterContext(vmlist.HttpVmList('127.0.0.1', port))
    case.assertEqual(client.read().ok_value, listed)
    fake.down = True
    case.assertTrue(client.read().is_err())


def test_answer_that_is_not_a_vm_list_is_an_error(case):
    def app(environ, start_response):
        start_response('200 OK', [('Content-Length', '5')])
        return [b'[1,2]']

    port = fixtures.serve(case, app)
    client = case.enterContext(vmlist.HttpVmList('127.0.0.1', port))
    case.assertTrue(client.read().is_err())
