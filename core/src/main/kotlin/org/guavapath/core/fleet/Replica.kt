/** Replicas of services as the platform lists them. */
package org.guavapath.core.fleet

import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import kotlin.time.Duration

/**
 * Identity of one replica. Usually changes when the replica restarts.
 *
 * @property text the identity
 */
@JvmInline
public value class ReplicaId(public val text: String) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/**
 * Version of the software that a replica runs. Versions have no order.
 *
 * @property text the version
 */
@JvmInline
public value class SoftwareVersion(public val text: String) {
    override fun toString(): String = text
}

/**
 * Number of a model's weights; a later number replaces an earlier one.
 *
 * @property number the number, from 1
 */
@JvmInline
public value class WeightsNumber(public val number: Long) : Comparable<WeightsNumber> {
    override fun compareTo(other: WeightsNumber): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/**
 * One run of a replica.
 *
 * @property id the replica's identity
 * @property startedAt start of the run in Unix milliseconds, 0 if not listed
 */
public data class ReplicaIncarnation(public val id: ReplicaId, public val startedAt: Long)

/**
 * A replica as listed by the platform.
 *
 * @property id its identity
 * @property startedAt start of this incarnation in Unix milliseconds, 0 if not listed
 * @property service the service that it belongs to
 * @property address host and port
 * @property failureDomain where it runs
 * @property slots number of requests that it can run concurrently
 * @property isDraining whether it accepts no new requests
 * @property warmUpLeft remaining time in which it is slow after its start
 * @property weights loaded weights by model
 * @property software version of its software, null if not listed
 */
public data class Replica(
    public val id: ReplicaId,
    public val startedAt: Long,
    public val service: ServiceName,
    public val address: String,
    public val failureDomain: FailureDomainName,
    public val slots: Int,
    public val isDraining: Boolean,
    public val warmUpLeft: Duration,
    public val weights: Map<ModelName, WeightsNumber>,
    public val software: SoftwareVersion? = null,
) {
    /** This run of the replica. */
    public val incarnation: ReplicaIncarnation get() = ReplicaIncarnation(id, startedAt)
}
