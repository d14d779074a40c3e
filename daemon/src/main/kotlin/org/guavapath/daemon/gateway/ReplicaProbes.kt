package org.guavapath.daemon.gateway

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.placement.ReplicaRegistry
import org.guavapath.core.time.MonotonicTime
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What an examination saw of a replica that does not seem to have ended.
 *
 * @property connections connections that were tried
 * @property isAccepting whether the last one was accepted; it timed out otherwise
 * @property isListed whether it is listed as it was
 * @property isLeaving whether it leaves in order, so that the list says nothing
 */
internal class Survival(
    val connections: Int,
    val isAccepting: Boolean,
    val isListed: Boolean,
    val isLeaving: Boolean,
)

/**
 * Finds out whether replicas whose connections have closed have ended; confined to one event loop.
 *
 * An accepted connection does not show that a replica lives: a listening socket that is closed while a thread waits for
 * connections accepts them until that thread runs again, and may even hand one over. Further connections are therefore
 * tried for a while. A replica that refuses one has ended. One whose connections only time out may be alive.
 *
 * Where the next replica starts at the same address at once, all connections are accepted, and only the list shows it.
 */
internal class ReplicaProbes(
    private val loop: EventLoop,
    private val pool: ReplicaPool,
    private val listed: ReplicaRegistry,
) {
    private val probes = HashMap<ReplicaIncarnation, Probe>()

    /**
     * Examines [replica], one of whose connections has closed.
     *
     * @param onEnded called if the replica has ended, at the latest [LISTING_TIME] later
     * @param onSettled called once: after [onEnded], or when the replica has lived on for [settlingTime]
     * @param onOutlived called in place of [onEnded] if no end has shown by then
     */
    fun examine(
        replica: Replica,
        onEnded: () -> Unit,
        onSettled: () -> Unit,
        settlingTime: Duration = SETTLING_TIME,
        onOutlived: (Survival) -> Unit = {},
    ) = probeOf(replica).add(Inquiry(onEnded, onSettled, onOutlived, settlingTime, LISTING_TIME))

    /** Watches [replica], whose connection was closed here, and calls [onEnded] if it ends within [WATCH_TIME]. */
    fun watch(replica: Replica, onEnded: () -> Unit) =
        probeOf(replica).add(Inquiry(onEnded, onSettled = {}, onOutlived = {}, SETTLING_TIME, WATCH_TIME))

    private fun probeOf(replica: Replica) = probes.getOrPut(replica.incarnation) { Probe(replica) }

    private class Inquiry(
        val onEnded: () -> Unit,
        private val onSettled: () -> Unit,
        val onOutlived: (Survival) -> Unit,
        val settlingTime: Duration,
        val duration: Duration,
    ) {
        private var isSettled = false
        val startedAt = MonotonicTime.now()

        fun settle() {
            if (isSettled) return
            isSettled = true
            onSettled()
        }
    }

    /** The examination of one incarnation for all requests that it has cut off. */
    private inner class Probe(private val replica: Replica) {
        private val inquiries = ArrayList<Inquiry>()
        private val list = ListedEnd(replica, listed)
        private var connectUntil = MonotonicTime.ZERO
        private var connectedAt: MonotonicTime? = null
        private var wasAccepted = false
        private var series = 0
        private var connections = 0

        init {
            after(LIST_INTERVAL) { watchList() }
        }

        fun add(inquiry: Inquiry) {
            val now = MonotonicTime.now()
            inquiries += inquiry
            connectUntil = now + WATCH_TIME
            after(inquiry.settlingTime) { inquiry.settle() }
            after(inquiry.duration) { outlived(listOf(inquiry)) }
            if (connectedAt.let { it == null || now - it > FIRST_PAUSE }) connect(++series, FIRST_PAUSE)
        }

        /** Tries a connection, and further ones after [pause] unless another series has begun. */
        private fun connect(number: Int, pause: Duration) {
            val now = MonotonicTime.now()
            if (isOver || number != series || now >= connectUntil) return
            if (list.showsEnd(wasAccepted)) return ended(inquiries)
            connectedAt = now
            connections += 1
            pool.connectForProbe(replica).addListener(
                ChannelFutureListener { attempt ->
                    attempt.channel().close()
                    wasAccepted = attempt.isSuccess
                    if (isRefused(attempt)) refused() else after(pause) { connect(number, pause * 2) }
                },
            )
        }

        private fun isRefused(attempt: ChannelFuture) =
            attempt.cause().let { it is ConnectException && it !is ConnectTimeoutException }

        /** The replica has ended, but after the requests that it has outlived. */
        private fun refused() {
            val now = MonotonicTime.now()
            val (earlier, current) = inquiries.partition { now - it.startedAt > WATCH_TIME }
            outlived(earlier)
            ended(current)
        }

        private fun watchList() {
            if (isOver) return
            if (list.showsEnd(wasAccepted)) ended(inquiries) else after(LIST_INTERVAL) { watchList() }
        }

        private fun ended(cutOff: List<Inquiry>) {
            if (isOver) return
            probes.remove(replica.incarnation)
            cutOff.forEach { it.onEnded() }
            cutOff.forEach { it.settle() }
        }

        private fun outlived(those: List<Inquiry>) {
            if (isOver || !inquiries.removeAll(those)) return
            if (inquiries.isEmpty()) probes.remove(replica.incarnation)
            val survival = Survival(connections, wasAccepted, list.isListed, list.isLeaving)
            those.forEach {
                it.settle()
                it.onOutlived(survival)
            }
        }

        private val isOver get() = probes[replica.incarnation] !== this

        private fun after(delay: Duration, task: () -> Unit) {
            loop.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    companion object {
        /** A request that was cut off waits for it before it is sent again. */
        val SETTLING_TIME = 50.milliseconds

        /** An end that shows after the request was sent again still matters to repeats of it. */
        val WATCH_TIME = 1.seconds

        /** The entry of a replica that has ended expires within 5 s, and the list may be as late. */
        val LISTING_TIME = 10.seconds

        private val LIST_INTERVAL = 100.milliseconds

        /** Doubled with each connection. */
        private val FIRST_PAUSE = 10.milliseconds
    }
}
