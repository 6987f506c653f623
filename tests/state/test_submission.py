"""A submitter adds the addresses of new control members once."""

import random

from cranberryrill import transport
from cranberryrill.state import submission

SEED = transport.Address('10.0.0.1', 1)
ADDED = transport.Address('10.0.0.9', 1)


def test_new_control_members_are_added_once() -> None:
    submitter = submission.Submitter(
        transport.Dialer(None),
        [SEED],
        random.Random(1),
    )
    submitter.add_control_addresses([SEED, ADDED])
    submitter.add_control_addresses([ADDED])
    assert submitter.control == [SEED, ADDED]
