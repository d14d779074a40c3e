package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.quarantine.CrashQuarantine
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends crash reports to the other gateways: news at once, and everything again while it matters, so that gateways that
 * have missed some receive it too.
 */
internal class CrashReportExchange(private val quarantine: CrashQuarantine, private val peers: GatewayPeers) {
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val news = LinkedHashMap<Pair<ReplicaIncarnation, RequestId>, CrashReport>()

    /** Sends what is published, and repeats what is known. */
    fun run(scope: CoroutineScope) {
        scope.keepRunning("repeated crash reports") {
            while (true) {
                delay(REPEAT_INTERVAL)
                if (quarantine.reports.isNotEmpty()) peers.broadcast(message(quarantine.reports))
            }
        }
        scope.keepRunning("crash reports") {
            while (true) {
                wakeUp.receive()
                val reports = news.values.toList()
                news.clear()
                if (reports.isNotEmpty()) peers.broadcast(message(reports))
                delay(MIN_INTERVAL)
            }
        }
    }

    /** Sends [reports] soon, which are new or have changed. */
    fun publish(reports: List<CrashReport>) {
        reports.forEach { news[it.id] = it }
        wakeUp.trySend(Unit)
    }

    /** Sends what is known here to [peer], which answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(quarantine.reports, isGreeting = true))

    /** Sends what is known here to [peer], which has linked with this gateway. */
    fun greeted(peer: VmId) {
        if (quarantine.reports.isNotEmpty()) peers.send(peer, message(quarantine.reports))
    }

    private fun message(reports: Collection<CrashReport>, isGreeting: Boolean = false): PeerMessage.CrashReports {
        val now = MonotonicTime.now()
        return PeerMessage.CrashReports(reports.map { CrashReportCodec.encode(it, now) }, isGreeting)
    }

    private companion object {
        val MIN_INTERVAL = 10.milliseconds
        val REPEAT_INTERVAL = 5.seconds
    }
}
