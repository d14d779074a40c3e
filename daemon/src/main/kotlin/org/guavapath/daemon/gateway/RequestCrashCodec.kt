package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.quarantine.RequestCrash
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

/** Converts crashes with whole requests for other gateways, whose clocks differ, and for logs. */
internal object RequestCrashCodec {
    /** Encodes [crash] as of [now]. */
    fun encode(crash: RequestCrash, now: MonotonicTime) = PeerMessage.SharedRequestCrash(
        crash.key.bits,
        crash.incarnation.id.text,
        crash.incarnation.startedAt,
        crash.request,
        (now - crash.at).inWholeMilliseconds,
        crash.depth,
    )

    /** Decodes [shared], whose age is as of [now]. */
    fun decode(shared: PeerMessage.SharedRequestCrash, now: MonotonicTime) = RequestCrash(
        RequestKey(shared.key),
        ReplicaIncarnation(ReplicaId(shared.replica), shared.startedAt),
        shared.request,
        now + (-shared.ageMilliseconds).milliseconds,
        shared.depth,
    )

    /** Returns [crash] as logs and operators name it. */
    fun describe(crash: RequestCrash): String =
        "${crash.incarnation.id} ${crash.incarnation.startedAt} with ${crash.request}"
}
