"""Conversion between gossip records and the messages of peer.proto."""

import math

from monsoontack.config.gossip_state import ControllerRef, PeerDigest
from monsoontack.config.revision import HeadDelta
from monsoontack.core.records import StopMark
from monsoontack.proto import peer_pb2

NO_CONTACT_AGE_S = -1.0  # no contact with the store yet


def encode_digest(digest: PeerDigest) -> peer_pb2.Digest:
    """Encode a digest."""
    age_s = digest.store_contact_age_s
    message = peer_pb2.Digest(
        process=digest.process,
        address=digest.address,
        revision=digest.revision,
        store_contact_age_s=NO_CONTACT_AGE_S if age_s is None else age_s,
        controller_address=digest.controller.address,
        controller_epoch=digest.controller.epoch,
        stop_marks=map(encode_stop_mark, digest.stop_marks),
    )
    if digest.delta is not None:
        message.head.CopyFrom(_encode_delta(digest.delta))
    return message


def decode_digest(message: peer_pb2.Digest) -> PeerDigest:
    """Decode a digest."""
    age_s = message.store_contact_age_s
    return PeerDigest(
        message.process,
        message.address,
        message.revision,
        _decode_delta(message.head) if message.HasField("head") else None,
        tuple(map(decode_stop_mark, message.stop_marks)),
        age_s if 0 <= age_s < math.inf else None,
        ControllerRef(message.controller_address, message.controller_epoch),
    )


def _encode_delta(delta: HeadDelta) -> peer_pb2.Head:
    chunks = [
        peer_pb2.ChunkRef(name=name, digest=digest)
        for name, digest in delta.changed.items()
    ]
    return peer_pb2.Head(
        revision=delta.revision,
        lease_epoch=delta.lease_epoch,
        base_revision=delta.base_revision,
        chunks=chunks,
        removed=delta.removed,
    )


def _decode_delta(message: peer_pb2.Head) -> HeadDelta:
    return HeadDelta(
        message.revision,
        message.lease_epoch,
        message.base_revision,
        {chunk.name: chunk.digest for chunk in message.chunks},
        tuple(message.removed),
    )


def encode_stop_mark(mark: StopMark) -> peer_pb2.StopMark:
    """Encode a stop mark."""
    return peer_pb2.StopMark(
        rollout_uid=mark.rollout_uid,
        service=mark.service,
        version=mark.version,
        reason=mark.reason,
        entry=mark.entry,
    )


def decode_stop_mark(message: peer_pb2.StopMark) -> StopMark:
    """Decode a stop mark."""
    return StopMark(
        message.rollout_uid,
        message.service,
        message.version,
        message.reason,
        message.entry,
    )
