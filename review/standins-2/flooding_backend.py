"""A backend in trouble, as a process of its own: bytes that are no answer, without end.

    flooding_backend.py IP PORT INSTANCE_ID

It answers health checks. To each other request it sends interim responses, without end, until the
caller closes the connection.
"""

import socket
import sys
import threading

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2500


def serve(connection, instance_id):
    buffer = b""
    try:
        while True:
            while b"\r\n\r\n" not in buffer:
                data = connection.recv(65536)
                if not data:
                    return
                buffer += data
            head, buffer = buffer.split(b"\r\n\r\n", 1)
            if head.startswith(b"GET /health "):
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nYuccarack-Instance-Id: " + instance_id +
                    b"\r\nYuccarack-Server-Load: 0,0,9,100\r\nContent-Length: 0\r\n\r\n")
                continue
            while True:
                connection.sendall(INTERIM)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    address, port, instance_id = sys.argv[1], int(sys.argv[2]), sys.argv[3].encode()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(100)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, instance_id), daemon=True).start()


main()
