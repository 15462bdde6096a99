"""A small deployment: the project's programs beside stand-ins.

The programs are started with the commands of the deploy file, as separate
processes on loopback addresses. The store, the runners and the client are
stand-ins in the process of the script.
"""

import base64
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from standins_3 import runner
from standins_3 import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
SERVICE = 'desk'
PREFIXES = {'quick': '/quick/', 'plan': '/plan/', 'watch': '/watch/'}
PORTS = {'store': 8169, 'front': 8161, 'ready': 8167, 'control': 8166}
APP_PORT = 8165
INTERNAL = (7720, 7735)
# A case that takes longer could not run.
LONGEST_SECONDS = 116

SETTINGS = """\
node = "{node}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPorts = [{low}, {high}]
seeds = []
bootstrap = true
inFailureBudget = false
discovery = "local"
entry = "vip"
heartbeatMs = 1100
contracts = ["base", "drain", "config", "recover", "sched", "platform"]
orders = "invocation"
{app}
[zones]
zone-0 = "region"
zone-1 = "region"
zone-2 = "region"

[listen]
{listen}

[limits]
cpuShare = 0.645
cores = 1
memoryMb = {memory}
maxFds = 4096
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
recoveryS = 12
maxHoldMs = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
save_s = 2
restore_ms = 100
notice_ms = 4500
fencingRequired = true
leaseMs = 3000

[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRun(Exception):
    """The case could not run; it shows nothing."""


class Program:
    """One process of the project."""

    def __init__(self, name, role, ip, settings):
        self.name = name
        self.role = role
        self.ip = ip
        self.settings = settings
        self.handle = None
        self.log = None


class World:
    """The deployment, as a context manager that ends all it started."""

    def __init__(self, record_path, sides=8, fronts=2, labels=None):
        """Set the deployment up.

        :param labels: the labels of each side's runner, a list of lists
        """
        self._record_file = open(record_path, 'w')
        self._record_lock = threading.Lock()
        self._began = time.monotonic()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self._side_count = sides
        self._front_count = fronts
        self._labels = list(labels or [['a', 'r0-0']] * sides)
        self._sizes = {}
        self.programs = {}
        self.runners = {}
        self.store = None
        self._servers = []
        # Programs and runners of machines that leave.
        self._retired = []
        self._net = None

    # Set-up.

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        for program in self.programs.values():
            if program.handle is not None and program.handle.poll() is None:
                program.handle.send_signal(signal.SIGCONT)
                program.handle.kill()
                program.handle.wait()
            if program.log is not None:
                program.log.close()
        for program, one in self._retired:
            if program.handle.poll() is None:
                program.handle.kill()
                program.handle.wait()
            one.close()
        for one in self.runners.values():
            one.close()
        for one in self._servers:
            one.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record('all processes are ended')
        self._record_file.close()

    def _start_all(self):
        self._net = _find_network()
        self.store = store.Store()
        place = (self.ip(1), PORTS['store'])
        self._servers.append(store.serve(self.store, *place))
        self.configure()
        commands = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._commands = {
            name: role['run'].split()
            for name, role in commands['roles'].items()
        }
        for number in range(self._side_count):
            self._prepare_side(number)
        for number in range(self._front_count):
            self._prepare(f'front-{number}', 'entry', self.ip(100 + number))
        for program in self.programs.values():
            self.start(program.name)
        self._wait_until_ready()

    def ip(self, number):
        return f'127.{self._net[0]}.{self._net[1]}.{number}'

    def remove_side(self, name):
        """A side machine is gone for good, without a sign."""
        program = self.programs.pop(name)
        program.handle.kill()
        program.handle.wait()
        program.log.close()
        one = self.runners.pop(name)
        one.crash()
        one.close()
        self.record(f'{name} is removed for good')

    def retire_side(self, name, grace_seconds=6.0, runner_seconds=6.0):
        """A side machine leaves as planned: SIGTERM, and it never returns.

        Its runner goes on for a while without its side, then the machine is
        gone. Returns at once.
        """
        program = self.programs.pop(name)
        one = self.runners.pop(name)

        def leave():
            program.handle.send_signal(signal.SIGTERM)
            self.record(f'{name} gets SIGTERM')
            try:
                program.handle.wait(grace_seconds)
            except subprocess.TimeoutExpired:
                program.handle.kill()
                program.handle.wait()
            program.log.close()
            self.record(f'{name} has stopped, and does not come back')
            time.sleep(runner_seconds)
            one.crash()
            one.close()

        self._retired.append((program, one))
        threading.Thread(target=leave, daemon=True).start()

    def add_side(self):
        """An empty side machine comes at another address; returns its name."""
        number = self._side_count
        self._side_count += 1
        self._labels.append(self._labels[number % len(self._labels)])
        self._prepare_side(number)
        self.start(f'side-{number}')
        return f'side-{number}'

    def find_owner(self):
        """Return the name of the side that says it owns the shard, or ''.

        Only for choosing whom to strike: the judgement does not use it.
        """
        found = ('', 0.0)
        for name, program in self.programs.items():
            if program.role != 'side' or program.handle.poll() is not None:
                continue
            for row in self.read_log(name):
                if row.get('message') == 'took over shard':
                    epoch = row.get('epoch', 0)
                    if epoch >= found[1]:
                        found = (name, epoch)
        return found[0]

    def _prepare_side(self, number):
        ip = self.ip(10 + number)
        name = f'side-{number}'
        self._prepare(name, 'side', ip)
        self.runners[name] = runner.Runner(
            name,
            (ip, APP_PORT),
            (ip, PORTS['control']),
            SERVICE,
            self._labels[number],
            lambda task: self._sizes.get(task.rsplit('.', 1)[0], (100, 64)),
            self.record,
        )

    def _prepare(self, name, role, ip):
        is_side = role == 'side'
        listen = [f'control = "{ip}:{PORTS["control"]}"']
        if not is_side:
            listen = [
                f'front = "{ip}:{PORTS["front"]}"',
                f'ready = "{ip}:{PORTS["ready"]}"',
            ]
        text = SETTINGS.format(
            node=name,
            role=role,
            machine_class='side' if is_side else 'front',
            ip=ip,
            zone=f'zone-{len(self.programs) % 3}',
            low=INTERNAL[0],
            high=INTERNAL[1],
            app=f'app = "{ip}:{APP_PORT}"\nservice = "{SERVICE}"'
            if is_side
            else '',
            listen='\n'.join(listen),
            memory=168 if is_side else 300,
            store=f'{self.ip(1)}:{PORTS["store"]}',
        )
        path = self._folder / f'{name}.toml'
        path.write_text(text)
        self.programs[name] = Program(name, role, ip, path)

    def configure(self, version=1):
        """Write the configuration, as the operator does."""
        routes = [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': prefix,
                'kind': 'non_idempotent',
                'timeoutMs': 3000,
                'targetLatencyMs': 1000,
                'priority': 2 if name == 'plan' else 0,
                'service': SERVICE,
                'maxAttempts': 4,
                'stretch': 2.0,
            }
            for name, prefix in PREFIXES.items()
        ]
        value = {
            'version': version,
            'routes': routes,
            'services': [{'name': SERVICE, 'admissionCheck': True}],
            'limits': {'maxBodyBytes': 262144},
        }
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.put('op/config', text)

    def _wait_until_ready(self):
        end = time.monotonic() + 25
        fronts = [p for p in self.programs.values() if p.role == 'entry']
        while time.monotonic() < end:
            ready = [_is_ready(p.ip) for p in fronts]
            pending, _ = self.call('GET', 'quick', '')
            if all(ready) and pending == 200:
                # Let heartbeats and first grants arrive everywhere.
                time.sleep(4.0)
                self.record('the deployment is ready')
                return
            time.sleep(0.2)
        raise CannotRun('the deployment was not ready in time')

    # Processes.

    def start(self, name):
        program = self.programs[name]
        program.log = program.log or open(self._folder / f'{name}.log', 'ab')
        environ = {
            k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ
        }
        environ['PYTHONPATH'] = str(ROOT / 'target/deps')
        environ['PYTHONDONTWRITEBYTECODE'] = '1'
        environ['PORTWHARF_BOOT'] = str(program.settings)
        argv = list(self._commands[program.role])
        if argv[0] == 'python3':
            argv[0] = sys.executable
        program.handle = subprocess.Popen(
            argv,
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=program.log,
            stderr=program.log,
        )
        self.record(f'{name} is started')

    def kill(self, name):
        self.programs[name].handle.kill()
        self.programs[name].handle.wait()
        self.record(f'{name} is killed')

    def freeze(self, name, frozen):
        number = signal.SIGSTOP if frozen else signal.SIGCONT
        self.programs[name].handle.send_signal(number)
        self.record(f'{name} is {"stopped" if frozen else "continued"}')

    def find_ended(self):
        """Return the names of the processes that have ended by themselves."""
        return [
            p.name
            for p in self.programs.values()
            if p.handle is not None and p.handle.poll() is not None
        ]

    def read_log(self, name):
        """Return the log records of a process."""
        found = []
        for line in (self._folder / f'{name}.log').read_text().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({'message': line})
        return found

    # Clients.

    def submit(self, queue, job, steps, spec, tries=8, **fields):
        """Hand a job in as a client does; returns whether it was accepted."""
        for number, step in enumerate(steps):
            runs = fields.get('maxRuns', 1)
            for occurrence in range(runs):
                cpu = 0 if step.get('fills') else step.get('cpu', 0)
                self._sizes[f'{job}.{occurrence}.{number}'] = (
                    cpu,
                    step.get('memMb', 0),
                )
        body = {'spec': spec, 'steps': steps, **fields}
        for attempt in range(tries):
            status, value = self.call('POST', queue, job, body, front=attempt)
            self.record(f'POST {queue} {job}: {status}')
            if status // 100 == 2:
                return True
            time.sleep(0.3)
        return False

    def set_size(self, step, size):
        """Tell the runners the (cpu, memMb) that a step's tasks take."""
        self._sizes[step] = size

    def read_state(self, queue, job, tries=5):
        """Return a job's state, 'unknown' for a 410, '' for no answer."""
        for attempt in range(tries):
            status, value = self.call('GET', queue, job, front=attempt)
            if status == 200:
                return value.get('state', '')
            if status == 410:
                return 'unknown'
            time.sleep(0.2)
        return ''

    def call(self, method, queue, job, body=None, front=0, seconds=3.0):
        """Send one request of a client; returns (status, value)."""
        ip = self.ip(100 + front % self._front_count)
        conn = http.client.HTTPConnection(ip, PORTS['front'], timeout=seconds)
        headers = {
            'Host': HOST,
            'Content-Type': 'application/json',
            'Portwharf-Deadline-Ms': str(int(seconds * 1000)),
        }
        try:
            raw = json.dumps(body) if body is not None else None
            conn.request(method, PREFIXES[queue] + job, raw, headers)
            answer = conn.getresponse()
            data = answer.read()
            return answer.status, json.loads(data) if data else {}
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            conn.close()

    # Records.

    def find_run(self, task):
        """Return (side, run, seconds) of a task that runs, or None."""
        for name, one in self.runners.items():
            found = one.list_running().get(task) if one.up else None
            if found:
                return name, *found
        return None

    def read_time(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def record(self, text):
        with self._record_lock:
            if not self._record_file.closed:
                self._record_file.write(f'{self.read_time():8.3f} {text}\n')
                self._record_file.flush()


def wait_until(condition, seconds, poll=0.02):
    """Return the first true result of a condition, or its last one."""
    end = time.monotonic() + seconds
    while True:
        found = condition()
        if found or time.monotonic() > end:
            return found
        time.sleep(poll)


def _find_network():
    """Return the two middle bytes of loopback addresses that are free."""
    for number in range(os.getpid() % 200, os.getpid() % 200 + 200):
        net = (30 + number // 200, number % 200 + 20)
        try:
            for last, port in ((1, PORTS['store']), (10, APP_PORT)):
                with socket.socket() as probe:
                    probe.bind((f'127.{net[0]}.{net[1]}.{last}', port))
            return net
        except OSError:
            continue
    raise CannotRun('no free addresses')


def _is_ready(ip):
    conn = http.client.HTTPConnection(ip, PORTS['ready'], timeout=1.0)
    try:
        conn.request('GET', '/portwharf/readiness')
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


def _give_up(*_):
    raise CannotRun('it took too long, or was told to end')


def run_case(play, record_path, **world):
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    :param play: function of the World and whether there is a disruption; it
        returns '' or in what way the rule was broken
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, _give_up)
    signal.signal(signal.SIGALRM, _give_up)
    signal.alarm(LONGEST_SECONDS)
    code = 2
    try:
        with World(record_path, **world) as site:
            site.record(f'disruption: {"yes" if trouble else "no"}')
            broken = play(site, trouble)
            site.record(f'RULE BROKEN: {broken}' if broken else 'rule held')
            print(f'broken: {broken}' if broken else 'held')
            code = 1 if broken else 0
    except (CannotRun, OSError, KeyError, TypeError) as exc:
        print(f'cannot run: {exc}')
    sys.stdout.flush()
    os._exit(code)
