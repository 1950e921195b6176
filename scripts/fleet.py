"""Starts hosts and stand-ins as processes on loopback, for the demonstration, tests and measurements.

The processes are ended by process identifier when the Fleet is closed, also after an error.
"""

import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "operators-token-for-tests"


# Below the range from which the system takes ports for outgoing connections: a port from that range
# can be taken between this check and the start of the process that is to listen there.
PORTS = range(10000, 30000)
_next_port = [PORTS.start + (os.getpid() * 97) % len(PORTS)]


def free_ports(count):
    """Returns TCP ports of loopback that are free; no port is given out twice by one process."""
    ports = []
    while len(ports) < count:
        port = _next_port[0]
        _next_port[0] = port + 1 if port + 1 in PORTS else PORTS.start
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
    return ports


class Answer:
    """An HTTP answer; is_whole tells whether the server ended it properly."""

    def __init__(self, status, headers, body, is_whole=True):
        self.status = status
        self.is_whole = is_whole
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout=15):
    """Sends one HTTP request to loopback; raises OSError if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        all_headers = {"Content-Type": "application/json"} if data is not None else {}
        all_headers.update(headers or {})
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        try:
            return Answer(response.status, response.getheaders(), response.read())
        except http.client.IncompleteRead as error:
            return Answer(response.status, response.getheaders(), error.partial, False)
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Host:
    """A host process."""

    def __init__(self, name, data_centre, ports, config):
        self.name = name
        self.data_centre = data_centre
        self.callers, self.operators, self.peers = ports
        self.config = config
        self.process = None

    def complete(self, key, model, prompt="hello", **options):
        """Sends a completion; options: max_tokens, stream, headers, timeout."""
        headers = {"Authorization": "Bearer " + key} if key else {}
        headers.update(options.get("headers", {}))
        body = {"model": model, "prompt": prompt, "max_tokens": options.get("max_tokens", 8)}
        if options.get("stream"):
            body["stream"] = True
        return request(
            self.callers, "POST", "/v1/completions", body, headers, options.get("timeout", 15)
        )

    def operate(self, method, path, body=None):
        return request(
            self.operators, method, path, body, {"Authorization": "Bearer " + TOKEN}
        )

    def is_ready(self):
        try:
            return request(self.operators, "GET", "/readyz", timeout=2).status == 200
        except OSError:
            return False


class Fleet:
    """Hosts, stand-ins and their rules."""

    def __init__(self, build=None, keep=False):
        self.build = pathlib.Path(build or os.environ.get("LABURNUMWEIR_BUILD", ROOT / "build"))
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="laburnumweir-"))
        self.keep = keep
        self.binary = str(self.build / "laburnumweir")
        self.hosts = []
        self.processes = []
        self.ports = {}
        self.platform = None
        self.keys = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                # A stopped process handles no other signal.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if not self.keep:
            shutil.rmtree(self.directory, ignore_errors=True)

    def _spawn(self, arguments, name):
        log = open(self.directory / (name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append(process)
        return process

    def log_text(self, name):
        return (self.directory / (name + ".log")).read_text(errors="replace")

    def start_standins(self, items, name="platform"):
        """Starts stand-ins in one process. items: list of {kind, name, settings}."""
        ports = free_ports(len(items))
        entries = []
        for item, port in zip(items, ports):
            self.ports[item["name"]] = port
            entries.append({**item, "address": "127.0.0.1", "port": port})
        path = self.directory / (name + ".json")
        path.write_text(json.dumps({"standins": entries}))
        process = self._spawn(
            [str(self.build / "laburnumweir-standin"), "--config", str(path)], name
        )
        for port in ports:
            wait_until(
                lambda p=port: can_connect(p) or process.poll() is not None, 10, "stand-in " + name
            )
        assert process.poll() is None, self.log_text(name)
        return process

    def start_platform(self, log=None, weights=None, hosts=None):
        self.platform = self.start_standins(
            [
                {"kind": "log", "name": "log", "settings": log or {}},
                {"kind": "weights", "name": "weights", "settings": weights or {}},
                {"kind": "hostlist", "name": "hosts", "settings": hosts or {}},
            ]
        )

    def faults(self, name, faults):
        """Sets the faults of a stand-in; an empty list ends them."""
        answer = request(self.ports[name], "PUT", "/control/faults", {"faults": faults})
        assert answer.status == 200, answer.body

    def stats(self, name):
        return request(self.ports[name], "GET", "/control/stats").json()

    def add_host(self, name, data_centre="dc-a", settings=None):
        ports = free_ports(3)
        names = ["callers", "operators", "peers"]
        content = {
            "host": {"id": name, "data_centre": data_centre},
            "listen": {n: "127.0.0.1:%d" % p for n, p in zip(names, ports)},
            "platform": {n: "127.0.0.1:%d" % self.ports[n] for n in ["log", "weights", "hosts"]},
            "operators": {"token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest()},
        }
        for section, values in (settings or {}).items():
            content.setdefault(section, {}).update(values)
        path = self.directory / (name + ".json")
        path.write_text(json.dumps(content))
        host = Host(name, data_centre, ports, path)
        self.hosts.append(host)
        self.start_host(host)
        return host

    def start_host(self, host):
        host.process = self._spawn([self.binary, "serve", "--config", str(host.config)], host.name)

    def await_ready(self, limit=20):
        for host in self.hosts:
            wait_until(
                lambda h=host: h.is_ready() or h.process.poll() is not None,
                limit,
                "host " + host.name + " ready",
            )
            assert host.process.poll() is None, self.log_text(host.name)

    def command(self, host, *arguments, check=None):
        """Runs a subcommand against a host. Returns the completed process."""
        result = subprocess.run(
            [self.binary, *arguments, "--operator", "127.0.0.1:%d" % host.operators],
            env={**os.environ, "LABURNUMWEIR_TOKEN": TOKEN},
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check is not None:
            assert result.returncode == check, result.stdout + result.stderr
        return result

    def apply(self, rules, host=None, check=0):
        path = self.directory / "rules.txt"
        path.write_text("\n".join(rules) + "\n")
        return self.command(host or self.hosts[0], "rules", "apply", str(path), check=check)

    def new_key(self, workspace):
        """Makes a key. Returns the key and its rule line."""
        result = subprocess.run(
            [self.binary, "key", "new", workspace, "--who", "test"],
            capture_output=True,
            text=True,
            check=True,
        )
        lines = dict(line.split(":", 1) for line in result.stdout.splitlines())
        return lines["key"].strip(), lines["rule"].strip()


def can_connect(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False


def wait_until(condition, limit, what):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("not within %s s: %s" % (limit, what))
        time.sleep(0.02)
