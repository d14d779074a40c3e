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
    ) = probeOf(replica).add(Inquiry(onEnded, onSettled, onOutlived, Pace(settlingTime, LISTING_TIME)))

    /** Watches [replica], whose connection was closed here, and calls [onEnded] if it ends within [WATCH_TIME]. */
    fun watch(replica: Replica, onEnded: () -> Unit) =
        probeOf(replica).add(Inquiry(onEnded, onSettled = {}, onOutlived = {}, Pace(SETTLING_TIME, WATCH_TIME)))

    /**
     * Examines [replica], which has ended a response by closing its connection, with few connections. An end that
     * shows later than with the second one is not one of that response, which was most likely whole.
     *
     * @param onEnded called if the replica has ended
     * @param onAlive called in place of [onEnded] if the replica is still reached [CONFIRMATION_TIME] later; neither is
     *   called if it has ended in between
     * @param onOver called once, at the end of the examination at the latest
     */
    fun confirm(replica: Replica, onEnded: () -> Unit, onAlive: () -> Unit, onOver: () -> Unit = {}) {
        val onOutlived: (Survival) -> Unit = { if (it.isAccepting) onAlive() }
        val pace = Pace(
            CONFIRMATION_TIME,
            CONFIRMATION_TIME,
            TIME_TO_REFUSE,
            QUIET_PAUSE,
            growth = QUIET_GROWTH,
            reuseTime = QUIET_REUSE_TIME,
        )
        probeOf(replica).add(Inquiry(onEnded, onSettled = onOver, onOutlived, pace))
    }

    private fun probeOf(replica: Replica) = probes.getOrPut(replica.incarnation) { Probe(replica) }

    /**
     * How an inquiry goes on.
     *
     * @property attribution time within which a connection must be refused if the replica is to have ended when that of
     *   the request closed
     * @property firstPause time between the first two connections
     * @property growth how many times as long each further pause is
     * @property reuseTime time for which a connection also serves inquiries that begin after it
     */
    private class Pace(
        val settlingTime: Duration,
        val duration: Duration,
        val attribution: Duration = WATCH_TIME,
        val firstPause: Duration = FIRST_PAUSE,
        val growth: Int = 2,
        val reuseTime: Duration = firstPause,
    )

    private class Inquiry(
        val onEnded: () -> Unit,
        private val onSettled: () -> Unit,
        val onOutlived: (Survival) -> Unit,
        val pace: Pace,
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
            after(inquiry.pace.settlingTime) { inquiry.settle() }
            after(inquiry.pace.duration) { outlived(listOf(inquiry)) }
            val pace = inquiry.pace
            val isConnectionNew = connectedAt.let { it != null && now - it <= pace.reuseTime }
            if (!isConnectionNew) connect(++series, pace.firstPause, pace.growth)
        }

        /** Tries a connection, and further ones after [pause] and more unless another series has begun. */
        private fun connect(number: Int, pause: Duration, growth: Int) {
            val now = MonotonicTime.now()
            if (isOver || number != series || now >= connectUntil) return
            if (list.showsEnd(wasAccepted)) return ended(inquiries)
            connectedAt = now
            connections += 1
            pool.connectForProbe(replica).addListener(
                ChannelFutureListener { attempt ->
                    attempt.channel().close()
                    wasAccepted = attempt.isSuccess
                    if (isRefused(attempt)) refused() else after(pause) { connect(number, pause * growth, growth) }
                },
            )
        }

        private fun isRefused(attempt: ChannelFuture) =
            attempt.cause().let { it is ConnectException && it !is ConnectTimeoutException }

        /** The replica has ended, but after the requests that it has outlived. */
        private fun refused() {
            val now = MonotonicTime.now()
            val (earlier, current) = inquiries.partition { now - it.startedAt > it.pace.attribution }
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

        private val FIRST_PAUSE = 10.milliseconds

        /** Whole responses that end within it before a crash count as cut off. */
        private val QUIET_PAUSE = 25.milliseconds
        private const val QUIET_GROWTH = 4
        private val QUIET_REUSE_TIME = 50.milliseconds

        /** Covers the first two connections; most replicas that run on and end later have not ended by then. */
        private val TIME_TO_REFUSE = 100.milliseconds

        /** The port of a replica that has ended may accept connections for 250 ms. */
        val CONFIRMATION_TIME = 300.milliseconds
    }
}
