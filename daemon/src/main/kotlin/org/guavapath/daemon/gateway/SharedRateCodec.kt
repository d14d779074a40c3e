package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.throttling.RateNotice
import org.guavapath.core.throttling.RequestRate
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Encodes and decodes notices of rates in messages between gateways, whose clocks differ. */
internal object SharedRateCodec {
    fun encode(notice: RateNotice, now: MonotonicTime) = PeerMessage.SharedRate(
        notice.replica.id.text,
        notice.replica.startedAt,
        notice.rate?.perSecond,
        (now - notice.at).inWholeMilliseconds,
    )

    fun decode(rate: PeerMessage.SharedRate, now: MonotonicTime) = RateNotice(
        ReplicaIncarnation(ReplicaId(rate.replica), rate.startedAt),
        rate.perSecond?.let { RequestRate(it) },
        now + -rate.ageMilliseconds.milliseconds,
    )
}
