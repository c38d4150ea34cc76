"""A stand-in for a server that one kind of request crashes.

`fragile_server.py HOST ID LOG` prints its address. A request whose path has the part
`veneno` ends its process as soon as it runs; any other one is answered after 0.3 s.
Each line of LOG is a request that began to run, or was answered, with its time.
"""

import os
import socket
import sys
import threading
import time


def main():
    host, name, log_path = sys.argv[1:4]
    log = os.open(log_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def write(what, request_id):
        line = f"{time.monotonic():.3f} {name} {what} {request_id}\n"
        os.write(log, line.encode())

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
    try:
        stream = connection.makefile("rb")
        while answer(connection, stream, name, write):
            pass
    except OSError:
        pass
    finally:
        connection.close()


def answer(connection, stream, name, write):
    words = stream.readline().decode("latin-1").split()
    if len(words) != 3:
        return False
    headers = {}
    while (field := stream.readline().decode("latin-1").strip()) != "":
        key, _, value = field.partition(":")
        headers[key.lower()] = value.strip()
    stream.read(int(headers.get("content-length", "0")))
    request_id = headers.get("bilberryring-request-id", "")
    if headers.get("bilberryring-target-instance", name) != name:
        connection.sendall(
            b"HTTP/1.1 421 Misdirected Request\r\nBilberryring-Request-Id: %s\r\n"
            b"Content-Length: 0\r\n\r\n" % request_id.encode()
        )
        return True
    write("runs", request_id)
    if "veneno" in words[1]:
        os._exit(1)
    time.sleep(0.3)
    body = f"{name} {request_id}".encode()
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: %s\r\n"
        b"Bilberryring-Response-Stamp: s.%s\r\nKeep-Alive: timeout=5\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id.encode(), name.encode(), len(body), body)
    )
    write("answers", request_id)
    return True


if __name__ == "__main__":
    main()
