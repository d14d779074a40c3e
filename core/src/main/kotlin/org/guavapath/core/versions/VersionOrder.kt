/** Moving the traffic of a service to replicas of another software version. */
package org.guavapath.core.versions

import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An operator's order to move a service to another version.
 *
 * @property service the service
 * @property target the version to move it to
 * @property duration time after which it is to be decided
 * @property createdAt revision number of the store at which the order was created; it tells equal orders apart
 */
public data class VersionOrder(
    public val service: ServiceName,
    public val target: SoftwareVersion,
    public val duration: Duration,
    public val createdAt: Long,
)

/**
 * Limits on what a version gets that has not proven good.
 *
 * @property share part of the service's requests
 * @property slack requests beyond that
 * @property stopTime time within which a version that is found to be bad gets no more requests
 */
public data class ExposureBounds(
    public val share: Double,
    public val slack: Int,
    public val stopTime: Duration,
) {
    /** Returns how many requests the target may get after the service has had [requests]. */
    public fun allowed(requests: Long): Long = (share * requests).toLong() + slack

    /** How long a grant is valid in the trial; several intervals at which grants are renewed. */
    public val trialValidity: Duration get() = stopTime * TRIAL_PART

    /** The same in the move; the rest of the time is left to find out that the version is bad. */
    public val moveValidity: Duration get() = stopTime * MOVE_PART

    /** Holds the bounds of deployments that state none. */
    public companion object {
        private const val TRIAL_PART = 0.3
        private const val MOVE_PART = 0.7

        /** Time within which a version that is found to be bad gets no more requests. */
        public val DEFAULT_STOP_TIME: Duration = 5.seconds
    }
}

/** How far the move to a version has come. */
public sealed class VersionPhase {
    /** The target gets the requests that were granted. */
    public data object Trial : VersionPhase()

    /** All new requests go to the target, and those on old replicas end. */
    public data object Move : VersionPhase()

    /** The service runs on the target; old replicas get nothing any more. */
    public data object Done : VersionPhase()

    /**
     * The target has been left and gets nothing any more.
     *
     * @property reason what spoke against it
     */
    public data class RolledBack(public val reason: String) : VersionPhase()

    /** Whether the phase never changes any more. */
    public val isFinal: Boolean get() = this is Done || this is RolledBack
}
