"""Starts hosts of the system with the command of the deploy file, on loopback addresses."""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"

# Bounds of the small deployments.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_extension_ms": 5000, "strict_revocation": True,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 52,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 17000, "cold_overage": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "fencing_enforced": True, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
    "load_overage": 1.1, "version_ms": 5000}


def configuration(version, routes, services):
    """A configuration with one tenant, whose quota the tests do not reach."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 110161, "burst": 110161}]}


def route(name, prefix, kind, service, timeout_ms, max_attempts):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": max_attempts, "public": False}


def service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 96, "protocol": "h1",
            "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}


def stream_route(name, prefix, service_name, timeout_ms, max_attempts):
    return {**route(name, prefix, "streaming", service_name, timeout_ms, max_attempts),
            "target_latency_ms": 600, "gap_target_ms": 250, "sticky": True, "resumable": False}


def engine_service(name, model):
    return {**service(name), "max_connections": 360, "cold_start_s": 3.0, "cold_per_s": 20.0,
            "engine": {"slots": 64, "kv_capacity": 145001, "token_kv_bytes": 163840,
                       "link_mbps": 1100000.0, "weights_mb": 45400.0, "adapter_slots": 28,
                       "loads_per_s": 3.7,
                       "models": [{"name": model, "weights_mb": 42700.0, "load_s": 1.7,
                                   "adapters": 3000, "adapter_mb": 66.0}]}}


def free_ports(count, addresses=("127.0.0.1",)):
    """Returns the first of a row of ports that are free on loopback addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = probe.getsockname()[1]
        if first + count >= 65535:
            continue
        try:
            for address in addresses:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((address, port))
            return first
        except OSError:
            continue


class Host:
    """One process of the system."""

    started = []  # all processes that were started and not stopped

    def __init__(self, name, zone, store_port, folder, ip="127.0.0.1", first=None, bounds=None):
        """The hosts of one deployment have different addresses and the same ports."""
        self.name, self.zone, self.ip, self.folder = name, zone, ip, folder
        first = first or free_ports(8)
        self.frontend, self.ready_port = first, first + 1
        settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "north-sea",
            "zones": {"nsa": "north-sea", "nsb": "north-sea", "nsc": "north-sea"},
            "listen_addresses": {"frontend": "%s:%d" % (ip, first), "ready": "%s:%d" % (ip, first + 1),
                                 "control_plane": "%s:%d" % (ip, first + 2)},
            "internal_port_range": [first + 3, first + 7], "seed_nodes": [], "bootstrap": True,
            "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine", "tenants", "quota", "places", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": "127.0.0.1:%d" % store_port, "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
                         "partition_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "partition_mb": 200,
                         "ttl_min_ms": 1000}}
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split(" ")
        command[0] = os.path.join(ROOT, command[0])
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "LABURNUMWEIR_NODE_FILE": self.settings})
        self.started.append(self.process)

    def is_ready(self):
        try:
            with urllib.request.urlopen("http://%s:%d/api/readyz" % (self.ip, self.ready_port),
                                        timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def memory_mb(self, field):
        """Returns VmRSS or VmHWM (its peak) of the process, MB; 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def stop(self):
        """Ends the process. Returns its exit status before that; None if it ran."""
        status = self.process.poll()
        if status is None:
            self.process.kill()
            self.process.wait()
        if self.process in self.started:
            self.started.remove(self.process)
        self.log.close()
        return status


class Record:
    """The file record.txt of a case, beside its script."""

    def __init__(self, script):
        self.file = open(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, " ".join(map(str, words))))
        self.file.flush()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="laburnumweir-review-")


async def await_ready(hosts, record):
    """Waits until all hosts report that they are ready. Returns whether they do within 20 s."""
    for _ in range(200):
        if all([await asyncio.to_thread(host.is_ready) for host in hosts]):
            return True
        await asyncio.sleep(0.1)
    record("the hosts did not become ready")
    return False


def end_on_signal(_number, _frame):
    """Ends all started processes and this one; the case could not run to its end."""
    for process in Host.started:
        process.kill()
    os._exit(2)


def run_case(main):
    """Runs a case and ends the process with its result, without waiting for open connections."""
    signal.signal(signal.SIGTERM, end_on_signal)
    signal.signal(signal.SIGINT, end_on_signal)
    loop = asyncio.new_event_loop()
    try:
        status = loop.run_until_complete(main())
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
