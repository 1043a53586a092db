"""Runs golden files, each a recorded session between callers and a fleet.

A line ``> HOST {...}`` sends a statement on the session's connection to a host,
``> HOST raw "..."`` sends bytes on a new connection, and ``$ WORDS`` runs an
operator's command. The line after it, which starts with ``<``, is the answer.
"""

import json
import re
import shlex
import socket

from sedgeswitch.daemon.tests import builders

PLACEHOLDERS = (
    (re.compile(r'"instance":"[^"]*"'), '"instance":"#"'),
    (re.compile(r'"replica":(true|false)'), '"replica":"#"'),
    (re.compile(r":(\d+):[0-9a-f]+$"), r":\1:#"),
)
SHOWN_HEADERS = ("Sedge-Position", "Retry-After", "Connection")
RECEIVE_BYTES = 65_536
OVERSIZED_BODY_BYTES = 5_000


class Session:
    """One run of a golden file."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._connections = {}
        self._key_ids = {}

    def run(self, text):
        """Return the text of a golden file with the present answers of the fleet."""
        lines = []
        for line in text.splitlines():
            if line.startswith("<"):
                continue
            lines.append(line)
            if line.startswith("> "):
                lines.append("< " + self._send(*line[2:].split(" ", 1)))
            if line.startswith("$ "):
                lines.append(f"< exit {self._run_command(line[2:])}")
        for connection in self._connections.values():
            connection.close()
        return "\n".join(lines) + "\n"

    def _run_command(self, line):
        completed = self._fleet.run_command(*map(self._replace_key, shlex.split(line)))
        return completed.returncode

    def _replace_key(self, word):
        # Key ids differ between runs, so golden files write KEY-OF-ORGANISATION.
        if not word.startswith("KEY-OF-"):
            return word
        organisation = word.removeprefix("KEY-OF-")
        listed = self._fleet.check_command("key", "list", organisation, "--json")
        return min(json.loads(listed.stdout))

    def _send(self, host_id, request):
        if request.startswith("raw "):
            return self._send_raw(host_id, json.loads(request.removeprefix("raw ")))
        fields = json.loads(request)
        headers = fields.pop("headers", {})
        key = fields.pop("key", None)
        if key is not None:
            headers["Authorization"] = f"Bearer {self._fleet.keys.get(key, key)}"
        if host_id not in self._connections:
            self._connections[host_id] = self._fleet.connect(host_id)
        connection = self._connections[host_id]
        body = {"group": builders.GROUP, "work": "register", **fields}
        connection.request("POST", builders.STATEMENTS, json.dumps(body), headers)
        response = connection.getresponse()
        return _format(response.status, response.headers, response.read().decode())

    def _send_raw(self, host_id, text):
        address = (builders.HOST, self._fleet.ports[host_id])
        text = text.replace("$BODY", "x" * OVERSIZED_BODY_BYTES)
        with socket.create_connection(address, builders.TIMEOUT_S) as stream:
            stream.sendall(text.encode())
            received = stream.recv(RECEIVE_BYTES).decode()
        if not received:
            return "closed"
        head, _, body = received.partition("\r\n\r\n")
        status_line, *lines = head.split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        return _format(status_line.split()[1], headers, body)


def _format(status, headers, body):
    parts = [f"{name}: {headers[name]}" for name in SHOWN_HEADERS if headers.get(name)]
    text = " | ".join([str(status), *parts])
    for pattern, replacement in PLACEHOLDERS:
        text = pattern.sub(replacement, text)
        body = pattern.sub(replacement, body)
    return f"{text} | {body}"
