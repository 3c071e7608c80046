#!/usr/bin/env python3
"""Plays one shape of hostile traffic at every server of the system's processes and checks that each process lives, that its
memory and its descriptors stay under a bound, and that it answers an ordinary request afterwards.

Each server is tried in a process of its own: the whole system with stand-ins, a deployed entry or a deployed agent, on
loopback addresses. Nothing depends on the speed of the machine.

Usage: hostile_clients.py DIRECTORY_OF_PROGRAMS SHAPE
"""
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

# The crowd: what all connections of a shape send together to one server, and how many connections send it.
TOTAL_BYTES = 24_000_000
SENDERS = 3
HOLDERS = 150
LEFT_CONNECTIONS = 400
# Answers without end that the store gives.
ENDLESS_ANSWERS = 3
# The bounds. A process that keeps what it is sent grows by TOTAL_BYTES.
GROWTH_LIMIT_KB = 12_000
DESCRIPTOR_LIMIT = 256
# What the processes are told that they may use.
MEMORY_MB = 24
# Descriptors that may be open in addition to those of before, once the crowd has left.
DESCRIPTORS_LEFT = 32

# Longest wait for a state that must come; a test that needs it fails.
PATIENCE_SECONDS = 40
# Without progress for so long, a server reads no more.
STALL_SECONDS = 0.5

PAIR = os.getpid()
NETWORK = f"127.{1 + PAIR // 250 % 250}.{1 + PAIR % 250}"
LOCAL, ENTRY, AGENT = f"{NETWORK}.2", f"{NETWORK}.3", f"{NETWORK}.4"
STORE = (f"{NETWORK}.5", 7000)
METRICS_PORT = 9464

SITE = {
    "cell": "test", "platform": f"{LOCAL}:7000",
    "entries": [{"name": "entry-1", "domain": "a", "http": f"{LOCAL}:7101", "operators": f"{LOCAL}:7151", "rpc": f"{LOCAL}:7201"}],
    "workers": [{"name": "worker-1", "domain": "a", "rack": "r", "cores": 64, "memory_gb": 250, "accelerators": 0, "rpc": f"{LOCAL}:7301",
                 "endpoints": [{"name": "packs-1", "service": "packs", "team": "lankacell", "address": f"{LOCAL}:7401", "slots": 8, "connections": 64}]}],
    "teams": {"lankacell": {"services": {"packs": {"tier": "paying", "deadline_ms": 2000}},
                            "quota": {"cores": 8, "memory_gb": 8, "accelerators": 0}}},
}


def deployment(host, name):
    settings = {"name": name, "domain": "a", "domains": ["a"], "host": host, "internal_port": 7200, "seeds": [f"{ENTRY}:7100"],
                "store": f"{STORE[0]}:{STORE[1]}", "processors": 1, "bounds": {"shutdown_ms": 2000},
                "limits": {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTOR_LIMIT}}
    settings |= {"clients": f"{host}:7100", "readiness": f"{host}:7110"} if host == ENTRY else {"workers": f"{host}:7120"}
    return settings


# Each server: its process, its address, and the head of an ordinary request.
HTTP_SERVERS = {
    "callers": ("local", (LOCAL, 7101), "GET /services/packs/a"),
    "operators": ("local", (LOCAL, 7151), "GET /v1/health"),
    "clients": ("entry", (ENTRY, 7100), "GET /jobs/0000000000000001"),
    "readiness": ("entry", (ENTRY, 7110), "GET /ready"),
    "entry metrics": ("entry", (ENTRY, METRICS_PORT), "GET /metrics"),
    "heartbeats": ("agent", (AGENT, 7120), "DELETE /instances/w-1"),
    "agent metrics": ("agent", (AGENT, METRICS_PORT), "GET /metrics"),
}
RPC_SERVERS = {
    "entry RPC of the whole system": ("local", (LOCAL, 7201)),
    "agent RPC of the whole system": ("local", (LOCAL, 7301)),
    "entry RPC": ("entry", (ENTRY, 7200)),
}


class Process:
    def __init__(self, work, name, command):
        self.name = name
        self.output = open(os.path.join(work, name + ".log"), "w+b")
        lowered = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
        self.child = subprocess.Popen(command, stdout=self.output, stderr=subprocess.STDOUT, preexec_fn=lowered)

    def lives(self):
        return self.child.poll() is None

    def memory_kb(self, field):
        with open(f"/proc/{self.child.pid}/status") as status:
            return next((int(line.split()[1]) for line in status if line.startswith(field + ":")), 0)

    def reset_peak(self):
        with open(f"/proc/{self.child.pid}/clear_refs", "w") as references:
            references.write("5")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def stop(self):
        if self.lives():
            self.child.kill()
        self.child.wait()

    def last_lines(self):
        self.output.seek(0)
        return self.output.read()[-2000:].decode(errors="replace")


def wait_until(condition):
    """Repeats `condition` until it holds; returns whether it does."""
    end = time.monotonic() + PATIENCE_SECONDS
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return False


def wait_until_settled(process):
    """Waits until the process no longer grows: it has read what it was sent, as far as it will."""
    last = [None] * 5
    def is_settled():
        last.append(process.memory_kb("VmRSS"))
        return len(set(last[-6:])) == 1
    wait_until(is_settled)


def connect(address):
    """Returns a connection, or None if none is to be had."""
    try:
        connection = socket.create_connection(address, timeout=STALL_SECONDS)
        connection.settimeout(STALL_SECONDS)
        return connection
    except OSError:
        return None


def send(connection, data):
    """Sends until all is sent, or the server closes or reads no more. Returns whether all is sent."""
    try:
        connection.sendall(data)
        return True
    except OSError:
        return False


def send_repeatedly(connection, piece, total):
    block = piece * max(1, 65_536 // len(piece))
    for _ in range(total // len(block)):
        if not send(connection, block):
            return


def answer_to(address, request):
    """Sends an ordinary request on a connection of its own and returns the answer's status, or None."""
    connection = connect(address)
    if not connection:
        return None
    with connection:
        connection.settimeout(5)
        try:
            connection.sendall((request + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n").encode())
            head = connection.recv(64)
        except OSError:
            return None
    return int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else None


def repeated(head, piece, address, request):
    """SENDERS connections that each send `head` and then `piece` without end. Returns the connections."""
    def run(connection):
        if send(connection, head):
            send_repeatedly(connection, piece, TOTAL_BYTES // SENDERS)
    crowd = [connection for connection in (connect(address) for _ in range(SENDERS)) if connection]
    threads = [threading.Thread(target=run, args=(connection,)) for connection in crowd]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return crowd


def held(data, address, request, count=HOLDERS):
    """`count` connections that each send `data` and then nothing more, and stay open."""
    crowd = []
    for _ in range(count):
        connection = connect(address)
        if connection:
            send(connection, data)
            crowd.append(connection)
    return crowd


CHUNKED = b"POST /services/packs/a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_BODY = b"POST /services/packs/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4000000\r\n\r\n"
HEAD = b"POST /services/packs/a HTTP/1.1\r\nHost: h.example\r\n"


def endless_trailers(address, request):
    return repeated(CHUNKED + b"0\r\nX: ", b"a", address, request)


def endless_chunk_extension(address, request):
    return repeated(CHUNKED + b"5;x=", b"a", address, request)


def trailers_in_many_lines(address, request):
    return repeated(CHUNKED + b"0\r\n", b"a: b\r\n", address, request)


def chunk_size_of_zeros(address, request):
    return repeated(CHUNKED, b"0", address, request)


def one_byte_chunks(address, request):
    return repeated(CHUNKED, b"1\r\na\r\n", address, request)


def headers_of_many_lines(address, request):
    return repeated(HEAD, b"a: b\r\n", address, request) + held(HEAD + b"a:\r\n" * 3500, address, request)


def pipelined_requests(address, request):
    return repeated(b"", (request + " HTTP/1.1\r\nHost: h.example\r\n\r\n").encode(), address, request)


def answers_not_read(address, request):
    body = b"POST /services/packs/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 60000\r\n\r\n" + b"a" * 60_000
    return repeated(b"", body, address, request)


def bodies_that_stop(address, request):
    return held(LARGE_BODY + b"a" * (TOTAL_BYTES // 24), address, request, 24)


def connections_left_open(address, request):
    return held(b"", address, request, LEFT_CONNECTIONS // 2) + held(HEAD, address, request, LEFT_CONNECTIONS // 2)


def all_at_once(address, request):
    shapes = [endless_trailers, endless_chunk_extension, one_byte_chunks, pipelined_requests, bodies_that_stop, connections_left_open]
    crowds = []
    threads = [threading.Thread(target=lambda shape=shape: crowds.append(shape(address, request))) for shape in shapes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(crowds, [])


def rpc_messages_that_stop(address, _):
    """Messages that announce 60 MB in one segment and stop before their end."""
    announcement = struct.pack("<II", 0, 60_000_000 // 8)
    return repeated(announcement, b"\0" * 8, address, _)


def rpc_connections_left_open(address, _):
    return held(b"", address, _, LEFT_CONNECTIONS)


def rpc_message(*words):
    """A message of one segment."""
    return struct.pack(f"<II{len(words)}Q", 0, len(words), *words)


def struct_pointer(offset, data, pointers):
    return offset << 2 | data << 32 | pointers << 48


DIRECTORY = 0x924f1096619f2cab
TO_MESSAGE, TO_CALL = struct_pointer(0, 1, 1), struct_pointer(0, 3, 3)


def rpc_bootstrap(question):
    return rpc_message(TO_MESSAGE, 8, struct_pointer(0, 1, 1), question, 0)


def rpc_call(question):
    """Asks the directory, which is the answer to question 0, for an interface without a name."""
    target = [1 << 32, struct_pointer(0, 1, 1), 0, 0]
    return rpc_message(TO_MESSAGE, 2, TO_CALL, question, DIRECTORY, 0, struct_pointer(2, 1, 1), struct_pointer(5, 0, 2), 0, *target,
                       struct_pointer(1, 0, 1), 0, 0)


def rpc_finish(question):
    return rpc_message(TO_MESSAGE, 4, struct_pointer(0, 1, 0), question)


def drain(connection):
    """Reads what the server sends until it closes."""
    connection.settimeout(None)
    try:
        while connection.recv(65_536):
            pass
    except OSError:
        pass


def rpc_calls(address, finishes, reads):
    """SENDERS connections that each start calls without end, and finish each after some later ones or never."""
    def run(connection):
        question, sent = 1, 0
        pieces = [rpc_bootstrap(0)]
        while sent < TOTAL_BYTES // SENDERS and send(connection, b"".join(pieces)):
            sent += sum(map(len, pieces))
            pieces = [rpc_call(number) + (rpc_finish(number - 300) if finishes and number > 300 else b"") for number in range(question, question + 200)]
            question += 200
    crowd = [connection for connection in (connect(address) for _ in range(SENDERS)) if connection]
    threads = [threading.Thread(target=run, args=(connection,)) for connection in crowd]
    for connection in crowd if reads else []:
        threading.Thread(target=drain, args=(connection,), daemon=True).start()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return crowd


def rpc_calls_not_finished(address, _):
    return rpc_calls(address, False, True)


def rpc_answers_not_read(address, _):
    return rpc_calls(address, True, False)


class EndlessStore:
    """Answers each request with a chunked body whose trailers do not end."""

    def __init__(self):
        self.listener = socket.create_server(STORE)
        self.answers = 0
        threading.Thread(target=self.run, daemon=True).start()

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        with connection:
            connection.settimeout(STALL_SECONDS)
            try:
                if not connection.recv(65_536):
                    return
            except OSError:
                return
            send(connection, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
            send_repeatedly(connection, b"X: a\r\n", TOTAL_BYTES)
            self.answers += 1


HTTP_SHAPES = [endless_trailers, endless_chunk_extension, trailers_in_many_lines, chunk_size_of_zeros, one_byte_chunks, headers_of_many_lines,
               pipelined_requests, answers_not_read, bodies_that_stop, connections_left_open, all_at_once]
RPC_SHAPES = [rpc_messages_that_stop, rpc_connections_left_open, rpc_calls_not_finished, rpc_answers_not_read]


@contextlib.contextmanager
def started(programs, name):
    """One process of the system, which is stopped and whose files are removed at the end."""
    work = tempfile.mkdtemp()
    arguments, settings = {
        "local": (["local", "--memory-mb", str(MEMORY_MB), "--descriptors", str(DESCRIPTOR_LIMIT), "--settings"], SITE),
        "entry": (["entry", "--deployment"], deployment(ENTRY, "entry-1")),
        "agent": (["agent", "--deployment"], deployment(AGENT, "agent-1")),
    }[name]
    path = os.path.join(work, name + ".json")
    with open(path, "w") as file:
        json.dump(settings, file)
    process = Process(work, name, [os.path.join(programs, "persimmondoor"), *arguments, path])
    try:
        for server, (owner, address, request) in HTTP_SERVERS.items():
            if owner == name and not wait_until(lambda: answer_to(address, request)):
                raise RuntimeError(f"{server}: not ready\n{process.last_lines()}")
        yield process
    finally:
        process.stop()
        shutil.rmtree(work)


def play(shape, server, process, address, request):
    """Plays `shape` at one server. Returns the faults seen."""
    ordinary = address if request else HTTP_SERVERS["callers" if process.name == "local" else "clients"][1]
    question = request or "GET /services/packs/a"
    process.reset_peak()
    before_kb, before_descriptors = process.memory_kb("VmRSS"), process.descriptors()
    crowd = shape(address, request)
    faults = []
    if not process.lives():
        return [f"{server}: the process has ended"]
    wait_until_settled(process)
    # The crowd is still connected.
    if not wait_until(lambda: answer_to(ordinary, question)):
        faults.append(f"{server}: no answer to an ordinary request")
    if not process.lives():
        return faults + [f"{server}: the process has ended"]
    growth = process.memory_kb("VmHWM") - before_kb
    if growth > GROWTH_LIMIT_KB:
        faults.append(f"{server}: grew by {growth} kB, bound {GROWTH_LIMIT_KB} kB")
    if process.descriptors() > DESCRIPTOR_LIMIT:
        faults.append(f"{server}: {process.descriptors()} descriptors, bound {DESCRIPTOR_LIMIT}")
    for connection in crowd:
        connection.close()
    if not wait_until(lambda: process.lives() and process.descriptors() <= before_descriptors + DESCRIPTORS_LEFT):
        faults.append(f"{server}: descriptors left open after the crowd has left")
    return faults


def play_endless_answers(process, server):
    """The store's answers do not end. Returns the faults seen."""
    process.reset_peak()
    before_kb = process.memory_kb("VmRSS")
    store = EndlessStore()
    faults = [] if wait_until(lambda: store.answers >= ENDLESS_ANSWERS) else [f"{server}: the store was not asked"]
    growth = process.memory_kb("VmHWM") - before_kb
    if growth > GROWTH_LIMIT_KB:
        faults.append(f"{server}: grew by {growth} kB on answers of the store, bound {GROWTH_LIMIT_KB} kB")
    if not process.lives() or not wait_until(lambda: answer_to(*HTTP_SERVERS[server][1:])):
        faults.append(f"{server}: no answer to an ordinary request")
    store.close()
    return faults


def main():
    programs, name = sys.argv[1:]
    faults = []
    for shape in HTTP_SHAPES:
        for server, (owner, address, request) in HTTP_SERVERS.items():
            if shape.__name__ == name:
                with started(programs, owner) as process:
                    faults += play(shape, server, process, address, request)
    for shape in RPC_SHAPES:
        for server, (owner, address) in RPC_SERVERS.items():
            if shape.__name__ == name:
                with started(programs, owner) as process:
                    faults += play(shape, server, process, address, None)
    if name == "endless_answers":
        for server in ("readiness", "heartbeats"):
            with started(programs, HTTP_SERVERS[server][0]) as process:
                faults += play_endless_answers(process, server)
    print("\n".join(faults) or f"{name}: each process lives, stays within its bounds and answers")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
