"""Stops an instance on time, also while the process with the callers is late.

usage: soak_stopper.py PID GRACE_S HOLD_S BEFORE_S

The instance is held (SIGSTOP) for HOLD_S, of which BEFORE_S before SIGTERM, and
killed if it is still there GRACE_S after that. As much time is added as it was
held for longer than told after SIGTERM. Prints JSON lines, times of the
monotonic clock: {"at"} of SIGTERM, and {"held": [] or [from, to], "exited",
"late": whether it was killed} at the end.
"""

import json
import os
import select
import signal
import sys
import time


class Instance:
    def __init__(self, pid):
        self.fd = os.pidfd_open(pid)

    def send(self, number):
        """Return the time just before."""
        at = time.monotonic()
        try:
            signal.pidfd_send_signal(self.fd, number)
        except ProcessLookupError:
            pass
        return at

    def has_ended(self, until=None):
        """Wait for its end, or until it is seen alive after `until`."""
        timeout_s = until and max(0, until - time.monotonic())
        return bool(select.select([self.fd], [], [], timeout_s)[0])


def stop(instance, grace_s, hold_s, before_s):
    held = []
    if hold_s:
        held.append(instance.send(signal.SIGSTOP))
        time.sleep(before_s)
    at = instance.send(signal.SIGTERM)
    until = at + grace_s
    print(json.dumps({"at": at}), flush=True)
    if hold_s:
        after_s = hold_s - before_s
        time.sleep(max(0, at + after_s - time.monotonic()))
        instance.send(signal.SIGCONT)
        held.append(time.monotonic())
        until += max(0, held[1] - at - after_s)
    late = not instance.has_ended(until)
    if late:
        instance.send(signal.SIGKILL)
        instance.has_ended()
    print(json.dumps({"held": held, "exited": time.monotonic(), "late": late}))


if __name__ == "__main__":
    stop(Instance(int(sys.argv[1])), *map(float, sys.argv[2:5]))
