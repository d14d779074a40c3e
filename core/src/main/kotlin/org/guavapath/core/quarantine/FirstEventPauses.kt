package org.guavapath.core.quarantine

import kotlin.time.Duration

/** How long the responses of one service have paused between their head and their first event. */
public class FirstEventPauses {
    private val latest = ArrayDeque<Duration>()

    /** Records the pause of a response that was answered completely. */
    public fun record(pause: Duration) {
        latest.addLast(pause)
        if (latest.size > REMEMBERED) latest.removeFirst()
    }

    /** Returns whether a response that has paused for [pause] is overdue; false while too few others are known. */
    public fun isOverdue(pause: Duration): Boolean {
        if (latest.size < SUFFICIENT) return false
        val longOnes = latest.sortedDescending()
        return pause > longOnes[latest.size / TAIL] * MARGIN
    }

    private companion object {
        const val REMEMBERED = 500
        const val SUFFICIENT = 2

        /** One pause in that many is longer than what is compared with. */
        const val TAIL = 50
        const val MARGIN = 3
    }
}
