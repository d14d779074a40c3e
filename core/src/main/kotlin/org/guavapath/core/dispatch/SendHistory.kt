package org.guavapath.core.dispatch

import org.guavapath.core.fleet.Repeatability

/**
 * Where one request was sent, and whether it may be sent again.
 *
 * A request goes to another replica only if no replica can have run it, or if it may run again and the
 * route's limit of replicas is not reached.
 *
 * @param repeatability what may be repeated
 * @param replicaLimit most replicas that may run the request
 * @param mostSends most replicas that the request is sent to, run or not
 */
public class SendHistory(
    private val repeatability: Repeatability,
    private val replicaLimit: Int,
    private val mostSends: Int = MOST_SENDS,
) {
    /** Replicas that the request was sent to. */
    public var sends: Int = 0
        private set

    /** Replicas that may have run the request or a part of it. */
    public var possibleRuns: Int = 0
        private set

    /** Whether no replica can have run the request. */
    public val isSurelyNotRun: Boolean get() = possibleRuns == 0

    /** Whether the request may be sent to another replica. */
    public val allowsAnother: Boolean
        get() = sends < mostSends &&
            (isSurelyNotRun || repeatability.mayRunAgain && possibleRuns < replicaLimit)

    /** The request is sent to one more replica. */
    public fun sent() {
        sends += 1
    }

    /** A replica may have run the request. */
    public fun mayHaveRun() {
        possibleRuns += 1
    }

    private companion object {
        /** A fifth replica would rarely answer in time, and each arrival costs the services work. */
        const val MOST_SENDS = 4
    }
}
