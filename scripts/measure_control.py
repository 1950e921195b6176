"""Measures what a host spends on control: share of a core, resident memory and bytes a second.

Usage: python3 scripts/measure_control.py [--hosts 2,4,8,16,32] [--seconds 10] [--changes 0]
Prints a Markdown table. Bytes are those of the loopback interface with TCP/IP headers, all processes
together, divided by the hosts; a byte between two hosts is counted once.
"""

import argparse
import os
import threading
import time

from fleet import Fleet

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kilobytes(pid):
    for line in open("/proc/%d/status" % pid):
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def loopback_bytes():
    for line in open("/proc/net/dev"):
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def change_rules(fleet, changes, seconds):
    """Applies a change of the rules every 60/changes seconds."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        fleet.apply(["workspace w rate=%d burst=1000  # measurement" % (100 + number)], check=None)
        time.sleep(max(0, 60 / changes - 0.1))


def measure(count, seconds, changes):
    with Fleet() as fleet:
        fleet.start_platform(log={"appends_per_s": 2000, "append_burst": 200})
        for i in range(count):
            fleet.add_host("h%03d" % i, "dc-a", {"platform": {"log_retention_s": 604800}})
        fleet.await_ready(90)
        time.sleep(5)
        if changes:
            threading.Thread(target=change_rules, args=(fleet, changes, seconds)).start()
        pids = [host.process.pid for host in fleet.hosts]
        start, cpu, loopback = time.monotonic(), [cpu_seconds(p) for p in pids], loopback_bytes()
        time.sleep(seconds)
        elapsed = time.monotonic() - start
        used = [cpu_seconds(p) - before for p, before in zip(pids, cpu)]
        traffic = (loopback_bytes() - loopback) / elapsed / count
        memory = [resident_kilobytes(p) for p in pids]
        print(
            "| %d | %d | %.2f%% | %.2f%% | %.1f MB | %.2f KB/s |"
            % (count, changes, 100 * sum(used) / count / elapsed, 100 * max(used) / elapsed,
               max(memory) / 1024, traffic / 1000),
            flush=True,
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", default="2,4,8,16,32")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--changes", type=int, default=0, help="changes of the rules a minute")
    options = parser.parse_args()
    print("| hosts | changes/min | core, mean | core, most | resident, most | loopback bytes per host |")
    print("|---|---|---|---|---|---|")
    for count in [int(text) for text in options.hosts.split(",")]:
        measure(count, options.seconds, options.changes)


if __name__ == "__main__":
    main()
