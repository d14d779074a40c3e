package org.guavapath.core.dispatch

import org.guavapath.core.fleet.RetryPolicy

/**
 * Tracks the sends of one request and decides whether it may be retried at another replica.
 *
 * A retry is allowed only if no replica can have run the request, or if it may run again and the route's limit of
 * replicas is not reached.
 *
 * @param retryPolicy whether the request may run again
 * @param maxReplicas maximum number of replicas that may run the request
 * @param maxSends maximum number of replicas that the request is sent to, whether they run it or not
 */
public class SendHistory(
    private val retryPolicy: RetryPolicy,
    private val maxReplicas: Int,
    private val maxSends: Int = MAX_SENDS,
) {
    /** Number of replicas that the request was sent to. */
    public var sends: Int = 0
        private set

    /** Number of replicas that may have run the request or a part of it. */
    public var possibleRuns: Int = 0
        private set

    /** Whether it is certain that no replica ran the request. */
    public val isKnownNotRun: Boolean get() = possibleRuns == 0

    /** Whether the request may be sent to another replica. */
    public val allowsAnotherSend: Boolean
        get() = sends < maxSends &&
            (isKnownNotRun || retryPolicy.mayRunAgain && possibleRuns < maxReplicas)

    /** Records that the request is sent to one more replica. */
    public fun sent() {
        sends += 1
    }

    /** Records that one more replica may have run the request. */
    public fun mayHaveRun() {
        possibleRuns += 1
    }

    private companion object {
        /** A fifth replica would rarely respond in time, and each send costs the services work. */
        const val MAX_SENDS = 4
    }
}
