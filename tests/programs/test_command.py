"""Run the operators' commands against real members."""

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
UNKNOWN = 3


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three members and an entry, without a configuration."""
    folder: pathlib.Path = tmp_path_factory.mktemp('commands')
    running = cluster.Cluster(folder)
    try:
        running.start_control()
        running.add_entry('entry')
        running.wait_ready('entry', agents=0)
        yield running
    finally:
        running.stop()


@pytest.fixture(scope='module')
def document(system: cluster.Cluster) -> pathlib.Path:
    """Put a configuration in force by the command."""
    path = system.folder / 'nivelar.yaml'
    path.write_text(printer.print_document(examples.nivelar()))
    applied = run(system, 'config', 'apply', str(path), '--base-revision=0')
    assert applied.returncode == 0, applied.stderr
    assert 'revision 1 is in force everywhere' in applied.stdout
    return path


def urls(system: cluster.Cluster) -> str:
    return ','.join(
        f'http://{cluster.HOST}:{system.admin_ports[member]}'
        for member in system.members
    )


@dataclasses.dataclass(frozen=True)
class Ended:
    """Hold what a command printed, and its exit code."""

    returncode: int
    stdout: str
    stderr: str


def environment(system: cluster.Cluster, token: str) -> dict[str, str]:
    return {
        'CRANBERRYRILL_TOKEN': token,
        'CRANBERRYRILL_CONTROL': urls(system),
    }


def run(
    system: cluster.Cluster,
    *arguments: str,
    control: str = '',
    token: str = cluster.TOKEN,
) -> Ended:
    """Run a command in this process, against the members' processes."""
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
        except SystemExit as ending:
            code = ending.code
    return Ended(int(str(code or 0)), stdout.getvalue(), stderr.getvalue())


def test_exit_code_of_the_process(system: cluster.Cluster) -> None:
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


def test_show_prints_what_apply_takes(
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


def test_diff_names_each_difference(
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


def test_stale_base_is_refused(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    applied = run(system, 'config', 'apply', str(document), '--base-revision=0')
    assert applied.returncode == FAILED
    assert applied.stderr.startswith('cranberryrill: stale_revision: ')


def test_faults_are_named_before_anything_is_sent(
    system: cluster.Cluster,
) -> None:
    broken = system.folder / 'broken.yaml'
    broken.write_text('classes:\n- name: urgent\n  tier: 9\n')
    applied = run(system, 'config', 'apply', str(broken), '--base-revision=0')
    assert applied.returncode == FAILED
    assert f'{broken}: line 3: classes.0.tier' in applied.stderr


def test_key_is_shown_once(
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


def test_status_and_members(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    status = run(system, 'status')
    members = run(system, 'members')
    assert status.returncode == 0
    assert 'entry' in status.stdout
    assert members.stdout.count('follower') == 2
    assert members.stdout.count('leader') == 1


def test_usage_is_shown(system: cluster.Cluster) -> None:
    listed = run(system, 'usage')
    shown = run(system, 'usage', '--window', '1')
    unknown = run(system, 'usage', '--window', '99')
    assert listed.stdout.splitlines()[1].split() == ['1', 'open']
    assert 'output tokens' in shown.stdout
    assert shown.stderr == 'window 1 is open\n'
    assert unknown.returncode == FAILED
    assert unknown.stderr.startswith('cranberryrill: unknown_window: ')


class Losing(http_server.BaseHTTPRequestHandler):
    """Pass a change on to a member and lose the answer."""

    member = ''
    answers: list[web.Reply] = []

    def do_POST(self) -> None:
        length = int(self.headers['Content-Length'])
        body = self.rfile.read(length)
        self.answers.append(
            web.request(
                f'{self.member}{self.path}', 'POST', body, cluster.TOKEN
            ),
        )
        self.close_connection = True

    def log_message(self, *_: object) -> None:
        """Stay quiet."""


def test_lost_answer_is_asked_for_through_another(
    system: cluster.Cluster,
    document: pathlib.Path,
) -> None:
    members = urls(system).split(',')
    Losing.member = members[0]
    server = http_server.HTTPServer((cluster.HOST, 0), Losing)
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
    # The silent resend of the HTTP library makes it one or two.
    assert {answer.status for answer in Losing.answers} == {200}
    assert applied.returncode == 0, applied.stderr
    assert f'revision {before + 1} is in force' in applied.stdout
    assert after == before + 1


@pytest.mark.parametrize(
    ('control', 'token', 'code', 'said'),
    [
        ('', 'wrong', FAILED, 'not_authorised'),
        ('', '', USAGE_ERROR, '--token-file'),
    ],
)
def test_no_access(
    system: cluster.Cluster,
    control: str,
    token: str,
    code: int,
    said: str,
) -> None:
    listed = run(system, 'keys', 'list', control=control, token=token)
    assert listed.returncode == code
    assert said in listed.stderr
    assert listed.stderr.count('\n') == 1


def test_settings_are_checked(system: cluster.Cluster) -> None:
    path = system.folder / 'entry.yaml'
    good = run(system, 'settings', 'check', 'entry', str(path))
    bad = run(system, 'settings', 'check', 'agent', str(path))
    assert good.returncode == 0
    assert bad.returncode == FAILED
    assert 'callers' in bad.stderr


def test_settings_are_described(system: cluster.Cluster) -> None:
    described = run(system, 'settings', 'describe', 'entry')
    assert 'max_body_bytes' in described.stdout
    assert str(4 * 1024 * 1024) in described.stdout
    assert 'process.tls.authority' in described.stdout
    assert 'required' in described.stdout


class Protected(cluster.Cluster):
    """Run members that serve their operators over TLS."""

    def start_role(
        self,
        role: str,
        name: str,
        settings: dict[str, typing.Any],
    ) -> processes.Process:
        """Start a role."""
        settings['administration_tls'] = {
            'certificate': str(self.folder / 'administration.pem'),
            'key': str(self.folder / 'administration.key'),
        }
        return super().start_role(role, name, settings)


def test_administration_over_tls(tmp_path: pathlib.Path) -> None:
    protected = Protected(tmp_path, members=1)
    protected.add_control('control-0')
    port = protected.admin_ports['control-0']
    control = f'https://{cluster.HOST}:{port}'
    authority = f'--authority={tmp_path / "authority.pem"}'
    try:
        web.wait_until(
            lambda: (
                'leader'
                in run(protected, 'members', authority, control=control).stdout
            ),
            'a leader',
        )
        trusted = run(protected, 'status', authority, control=control)
        unknown = run(protected, 'status', control=control)
        plain = run(protected, 'status', authority, control=urls(protected))
    finally:
        protected.stop()
    assert trusted.returncode == 0
    assert unknown.returncode == UNKNOWN
    assert plain.returncode == UNKNOWN
