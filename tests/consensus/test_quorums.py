"""The value reached by a quorum of one voter set, or of both in a joint membership."""

import pytest

from bitternlever.consensus import tables
from bitternlever.messages import consensus

A, B, C, D = [consensus.ReplicaId(f"control-{letter}", "disk") for letter in "abcd"]


@pytest.mark.parametrize(
    ("reached", "expected"),
    [
        ({A: 9, B: 9, C: 0}, 9),
        ({A: 9, B: 5, C: 0}, 5),
        ({A: 9, B: 0, C: 0}, 0),
    ],
)
def test_a_quorum_of_one_set(reached, expected):
    membership = consensus.Membership(voters=[A, B, C])

    assert tables.reached_by_quorum(membership, reached.get) == expected


@pytest.mark.parametrize(
    ("reached", "expected"),
    [
        ({A: 9, B: 9, C: 0, D: 0}, 9),
        ({A: 9, B: 0, C: 9, D: 0}, 0),
        ({A: 9, B: 0, C: 0, D: 9}, 0),
        ({A: 9, B: 0, C: 7, D: 8}, 7),
    ],
)
def test_a_joint_membership_needs_a_quorum_of_both_sets(reached, expected):
    membership = consensus.Membership(voters=[A, B, D], outgoing=[A, B, C])

    assert tables.reached_by_quorum(membership, reached.get) == expected


def test_an_outgoing_voter_votes_until_it_has_left():
    joint = consensus.Membership(voters=[A, B, D], outgoing=[A, B, C])

    assert tables.voters(joint) == [A, B, D, C]
