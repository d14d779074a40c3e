package org.guavapath.daemon.gateway

import kotlinx.coroutines.delay
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.quarantine.RequestCrash
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.RequestQuarantine
import org.guavapath.core.quarantine.RequestVerdict
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Records which requests replicas crashed with, and keeps the other gateways informed of them. */
internal class RequestQuarantineTask(
    private val quarantine: RequestQuarantine,
    private val peers: GatewayPeers,
    private val log: GatewayLog,
) {
    /** Called when a further request is held. */
    var onHeld: () -> Unit = {}

    /** Called when crashes were added or cleared. */
    var onChanged: () -> Unit = {}

    /** Repeats what is known, for gateways that have missed it, and forgets what does not matter any more. */
    suspend fun run() {
        while (true) {
            delay(REPEAT_INTERVAL)
            quarantine.expire(MonotonicTime.now())
            onChanged()
            val crashes = quarantine.crashes
            if (crashes.isNotEmpty()) peers.broadcast(message(crashes))
        }
    }

    /** Returns whether a request with [key] may be sent to a replica. */
    fun verdict(key: RequestKey): RequestVerdict = quarantine.verdict(key, MonotonicTime.now())

    /** Returns how many times in a row replicas have crashed with [key] since a request like it was answered. */
    fun crashesInARow(key: RequestKey): Int = quarantine.crashesInARow(key)

    /** Records that [incarnation] crashed at [at] with the [request] of [key], which was sent at [sentAt]. */
    fun crashed(
        key: RequestKey,
        incarnation: ReplicaIncarnation,
        request: RequestId,
        sentAt: MonotonicTime,
        at: MonotonicTime,
    ) = add(listOf(quarantine.crashOf(key, incarnation, request, sentAt, at)))

    /** Records that a request with [key] was answered completely [at] a time that may have passed. */
    fun answered(key: RequestKey, at: MonotonicTime) {
        if (quarantine.answered(key, at)) {
            onChanged()
            val ago = (MonotonicTime.now() - at).inWholeMilliseconds
            peers.broadcast(PeerMessage.RequestCrashes(emptyList(), mapOf(key.bits to ago), isGreeting = false))
        }
    }

    /** Sends what is known here to [peer], which answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(quarantine.crashes).copy(isGreeting = true))

    /** Applies what [from] knows, and passes on what is new. */
    fun received(from: VmId, message: PeerMessage.RequestCrashes) {
        val now = MonotonicTime.now()
        add(message.crashes.map { RequestCrashCodec.decode(it, now) })
        val cleared = message.answeredAgo.filter { (key, ago) ->
            quarantine.answered(RequestKey(key), now + (-ago).milliseconds)
        }
        if (cleared.isNotEmpty()) {
            onChanged()
            peers.broadcast(PeerMessage.RequestCrashes(emptyList(), cleared, isGreeting = false))
        }
        if (message.isGreeting && quarantine.crashes.isNotEmpty()) peers.send(from, message(quarantine.crashes))
    }

    private fun add(crashes: List<RequestCrash>) {
        val news = crashes.filter { crash ->
            val wasHeld = verdict(crash.key) is RequestVerdict.Held
            quarantine.add(crash).also { if (it) logIfHeld(crash.key, wasHeld) }
        }
        if (news.isEmpty()) return
        onChanged()
        peers.broadcast(message(news))
    }

    private fun logIfHeld(key: RequestKey, wasHeld: Boolean) {
        val held = verdict(key) as? RequestVerdict.Held ?: return
        if (wasHeld) return
        val crashes = held.crashes.map { RequestCrashCodec.describe(it) }
        log.stateChange("request held", "requestKey" to key.toString(), "crashes" to crashes)
        onHeld()
    }

    private fun message(crashes: List<RequestCrash>): PeerMessage.RequestCrashes {
        val now = MonotonicTime.now()
        val shared = crashes.map { RequestCrashCodec.encode(it, now) }
        return PeerMessage.RequestCrashes(shared, emptyMap(), isGreeting = false)
    }

    private companion object {
        /** Changes are sent at once. */
        val REPEAT_INTERVAL = 5.seconds
    }
}
