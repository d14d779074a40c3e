package org.guavapath.core.connections

import org.guavapath.core.time.MonotonicTime

/**
 * Which pooled connections to one destination may have gone silent together with one that has.
 *
 * Connections go silent together, when a device between the two ends forgets them. After one was found silent, those
 * on which nothing has arrived since are not used any more; a new connection shows whether the destination responds.
 */
public class SilenceWatch {
    private var silentSince = MonotonicTime.ZERO

    /** Records that nothing has arrived on a connection since a request was sent on it at [sentAt]. */
    public fun foundSilent(sentAt: MonotonicTime) {
        silentSince = maxOf(silentSince, sentAt)
    }

    /** Returns whether a connection may be used on which something last arrived at [heardAt]. */
    public fun mayUse(heardAt: MonotonicTime): Boolean = silentSince == MonotonicTime.ZERO || heardAt > silentSince
}
