#!/usr/bin/env python3
"""Discovery and two render nodes, for trying the proxy by hand. Type `drain s1` or `up s1` to change the list."""

import json
import socketserver
import sys
import threading
import time

PORTS = {"s1": 9001, "s2": 9002}
phases = {name: "up" for name in PORTS}
revision = 1
changed = threading.Condition()


def members(names):
    return [
        {"id": n, "host_port": f"127.0.0.1:{PORTS[n]}", "locality": "hall-a", "cell": 0,
         "phase": phases[n], "size": 2.0, "up_since_ms": 0}
        for n in names
    ]


class Discovery(socketserver.StreamRequestHandler):
    def handle(self):
        while self.rfile.readline().strip():
            pass
        self.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = 0
        while True:
            with changed:
                if told == revision:
                    changed.wait(2)
                line = ""
                if told != revision:
                    line = json.dumps({"revision": revision, "complete": True, "members": members(PORTS)})
                told = revision
            body = (line + "\n").encode()
            try:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(body), body))
            except OSError:
                return


def render_node(name):
    class RenderNode(socketserver.StreamRequestHandler):
        def handle(self):
            first = self.rfile.readline().decode().strip()
            print(f"{name}: {first}", flush=True)
            if not first.startswith("OPEN "):
                self.wfile.write(b"SYNTAX\r\n")
                return
            if phases[name] != "up":
                self.wfile.write(b"BUSY\r\n")
                return
            self.wfile.write(f"UP {name}-{time.time_ns()}\r\nLOAD 20000\r\n".encode())
            for line in self.rfile:
                if line.strip() == b"QUIT":
                    self.wfile.write(b"BYE\r\n")
                    return
                self.wfile.write(line)

    return RenderNode


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


servers = [Server(("127.0.0.1", 8500), Discovery)]
servers += [Server(("127.0.0.1", port), render_node(name)) for name, port in PORTS.items()]
for server in servers:
    threading.Thread(target=server.serve_forever, daemon=True).start()
print("discovery on 8500, render nodes on 9001 and 9002; `drain NAME`, `up NAME`, or end of input to stop", flush=True)
for command in sys.stdin:
    verb, _, name = command.strip().partition(" ")
    if verb in ("drain", "up") and name in PORTS:
        with changed:
            phases[name] = "draining" if verb == "drain" else "up"
            revision += 1
            changed.notify_all()
    else:
        print("drain s1 | drain s2 | up s1 | up s2", flush=True)
