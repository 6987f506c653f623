"""Who gets a vote when members are lost."""

from cranberryrill.replication import voters

VOTERS = {'a': 'ia', 'b': 'ib', 'c': 'ic'}


def seen(
    name: str,
    identity: str = '',
    silent_for: float = 0.1,
    *,
    caught_up: bool = True,
) -> voters.PeerStatus:
    return voters.PeerStatus(
        name, identity or f'i{name}', silent_for, caught_up
    )


def test_nothing_changes_while_all_answer() -> None:
    others = [seen('b'), seen('c'), seen('d')]
    assert voters.decide_change('a', VOTERS, others, 3) is None


def test_member_that_lost_its_disk_gets_its_vote_anew() -> None:
    others = [seen('b', 'new'), seen('c')]
    assert voters.decide_change('a', VOTERS, others, 3) == voters.Admit('b')
    behind = [seen('b', 'new', caught_up=False), seen('c')]
    assert voters.decide_change('a', VOTERS, behind, 3) is None


def test_silent_voter_is_replaced_first_and_dismissed_then() -> None:
    others = [seen('b', silent_for=9), seen('c'), seen('d')]
    assert voters.decide_change('a', VOTERS, others, 3) == voters.Admit('d')
    four = {**VOTERS, 'd': 'id'}
    assert voters.decide_change('a', four, others, 3) == voters.Dismiss('b')


def test_nobody_is_dismissed_without_a_successor() -> None:
    others = [seen('b', silent_for=9), seen('c')]
    assert voters.decide_change('a', VOTERS, others, 3) is None


def test_group_grows_to_what_is_wanted() -> None:
    others = [seen('b'), seen('c'), seen('d'), seen('e')]
    assert voters.decide_change('a', VOTERS, others, 5) == voters.Admit('d')
