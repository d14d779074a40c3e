package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls [onSilent] when nothing has arrived on an attempt for longer than a replica in good health mostly pauses.
 *
 * It does not end the attempt, and is started again if the attempt goes on.
 */
internal class SilenceTimer(loop: EventLoop, private val onSilent: () -> Unit) {
    private val timer = InactivityTimer(loop) { onSilent() }
    private var isClosed = false

    /** Starts when a request is sent whose response should begin within [timeout]. */
    fun awaitBeginning(timeout: Duration) = restart(timeout)

    /** Allows for the time from the head to the first bytes of the body. */
    fun headReceived() = timer.extend(FIRST_BODY_TIMEOUT)

    /** Starts anew after the head of a replacement, which must show soon whether it continues the response. */
    fun awaitFirstEvent() = restart(FIRST_BODY_TIMEOUT)

    /** Starts anew within a response. */
    fun awaitMore() = restart(STALL_TIMEOUT)

    /** Stops while the caller does not read. */
    fun pause() = timer.stop()

    /** Stops for good. */
    fun close() {
        isClosed = true
        timer.stop()
    }

    private fun restart(timeout: Duration) {
        if (!isClosed) timer.restart(timeout)
    }

    private companion object {
        /** A replica that has sent the head has read the prompt, so that another one would respond later. */
        val FIRST_BODY_TIMEOUT = 300.milliseconds

        /** Twice the longest pause within a response that still counts as on time. */
        val STALL_TIMEOUT = 800.milliseconds
    }
}
