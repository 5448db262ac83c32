"""Links of single hosts to servers that can be cut: a relay for each pair, and a view of the store that names the relays to one host."""
import base64
import enum
import json
import socket
import struct
import threading

from machines import HttpService


class Cut(enum.Enum):
    """What becomes of connections while a link is cut; those that are open are reset, but for KEEPING."""

    REFUSING = "refusing"
    # Connections open and are then reset.
    RESETTING = "resetting"
    # Connections open and stay silent.
    SILENT = "silent"
    # Open connections live on, new ones are reset.
    KEEPING = "keeping"


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # closed by its other thread


class Link:
    """A relay between a host and a server."""

    def __init__(self, server_port):
        self.server_port = server_port
        self.lock = threading.Lock()
        self.cut = None
        self.connections = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def stop(self):
        self.listener.close()
        self.reset_connections()

    def set_cut(self, cut):
        """Cuts the link, or repairs it if `cut` is None."""
        with self.lock:
            before, self.cut = self.cut, cut
        if cut is Cut.REFUSING:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        elif before is Cut.REFUSING:
            self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        if cut is not Cut.KEEPING:
            self.reset_connections()

    def reset_connections(self):
        with self.lock:
            connections, self.connections = self.connections, set()
        for it in connections:
            reset(it)

    def accept(self, listener):
        while True:
            try:
                connection = listener.accept()[0]
            except OSError:
                return
            with self.lock:
                cut = self.cut
                if cut in (None, Cut.SILENT):
                    self.connections.add(connection)
            if cut is None:
                self.connect(connection)
            elif cut is not Cut.SILENT:
                reset(connection)

    def connect(self, connection):
        try:
            server = socket.create_connection(("127.0.0.1", self.server_port))
        except OSError:
            reset(connection)
            return
        with self.lock:
            self.connections.add(server)
        for source, target in ((connection, server), (server, connection)):
            threading.Thread(target=self.copy, args=(source, target), daemon=True).start()

    @staticmethod
    def copy(source, target):
        try:
            while piece := source.recv(65536):
                target.sendall(piece)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            reset(target)


class StoreView(HttpService):
    """The store as one host sees it, with the relays' addresses in the servers' entries."""

    def __init__(self, store):
        self.store = store
        # By the name of the server.
        self.links = {}
        super().__init__()

    def stop(self):
        super().stop()
        for it in self.links.values():
            it.stop()

    def handle(self, handler):
        respond = type(handler).respond

        def respond_with_links(status, body=b"", headers=()):
            if isinstance(body, dict) and "rows" in body:
                body = dict(body, rows=[self.rewrite(it) for it in body["rows"]])
            respond(handler, status, body, headers)

        handler.respond = respond_with_links
        self.store.handle(handler)

    def rewrite(self, row):
        if row["table"] != "servers" or "value" not in row or row["key"] not in self.links:
            return row
        entry = json.loads(base64.b64decode(row["value"]))
        entry["address"] = f"127.0.0.1:{self.links[row['key']].port}"
        return dict(row, value=base64.b64encode(json.dumps(entry).encode()).decode())
