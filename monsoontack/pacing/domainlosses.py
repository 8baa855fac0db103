"""Tells whether a failure domain as a whole was lost, from the losses of its servers.

Written for crashes under requests: a prompt that ends engines is blamed for crashes
that no loss of a domain explains.
"""

from collections.abc import Sequence

from monsoontack.pacing.member import Member

# The failure domain itself counts as lost if more than this share of its servers, and
# at least this many, are lost within the window.
DOMAIN_LOSS_SHARE = 2 / 3
MIN_DOMAIN_LOSSES = 3
DOMAIN_FAILURE_WINDOW_S = 1.0


def is_domain_lost(domain: Sequence[Member], now: float) -> bool:
    """Whether most servers of a failure domain were lost just now."""
    lost_count = sum(now - m.lost_at <= DOMAIN_FAILURE_WINDOW_S for m in domain)
    share = lost_count / max(len(domain), 1)
    return lost_count >= MIN_DOMAIN_LOSSES and share > DOMAIN_LOSS_SHARE
