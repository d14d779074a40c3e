package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import org.guavapath.core.results.RequestCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Ends a caller's connection that is idle for too long, or on which a request arrives or a response is read too slowly.
 *
 * What has arrived is read before: the event loop may be later than the timeout.
 */
internal class IdleWatch(
    private val channel: Channel,
    private val handler: RequestHandler,
    private val intake: RequestIntake,
    private val requests: CallerRequests,
    private val close: (ConnectionEnd) -> Unit,
) {
    private var lastActiveAt = MonotonicTime.now()
    private var pendingBytes = 0L

    private val timeout: Duration
        get() = handler.callerLimits.let { limits ->
            if (intake.isReading && !requests.isSending) limits.headerTimeout else limits.idleTimeout
        }

    private val idleFor: Duration
        get() = when {
            !requests.isEmpty && !requests.isSending -> Duration.ZERO
            else -> MonotonicTime.now() - maxOf(lastActiveAt, requests.lastSentAt)
        }

    /** Records that bytes have arrived. */
    fun active() {
        lastActiveAt = MonotonicTime.now()
    }

    /** Checks now, and again when the timeout has passed. */
    fun check() {
        if (!channel.isOpen) return
        if (requests.pendingBytes != pendingBytes) active()
        pendingBytes = requests.pendingBytes
        val timeLeft = timeout - idleFor
        if (!timeLeft.isPositive()) channel.eventLoop().afterNextPoll { endIfIdle() }
        val next = if (timeLeft.isPositive()) timeLeft else timeout
        channel.eventLoop().schedule({ check() }, next.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private fun endIfIdle() {
        if (!channel.isOpen || idleFor < timeout || requests.pendingBytes != pendingBytes) return
        when {
            requests.isSending -> close(ConnectionEnd.UNREAD)
            intake.isReading -> requests.reject(Refusal(RequestCode.SlowRequest))
            else -> close(ConnectionEnd.IDLE)
        }
    }
}
