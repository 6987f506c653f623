"""Run a complete system on loopback, each role in its own process."""

import hashlib
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

import yaml

from bench import faults, processes, web
from cranberryrill.certificates import roles
from cranberryrill.configuration import document, printer

HOST = '127.0.0.1'
HTTP_OK = 200
TOKEN = 'demo-operators-token'  # noqa: S105


class Cluster:
    """Processes of one system, and the folder for their files."""

    def __init__(
        self,
        folder: pathlib.Path,
        members: int = 3,
        network: faults.Network | None = None,
    ) -> None:
        self.folder = folder
        # When given, every connection between processes goes through a link
        # of this network, where faults can be injected.
        self.network = network
        self.processes: dict[str, processes.Process] = {}
        self.ports: dict[str, int] = {}
        self.admin_ports: dict[str, int] = {}
        self.standins: dict[str, str] = {}
        # Short, so that a run covers several usage windows.
        self.platform_settings: dict[str, float] = {'window_seconds': 1}
        self.issued_keys = 0
        # Command that starts a role; tests replace it by the built binary.
        self.role_command = [sys.executable, '-m', 'cranberryrill']
        # Extra settings for every control member.
        self.control_settings: dict[str, typing.Any] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self.tls = self._certificates()
        self.members = [f'control-{number}' for number in range(members)]
        for member in self.members:
            self.ports[member] = web.free_port()
            self.admin_ports[member] = web.free_port()

    def start_control(self) -> None:
        """Start every control member and wait for a leader."""
        for member in self.members:
            self.add_control(member)
        self.leader()

    def add_control(self, member: str) -> processes.Process:
        """Start one control member."""
        settings = {
            'process': self._process_settings(member, self.ports[member]),
            'administration': _address(self.admin_ports[member]),
            'administration_token_sha256': hashlib.sha256(
                TOKEN.encode(),
            ).hexdigest(),
            'members': [
                {'name': peer, 'address': self.address_for(member, peer)}
                for peer in self.members
            ],
            'data_folder': str(self.folder / member),
            **self._platform_section(member),
            **self.control_settings,
        }
        return self.start_role('control', member, settings)

    def entry_settings(self, name: str) -> dict[str, typing.Any]:
        """Return the settings of an entry, with newly chosen ports."""
        self.ports[name] = web.free_port()
        return {
            'process': self._process_settings(name, web.free_port()),
            'control': self._control_addresses(name),
            'callers': _address(self.ports[name]),
            # No load balancer has to notice the drain first.
            'drain_delay_seconds': 0,
        }

    def add_entry(
        self,
        name: str,
        **overrides: typing.Any,
    ) -> processes.Process:
        """Start an entry; `overrides` replace its settings."""
        settings = {**self.entry_settings(name), **overrides}
        return self.start_role('entry', name, settings)

    def add_agent(
        self, name: str, standin: str, **upstream: typing.Any
    ) -> processes.Process:
        """Start the agent of a stand-in; `upstream` adds upstream settings."""
        self.ports[name] = web.free_port()
        settings = {
            'process': {
                **self._process_settings(name, self.ports[name]),
                'advertise': self.address_for('entries', name),
            },
            'control': self._control_addresses(name),
            'upstream': {
                'base_url': self._standin_url(name, standin),
                **upstream,
            },
        }
        return self.start_role('agent', name, settings)

    def add_standin(
        self, name: str, kind: str, **options: typing.Any
    ) -> processes.Process:
        """Start a stand-in and wait until it answers.

        `options` are its command-line options.
        """
        port = web.free_port()
        self.standins[name] = f'http://{HOST}:{port}'
        flags = [
            f'--{flag.replace("_", "-")}={options[flag]}' for flag in options
        ]
        command = [sys.executable, '-m', 'standins', kind, str(port), *flags]
        process = self.start_process(name, command)
        web.wait_until(
            lambda: self._is_ok(f'{self.standins[name]}/ledger'),
            name,
        )
        return process

    def start_role(
        self,
        role: str,
        name: str,
        settings: dict[str, typing.Any],
    ) -> processes.Process:
        """Write the settings file of a role and start its process."""
        settings['process']['tls'] = self.tls[role]
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        command = [*self.role_command, role, str(path)]
        return self.start_process(name, command)

    def start_process(self, name: str, command: list[str]) -> processes.Process:
        """Start a process; it is stopped with the cluster."""
        process = processes.Process(name, command, self.folder / f'{name}.log')
        self.processes[name] = process
        process.start()
        return process

    def address_for(self, source: str, target: str) -> dict[str, typing.Any]:
        """Return the address of `target` for `source`.

        With a network this is the address of the link between them.
        """
        port = self.ports[target]
        if self.network is not None and source != target:
            port = self.network.link_port(source, target, port)
        return _address(port)

    def admin_url(self, member: str = '') -> str:
        """Return the administration URL of a member, by default the first."""
        name = member or self.members[0]
        return f'http://{HOST}:{self.admin_ports[name]}/admin/v1'

    def entry_url(self, name: str) -> str:
        """Return the URL of an entry for callers."""
        return f'http://{HOST}:{self.ports[name]}'

    def status(self, member: str) -> dict[str, typing.Any] | None:
        """Return the status of a member; None without a successful answer."""
        try:
            reply = web.request(f'{self.admin_url(member)}/status', key=TOKEN)
        except OSError:
            return None
        return dict(reply.json()) if reply.status == 200 else None

    def leader(self, among: list[str] | None = None) -> str:
        """Wait for a leader, by default among all members; return its name."""
        return str(web.wait_until(lambda: self._find_leader(among), 'a leader'))

    def apply(
        self,
        content: document.Document,
        member: str = '',
        **fields: typing.Any,
    ) -> web.Reply:
        """Apply a configuration and wait until it is in force.

        `fields` override fields of the request body.
        """
        body = {
            'document': printer.print_document(content),
            'base_revision': 0,
            'change_id': f'change-{time.monotonic_ns()}',
            'wait': True,
            **fields,
        }
        url = f'{self.admin_url(member)}/configuration'
        return web.request(url, 'POST', body, TOKEN)

    def issue_key(self, organisation: str, name: str = '') -> str:
        """Issue a key of an organisation and return it."""
        self.issued_keys += 1
        body = {
            'name': name or f'key-{self.issued_keys}',
            'organisation': organisation,
            'change_id': f'key-{time.monotonic_ns()}',
        }
        url = f'{self.admin_url(self.leader())}/keys'
        reply = web.request(url, 'POST', body, TOKEN)
        return str(reply.json()['key'])

    def wait_ready(self, entry: str, agents: int) -> None:
        """Wait until an entry is ready and each member lists the agents."""
        web.wait_until(lambda: self._is_ready(entry), f'{entry} is ready')
        web.wait_until(lambda: self._has_agents(agents), f'{agents} agents')

    def ledger(self, standin: str) -> list[dict[str, typing.Any]]:
        """Return the requests that a stand-in has recorded."""
        return list(
            web.request(f'{self.standins[standin]}/ledger').json()['ledger'],
        )

    def wait_key(self, entry: str, key: str) -> None:
        """Wait until an entry accepts a key."""
        url = f'{self.entry_url(entry)}/v1/models'
        web.wait_until(
            lambda: web.request(url, key=key).status == HTTP_OK,
            'the key',
        )

    def stop(self) -> None:
        """Stop every process, frozen ones too; kill those that do not end."""
        running = [
            process
            for process in self.processes.values()
            if process.is_running()
        ]
        for process in running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in running:
            try:
                process.wait()
            except subprocess.TimeoutExpired:
                process.kill()

    def _process_settings(self, name: str, port: int) -> dict[str, typing.Any]:
        return {
            'name': name,
            'data_centre': 'dc-1',
            'listen': _address(port),
        }

    def _control_addresses(self, source: str) -> list[dict[str, typing.Any]]:
        return [self.address_for(source, member) for member in self.members]

    def _platform_section(self, member: str) -> dict[str, typing.Any]:
        if 'platform' not in self.standins:
            return {}
        url = self._standin_url(member, 'platform')
        return {'platform': {'base_url': url, **self.platform_settings}}

    def _standin_url(self, source: str, standin: str) -> str:
        port = int(self.standins[standin].rpartition(':')[2])
        if self.network is not None:
            port = self.network.link_port(source, standin, port)
        return f'http://{HOST}:{port}'

    def _find_leader(self, among: list[str] | None) -> str:
        for member in among or self.members:
            status = self.status(member)
            if status and status['standing'] == 'leader':
                return member
        return ''

    def _is_ok(self, url: str) -> bool:
        try:
            return web.request(url).status == 200
        except OSError:
            return False

    def _is_ready(self, entry: str) -> bool:
        return self._is_ok(f'{self.entry_url(entry)}/readyz')

    def _has_agents(self, agents: int) -> bool:
        for member in self.members:
            status = self.status(member)
            if not status:
                return False
            listed = [process['role'] for process in status['processes']]
            if listed.count('agent') < agents:
                return False
        return True

    def _certificates(self) -> dict[str, dict[str, str]]:
        command = [
            sys.executable,
            '-m',
            'cranberryrill',
            'tls',
            'make',
            str(self.folder),
        ]
        subprocess.run(command, check=True, env=dict(os.environ))
        return {
            role.value: {
                'authority': str(self.folder / 'authority.pem'),
                'certificate': str(self.folder / f'{role.value}.pem'),
                'key': str(self.folder / f'{role.value}.key'),
            }
            for role in roles.Role
        }


def _address(port: int) -> dict[str, typing.Any]:
    return {'host': HOST, 'port': port}
