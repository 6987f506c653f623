"""Operators' commands against control members that run as processes."""

import contextlib
import dataclasses
import http
import io
import os
import pathlib
import subprocess
import sys
import threading
import typing
from collections import abc
from http import server as http_server
from unittest import mock

import pytest

from bench import cluster, examples, processes, web
from cranberryrill.configuration import printer
from cranberryrill.programs import command

FAILED = 1
USAGE_ERROR = 2
OUTCOME_UNKNOWN = 3


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three members and an entry, without a configuration."""
    folder: pathlib.Path = tmp_path_factory.mktemp('commands')
    started = cluster.Cluster(folder)
    try:
        started.start_control()
        started.add_entry('entry')
        started.wait_ready('entry', agents=0)
        yield started
    finally:
        started.stop()


@pytest.fixture(scope='module')
def document(system: cluster.Cluster) -> pathlib.Path:
    """Put a configuration in force with `config apply`."""
    path = system.folder / 'nivelar.yaml'
    path.write_text(printer.print_document(examples.nivelar()))
    applied = run(system, 'config', 'apply', str(path), '--base-revision=0')
    assert applied.returncode == 0, applied.stderr
    assert 'revision 1 is in force everywhere' in applied.stdout
    return path


def control_urls(system: cluster.Cluster) -> str:
    return ','.join(
        f'http://{cluster.HOST}:{system.admin_ports[member]}'
        for member in system.members
    )


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a command."""

    returncode: int
    stdout: str
    stderr: str


def environment(system: cluster.Cluster, token: str) -> dict[str, str]:
    return {
        'CRANBERRYRILL_TOKEN': token,
        'CRANBERRYRILL_CONTROL': control_urls(system),
    }


def run(
    system: cluster.Cluster,
    *arguments: str,
    control: str = '',
    token: str = cluster.TOKEN,
) -> CommandResult:
    """Run a command in this process; the members are other processes."""
    variables = environment(system, token)
    if control:
        variables['CRANBERRYRILL_CONTROL'] = control
    stdout = io.StringIO()
    stderr = io.StringIO()
    code: object = 0
    with (
        mock.patch.dict(os.environ, variables),
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            command.APP(arguments)
        except SystemExit as exit_request:
            code = exit_request.code
    return CommandResult(
        int(str(code or 0)), stdout.getvalue(), stderr.getvalue()
    )


def test_refusal_sets_the_exit_code_of_the_process(
    system: cluster.Cluster,
) -> None:
    ended = subprocess.run(
        [sys.executable, '-m', 'cranberryrill', 'keys', 'list'],
        capture_output=True,
        text=True,
        env={**os.environ, **environment(system, 'wrong')},
        timeout=60,
        check=False,
    )
    assert ended.returncode == FAILED
    assert ended.stderr.startswith('cranberryrill: not_authorised: ')


def test_config_show_prints_an_equal_document(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    shown = run(system, 'config', 'show')
    copy = system.folder / 'copy.yaml'
    copy.write_text(shown.stdout)
    compared = run(system, 'config', 'diff', str(copy))
    assert compared.returncode == 0
    assert not compared.stdout
    assert '--base-revision 1' in compared.stderr


def test_diff_lists_each_difference(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    changed = system.folder / 'changed.yaml'
    text = document.read_text().replace('tier: 4', 'tier: 5')
    changed.write_text(text.replace('name: clinics', 'name: cafes'))
    compared = run(system, 'config', 'diff', str(changed))
    assert compared.stdout.splitlines() == [
        '+ organisations/cafes',
        '- organisations/clinics',
        '~ classes/drafting: tier 4 -> 5',
    ]


def test_stale_base_revision_is_refused(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    applied = run(system, 'config', 'apply', str(document), '--base-revision=0')
    assert applied.returncode == FAILED
    assert applied.stderr.startswith('cranberryrill: stale_revision: ')


def test_faults_are_reported_before_the_document_is_sent(
    system: cluster.Cluster,
) -> None:
    broken = system.folder / 'broken.yaml'
    broken.write_text('classes:\n- name: urgent\n  tier: 9\n')
    applied = run(system, 'config', 'apply', str(broken), '--base-revision=0')
    assert applied.returncode == FAILED
    assert f'{broken}: line 3: classes.0.tier' in applied.stderr


def test_key_is_printed_once_and_withdrawn(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    issued = run(system, 'keys', 'issue', 'front', 'clinics')
    key = issued.stdout.strip()
    models = f'{system.entry_url("entry")}/v1/models'
    assert web.request(models, key=key).status == http.HTTPStatus.OK
    listed = run(system, 'keys', 'list')
    assert 'front' in listed.stdout
    assert key not in listed.stdout
    withdrawn = run(system, 'keys', 'withdraw', 'front')
    assert withdrawn.returncode == 0
    assert web.request(models, key=key).status == http.HTTPStatus.UNAUTHORIZED
    assert run(system, 'keys', 'withdraw', 'no').returncode == FAILED
    history = run(system, 'config', 'history').stdout
    assert 'keys/front' in history


def test_status_lists_processes_and_members_lists_roles(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    status = run(system, 'status')
    members = run(system, 'members')
    assert status.returncode == 0
    assert 'entry' in status.stdout
    assert members.stdout.count('follower') == 2
    assert members.stdout.count('leader') == 1


def test_usage_lists_windows_and_shows_one(system: cluster.Cluster) -> None:
    listed = run(system, 'usage')
    shown = run(system, 'usage', '--window', '1')
    unknown = run(system, 'usage', '--window', '99')
    assert listed.stdout.splitlines()[1].split() == ['1', 'open']
    assert 'output tokens' in shown.stdout
    assert shown.stderr == 'window 1 is open\n'
    assert unknown.returncode == FAILED
    assert unknown.stderr.startswith('cranberryrill: unknown_window: ')


class ResponseDropper(http_server.BaseHTTPRequestHandler):
    """Forward a change to a member and close without the response."""

    member = ''
    replies: list[web.Reply] = []

    def do_POST(self) -> None:
        length = int(self.headers['Content-Length'])
        body = self.rfile.read(length)
        self.replies.append(
            web.request(
                f'{self.member}{self.path}', 'POST', body, cluster.TOKEN
            ),
        )
        self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Log nothing."""


def test_lost_response_is_retried_at_another_member(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    members = control_urls(system).split(',')
    ResponseDropper.member = members[0]
    server = http_server.HTTPServer((cluster.HOST, 0), ResponseDropper)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        through = f'http://{cluster.HOST}:{server.server_port},{members[1]}'
        url = f'{members[1]}/admin/v1/configuration'
        before = web.request(url, key=cluster.TOKEN).json()['revision']
        applied = run(
            system,
            'config',
            'apply',
            str(document),
            f'--base-revision={before}',
            control=through,
        )
        after = web.request(url, key=cluster.TOKEN).json()['revision']
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    # The HTTP library may resend the request by itself: one or two replies.
    assert {reply.status for reply in ResponseDropper.replies} == {200}
    assert applied.returncode == 0, applied.stderr
    assert f'revision {before + 1} is in force' in applied.stdout
    assert after == before + 1


@pytest.mark.parametrize(
    ('control', 'token', 'code', 'message'),
    [
        ('', 'wrong', FAILED, 'not_authorised'),
        ('', '', USAGE_ERROR, '--token-file'),
    ],
)
def test_bad_token_is_reported_in_one_line(
    system: cluster.Cluster,
    control: str,
    token: str,
    code: int,
    message: str,
) -> None:
    listed = run(system, 'keys', 'list', control=control, token=token)
    assert listed.returncode == code
    assert message in listed.stderr
    assert listed.stderr.count('\n') == 1


def test_settings_check_depends_on_the_role(system: cluster.Cluster) -> None:
    path = system.folder / 'entry.yaml'
    good = run(system, 'settings', 'check', 'entry', str(path))
    bad = run(system, 'settings', 'check', 'agent', str(path))
    assert good.returncode == 0
    assert bad.returncode == FAILED
    assert 'callers' in bad.stderr


def test_settings_describe_lists_names_and_defaults(
    system: cluster.Cluster,
) -> None:
    described = run(system, 'settings', 'describe', 'entry')
    assert 'max_body_bytes' in described.stdout
    assert str(4 * 1024 * 1024) in described.stdout
    assert 'process.tls.authority' in described.stdout
    assert 'required' in described.stdout


class TlsCluster(cluster.Cluster):
    """Cluster whose members serve the administration API over TLS."""

    def start_role(
        self,
        role: str,
        name: str,
        settings: dict[str, typing.Any],
    ) -> processes.Process:
        """Start a role with TLS on its administration port."""
        settings['administration_tls'] = {
            'certificate': str(self.folder / 'administration.pem'),
            'key': str(self.folder / 'administration.key'),
        }
        return super().start_role(role, name, settings)


def test_administration_over_tls(tmp_path: pathlib.Path) -> None:
    tls_cluster = TlsCluster(tmp_path, members=1)
    tls_cluster.add_control('control-0')
    port = tls_cluster.admin_ports['control-0']
    control = f'https://{cluster.HOST}:{port}'
    authority = f'--authority={tmp_path / "authority.pem"}'
    try:
        web.wait_until(
            lambda: (
                'leader'
                in run(
                    tls_cluster, 'members', authority, control=control
                ).stdout
            ),
            'a leader',
        )
        with_authority = run(tls_cluster, 'status', authority, control=control)
        without_authority = run(tls_cluster, 'status', control=control)
        over_http = run(
            tls_cluster, 'status', authority, control=control_urls(tls_cluster)
        )
    finally:
        tls_cluster.stop()
    assert with_authority.returncode == 0
    assert without_authority.returncode == OUTCOME_UNKNOWN
    assert over_http.returncode == OUTCOME_UNKNOWN
