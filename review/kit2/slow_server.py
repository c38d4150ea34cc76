"""A stand-in for an application server whose answers take some seconds.

Its answers have neither a length nor chunks: they end with their connection. It writes
a piece of the answer each `GAP` seconds as its work goes on. `slow_server.py HOST ID
LOG` prints its address. Each line of LOG tells what it did.
"""

import pathlib
import socket
import sys
import threading
import time

GAP = 0.35
PIECES = 14


def event(number):
    return b"id: %d\ndata: piece %d of %d\n\n" % (number, number, PIECES)


def line(number):
    return b"line %02d of %02d of the list\n" % (number, PIECES)


def whole(path):
    piece = event if path.startswith("/flujo/") else line
    return b"".join(piece(number) for number in range(1, PIECES + 1))


def main():
    host, name, log_path = sys.argv[1:4]
    log = pathlib.Path(log_path).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115
    lock = threading.Lock()

    def write(text):
        with lock:
            log.write(f"{time.monotonic():.3f} {name} {text}\n")

    listener = socket.socket()
    listener.bind((host, 0))
    listener.listen(64)
    print("{}:{}".format(*listener.getsockname()), flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=serve, args=(connection, name, write), daemon=True
        ).start()


def serve(connection, name, write):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = connection.makefile("rb")
    try:
        words = stream.readline().decode("latin-1").split()
        if len(words) != 3:
            return
        headers = {}
        while (field := stream.readline().decode("latin-1").strip()) != "":
            key, _, value = field.partition(":")
            headers[key.lower()] = value.strip()
        stream.read(int(headers.get("content-length", "0")))
        path = words[1]
        request_id = headers.get("bilberryring-request-id", "")
        if headers.get("bilberryring-target-instance", name) != name:
            connection.sendall(
                b"HTTP/1.1 421 Misdirected\r\nBilberryring-Not-Executed: 1\r\n"
                b"Bilberryring-Request-Id: %s\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n" % request_id.encode()
            )
            return
        write(f"runs {request_id} {path}")
        kind = "text/event-stream" if path.startswith("/flujo/") else "text/plain"
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request_id}\r\n"
            f"Bilberryring-Response-Stamp: s.{name}\r\nContent-Type: {kind}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        piece = event if path.startswith("/flujo/") else line
        for number in range(1, PIECES + 1):
            time.sleep(GAP)
            connection.sendall(piece(number))
            write(f"sent {request_id} piece {number}")
        write(f"done {request_id}")
        connection.shutdown(socket.SHUT_WR)
    except OSError as error:
        write(f"lost a connection: {error}")
    finally:
        connection.close()


if __name__ == "__main__":
    main()
