#!/usr/bin/env python3
"""A client of the proxy: opens a connection, sends lines, and says how it ended. --stay: until it is moved."""

import secrets
import socket
import sys
import time

stay = "--stay" in sys.argv
connection = socket.create_connection(("127.0.0.1", 8000), timeout=10)
lines = connection.makefile("rb")
connection.sendall(f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} c=note-edit,d=1200,g=5c0f\r\n".encode())
answer = lines.readline().decode().strip()
print("proxy:", answer)
if not answer.startswith("UP "):
    sys.exit("not served")
for number in range(1, 1000 if stay else 4):
    connection.sendall(f"M {number} hello\r\n".encode())
    heard = lines.readline().decode().strip()
    while heard.startswith("LOAD "):
        print("render node:", heard)
        heard = lines.readline().decode().strip()
    print("render node:", heard or "(the end)")
    if heard in ("", "MOVE", "BYE"):
        sys.exit(0)
    time.sleep(2 if stay else 0.1)
connection.sendall(b"QUIT\r\n")
for line in lines:
    print("render node:", line.decode().strip())
print("the connection has ended")
