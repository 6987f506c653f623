"""Which members become voters when others are lost."""

from cranberryrill.replication import voters

VOTERS = {'a': 'ia', 'b': 'ib', 'c': 'ic'}


def status(
    name: str,
    identity: str = '',
    silent_for: float = 0.1,
    *,
    caught_up: bool = True,
) -> voters.PeerStatus:
    return voters.PeerStatus(
        name,
        identity or f'i{name}',
        silent_for,
        caught_up,
    )


def test_no_change_while_all_voters_answer() -> None:
    others = [status('b'), status('c'), status('d')]
    assert voters.decide_change('a', VOTERS, others, 3) is None


def test_voter_with_a_new_disk_is_admitted_again() -> None:
    others = [status('b', 'new'), status('c')]
    assert voters.decide_change('a', VOTERS, others, 3) == voters.Admit('b')
    behind = [status('b', 'new', caught_up=False), status('c')]
    assert voters.decide_change('a', VOTERS, behind, 3) is None


def test_silent_voter_is_dismissed_after_its_successor_is_admitted() -> None:
    others = [status('b', silent_for=9), status('c'), status('d')]
    assert voters.decide_change('a', VOTERS, others, 3) == voters.Admit('d')
    four = {**VOTERS, 'd': 'id'}
    assert voters.decide_change('a', four, others, 3) == voters.Dismiss('b')


def test_silent_voter_is_not_dismissed_without_a_successor() -> None:
    others = [status('b', silent_for=9), status('c')]
    assert voters.decide_change('a', VOTERS, others, 3) is None


def test_group_grows_to_the_target() -> None:
    others = [status('b'), status('c'), status('d'), status('e')]
    assert voters.decide_change('a', VOTERS, others, 5) == voters.Admit('d')
