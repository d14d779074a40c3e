package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetNaming
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Converts what is known of a target for other gateways, whose clocks differ. */
internal object SharedNamingCodec {
    /** Encodes [naming] as of [now]. */
    fun encode(naming: TargetNaming, now: MonotonicTime) = PeerMessage.SharedNaming(
        naming.number.number,
        (now - naming.learnedAt).inWholeMilliseconds,
        naming.witnessedAt?.let { (now - it).inWholeMilliseconds },
        naming.notBefore?.let { (now - it).inWholeMilliseconds },
    )

    /** Decodes [shared], the answer to a question of [askedAt], so that no time is later than the true one. */
    fun decode(shared: PeerMessage.SharedNaming, askedAt: MonotonicTime) = TargetNaming(
        WeightsNumber(shared.number),
        askedAt + (-shared.learned).milliseconds,
        shared.witnessed?.let { askedAt + (-it).milliseconds },
        shared.notBefore?.let { askedAt + (-it).milliseconds },
    )
}
