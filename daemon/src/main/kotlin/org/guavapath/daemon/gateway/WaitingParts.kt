package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Keeps what was received on a connection that is not read on until a body has its room in memory: at most what one
 * read from the socket yields.
 *
 * @param isOwnFault whether the body waits for others of the same connection, which does not end the wait
 * @param onOverdue called when the wait has lasted too long
 */
internal class WaitingParts(
    private val channel: Channel,
    private val pauses: ReadingPauses,
    private val isOwnFault: () -> Boolean,
    private val onOverdue: () -> Unit,
) {
    private val parts = ArrayDeque<HttpObject>()
    private var timer: ScheduledFuture<*>? = null

    /** Whether a body waits. */
    var isWaiting = false
        private set

    /** Keeps [part], for which there is no room, and what follows it; the wait is overdue after [limit]. */
    fun begin(part: HttpObject, limit: Duration) {
        isWaiting = true
        pauses.isBodyWaiting = true
        parts.addFirst(ReferenceCountUtil.retain(part))
        startTimer(limit)
    }

    /** Keeps [part], which has arrived after those that wait. */
    fun add(part: HttpObject) {
        parts.addLast(ReferenceCountUtil.retain(part))
    }

    /** Passes on what waits, in order, with [receive]; this may begin another wait. */
    fun resume(receive: (HttpObject) -> Unit) {
        stop()
        while (!isWaiting) {
            val part = parts.removeFirstOrNull() ?: break
            try {
                receive(part)
            } finally {
                ReferenceCountUtil.release(part)
            }
        }
        pauses.isBodyWaiting = isWaiting
    }

    /** Drops what waits and reads on. */
    fun clear() {
        stop()
        parts.forEach { ReferenceCountUtil.release(it) }
        parts.clear()
        pauses.isBodyWaiting = false
    }

    private fun stop() {
        isWaiting = false
        timer?.cancel(false)
        timer = null
    }

    private fun startTimer(limit: Duration) {
        val check = { if (isOwnFault()) startTimer(limit) else onOverdue() }
        timer = channel.eventLoop().schedule(check, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
