"""A small deployment of the project's programs on loopback, with stand-ins.

Three front machines with a disk, each with an entry and a control process,
started with the commands of the deploy file. Each machine has a loopback
address of its own. The platform's list, the runners and the clients are small
stand-ins that follow the users' pages.
"""
import asyncio, json, os, random, signal, subprocess, sys, tempfile, time, uuid
REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()
def now(): return time.monotonic() - T0

class Record:
    def __init__(self, path): self.f = open(path, 'w')
    def __call__(self, *words):
        line = f'{now():8.3f} ' + ' '.join(str(w) for w in words)
        print(line, file=self.f, flush=True)

class Machine:
    """One front machine: settings, entry and (core) control process."""
    def __init__(self, cluster, n, zone, core=True):
        self.cluster, self.n, self.zone, self.core = cluster, n, zone, core
        self.ip = f'{cluster.net}.{n}'
        self.dir = os.path.join(cluster.tmp, f'm{n}'); os.makedirs(self.dir)
        self.procs = {}
        self.bootstrap = True
    def settings(self, role):
        c = self.cluster
        listen = {'front': f'{self.ip}:8221', 'ready': f'{self.ip}:8224', 'control': f'{self.ip}:8229'}
        return {
            'node_name': f'front-{self.zone}-{self.n}', 'role': role, 'machine_class': 'front',
            'serves': ['front', 'control'], 'ip': self.ip, 'zone': self.zone, 'region': c.zones[self.zone],
            'zones': c.zones, 'listen': listen, 'internal_ports': [7600, 7615],
            'seeds': c.seeds, 'bootstrap': self.bootstrap, 'in_fault_budget': self.core,
            'limits': {'cpu_share': 0.968, 'cores': 2, 'memory_mb': 300, 'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 64 if self.core else 0},
            'data_dir': os.path.join(self.dir, 'data') if role == 'control' else '',
            'discovery': 'cloud_api', 'entry': 'virtual_ip', 'heartbeat_ms': 1200,
            'contracts': ['base','drain','config','cost','retry','recover','fleet','stream','engine','tenants','quota'],
            'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': c.bounds, 'config_mode': 'highest',
            'cloud': {'address': c.cloud_address, 'rate_per_s': 47.0, 'duties': [], 'max_lag_ms': 800},
        }
    def start(self, role):
        path = os.path.join(self.dir, f'{role}.json')
        json.dump(self.settings(role), open(path, 'w'))
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env.update(KUMQUATRUN_BOOT=path, SSL_CERT_FILE='/dev/null', PYTHONPATH=os.path.join(REPO, 'target/deps'), PYTHONUNBUFFERED='1')
        log = open(os.path.join(self.cluster.logs, f'{role}-{self.n}.log'), 'a')
        self.procs[role] = subprocess.Popen(['python3', 'deploy/start.py', role], cwd=REPO, env=env, stdout=log, stderr=log, start_new_session=True)
    def kill(self, role, sig=signal.SIGKILL):
        self.procs[role].send_signal(sig)

BOUNDS = dict(seed_lag_s=3, reuse_after_s=2, contact_ms=3000, ack_ms=4000, catch_up_s=4, drain_ms=3000, grace_s=8, loss_slack_ms=200, config_apply_ms=2500, rollback_slack_ms=250, max_stretch_ms=5000, revoke_fail_closed=False, revoke_ms=5000, budget_ratio=0.2, budget_window_s=10, budget_extra=64, quota_window_s=8, quota_overage=0.1, quota_slack=11000, recovery_s=12, pass_ms=200, retry_after_s=0, fencing_enforced=True, lease_ms=3000, thaw_slack_ms=300, ceiling_window_s=5, origin_rate_overage=1.1, version_ms=5000)

class Cluster:
    def __init__(self, record, logs=None, extra=0):
        self.record = record
        self.tmp = tempfile.mkdtemp(prefix='kq-')
        self.logs = logs or self.tmp
        r = random.SystemRandom()
        self.net = f'127.{r.randint(10, 250)}.{r.randint(1, 250)}'
        self.zones = {'a': 'r1', 'b': 'r1', 'c': 'r2'}
        self.bounds = dict(BOUNDS)
        self.cloud_address = f'{self.net}.200:8225'
        self.seeds = [f'{self.net}.{n}:8229' for n in (1, 2, 3)]
        self.machines = [Machine(self, n, z) for n, z in ((1, 'a'), (2, 'b'), (3, 'c'))]
        for i in range(extra):
            self.machines.append(Machine(self, 4 + i, 'abc'[i % 3], core=False))
        self.runners = []
        self.servers = []
        self.list_filter = None
        self.list_calls = 0
    async def start(self):
        s = await asyncio.start_server(self._cloud, f'{self.net}.200', 8225); self.servers.append(s)
        for m in self.machines:
            if m.core: m.start('control')
            m.start('entry')
    async def _cloud(self, r, w):
        try:
            while True:
                head = await read_head(r)
                if head is None: break
                self.list_calls += 1
                rows = [x.listing() for x in self.runners if x.listed]
                body = json.dumps({'instances': rows, 'next_token': None}).encode()
                if self.list_filter: body = self.list_filter(rows)
                w.write(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % len(body) + body)
                await w.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError): pass
        finally: w.close()
    async def put(self, config, tries=60, machine=None):
        body = json.dumps(config).encode() if not isinstance(config, bytes) else config
        i = 0
        while tries:
            m = machine or self.machines[i % len(self.machines)]; i += 1; tries -= 1
            try:
                st, _, _ = await call(m.ip, 8229, 'POST', '/Config.Put', {'Host': 'x', 'Content-Type': 'application/json'}, body, 1.5)
                self.record('operator', 'put', m.ip, st)
                if st == 200: return True
            except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
                self.record('operator', 'put', m.ip, repr(e))
            await asyncio.sleep(0.3)
        return False
    async def ready(self, limit=20):
        end = now() + limit
        for m in self.machines:
            while True:
                try:
                    st, _, _ = await call(m.ip, 8224, 'GET', '/readyz', {'Host': 'x'}, b'', 1)
                    if st == 200: break
                except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError): pass
                if now() > end: return False
                await asyncio.sleep(0.1)
        return True
    def stop(self):
        for m in self.machines:
            for p in m.procs.values():
                if p.poll() is None:
                    try: p.send_signal(signal.SIGCONT)
                    except OSError: pass
                    p.kill()
        for m in self.machines:
            for p in m.procs.values(): p.wait()

async def read_head(r):
    try: raw = await r.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError): return None
    lines = raw.decode('latin-1').split('\r\n')
    hs = {}
    for l in lines[1:]:
        if l:
            k, _, v = l.partition(':'); hs[k.strip().lower()] = v.strip()
    return lines[0], hs, raw

async def read_body(r, hs, response=False):
    if hs.get('transfer-encoding', '').lower() == 'chunked':
        out = b''
        while True:
            n = int((await r.readline()).split(b';')[0], 16)
            d = await r.readexactly(n) if n else b''
            await r.readline()
            if not n: return out
            out += d
    if 'content-length' in hs: return await r.readexactly(int(hs['content-length']))
    return await r.read() if response else b''

async def call(ip, port, method, path, headers, body, timeout, source=None):
    """One request on a new channel; returns status, headers, body."""
    async with asyncio.timeout(timeout):
        r, w = await asyncio.open_connection(ip, port)
        try:
            h = dict(headers)
            if body or method != 'GET': h['Content-Length'] = str(len(body))
            w.write((f'{method} {path} HTTP/1.1\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in h.items()) + '\r\n').encode('latin-1') + body)
            head = await read_head(r)
            if head is None: raise EOFError('closed')
            return int(head[0].split()[1]), head[1], await read_body(r, head[1], True)
        finally:
            w.close()

class Runner:
    """A plain-service runner. ``behave(runner, request)`` returns (status, headers, body) or None to reset."""
    def __init__(self, cluster, n, service, zone, behave=None, work_s=0.02, rid=None, port=8185):
        self.cluster, self.n, self.service, self.zone = cluster, n, service, zone
        self.ip, self.port = f'{cluster.net}.{100 + n}', port
        self.id = rid or 'i-' + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.state, self.listed, self.slots = 'ready', True, 6
        self.behave, self.work_s = behave, work_s
        self.seen = []  # (t, attempt id, machine ip, what)
        self.server = None; self.writers = set()
    def listing(self):
        return {'service': self.service, 'address': f'{self.ip}:{self.port}', 'zone': self.zone, 'version': 'v1', 'slots': self.slots, 'state': self.state, 'cold_remaining_ms': 0, 'born': self.born, 'id': self.id}
    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.cluster.servers.append(self.server)
    def crash(self):
        self.server.close()
        for w in list(self.writers): w.transport.abort()
    async def _serve(self, r, w):
        self.writers.add(w)
        peer = w.get_extra_info('peername')
        try:
            while True:
                head = await read_head(r)
                if head is None: return
                line, hs, raw = head
                body = await read_body(r, hs)
                method, path, _ = line.split(' ')
                req = {'method': method, 'path': path, 'headers': hs, 'body': body, 'peer': peer, 'r': r, 'w': w}
                if path == '/health':
                    await reply(w, 200, {'X-Kumquatrun-Instance-Id': self.id}, b'')
                    continue
                rid = hs.get('x-kumquatrun-attempt-id', '')
                exp = hs.get('x-kumquatrun-expect-instance')
                if exp and exp != self.id:
                    self.cluster.record('runner', self.n, '421', rid)
                    await reply(w, 421, {'X-Kumquatrun-Attempt-Id': rid, 'X-Kumquatrun-Not-Executed': '1'}, b'')
                    continue
                if self.behave:
                    out = await self.behave(self, req)
                    if out == 'done': continue
                    if out is None: w.transport.abort(); return
                    if out != 'run':
                        await reply(w, *out); continue
                self.seen.append((now(), rid))
                self.cluster.record('runner', self.n, 'runs', rid, method, path)
                await asyncio.sleep(self.work_s)
                await reply(w, 200, {'X-Kumquatrun-Attempt-Id': rid, 'X-Kumquatrun-Response-Signature': 'sig-' + self.id + '-' + rid, 'X-Kumquatrun-Instance-Id': self.id}, b'ok ' + rid.encode())
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError): pass
        finally:
            self.writers.discard(w); w.close()

async def reply(w, status, headers, body):
    w.write((f'HTTP/1.1 {status} X\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in headers.items()) + f'Content-Length: {len(body)}\r\n\r\n').encode() + body)
    await w.drain()

HOST = 'ficu95.example'
def config(version, services=('desk',), **more):
    c = {'version': version,
        'routes': [
            {'name': 'r-book', 'host': HOST, 'path_prefix': '/book/', 'kind': 'non_idempotent', 'timeout_ms': 2000, 'target_latency_ms': 400, 'priority': 2, 'service': 'desk', 'max_attempts': 1, 'public': False, 'sticky': False, 'resumable': False},
            {'name': 'r-look', 'host': HOST, 'path_prefix': '/look/', 'kind': 'idempotent', 'timeout_ms': 2000, 'target_latency_ms': 400, 'priority': 2, 'service': 'desk', 'max_attempts': 2, 'public': False, 'sticky': False, 'resumable': False}],
        'services': [{'name': s, 'health_path': '/health', 'max_connections': 130, 'protocol': 'h1', 'tls': False} for s in services],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': 'ten1', 'api_keys': ['key-one'], 'priority': 1, 'unit': 'token_route', 'plain_tokens': 1, 'rate_per_s': 0, 'burst': 0}]}
    c.update(more); return c

def headers(rid, deadline=2000, **more):
    h = {'Host': HOST, 'X-Kumquatrun-Attempt-Id': rid, 'X-Kumquatrun-Deadline-Ms': str(deadline), 'Api-Key': 'key-one'}
    h.update(more); return h
