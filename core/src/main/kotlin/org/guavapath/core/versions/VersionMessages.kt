package org.guavapath.core.versions

import org.guavapath.core.identity.Incarnation
import kotlin.time.Duration

/**
 * What a gateway tells the order-giver. All numbers have counted up since this run of the gateway learned of the order.
 *
 * @property order the order
 * @property incarnation run of the gateway
 * @property number counts the reports
 * @property age time since the gateway, or one that it has heard of, learned of the order
 * @property token fencing token of the newest grant that it has received, 0 before the first
 * @property heard number of the newest grant that it has received under that token, 0 before the first
 * @property ceiling highest ceiling that it has heard of under that token
 * @property formerCeiling highest ceiling that it has heard of under lower tokens
 * @property phase phase that it acts on
 * @property requests requests of the service by route
 * @property sent requests sent to the target under [token], by route
 * @property returned granted requests under [token] that it will not send, by route
 * @property answers answers of both versions
 * @property runningOnOld its requests that run on replicas of other versions
 */
public data class VersionReport(
    public val order: VersionOrder,
    public val incarnation: Incarnation,
    public val number: Long,
    public val age: Duration,
    public val token: Long,
    public val heard: Long,
    public val ceiling: Long,
    public val formerCeiling: Long,
    public val phase: VersionPhase,
    public val requests: Map<RouteName, Long>,
    public val sent: Map<RouteName, Long>,
    public val returned: Map<RouteName, Long>,
    public val answers: AnswerCounts,
    public val runningOnOld: Int,
)

/**
 * What the order-giver tells one gateway.
 *
 * @property order the order
 * @property incarnation run of the gateway that it is for
 * @property number counts the grants of this order-giver
 * @property answered number of the gateway's last report that it rests on
 * @property token fencing token of the order-giver
 * @property age age of the order
 * @property phase the phase
 * @property ceiling how many requests all gateways together may have sent to the target
 * @property granted how many requests of each route this run may have sent under [token], returned ones included
 */
public data class VersionGrant(
    public val order: VersionOrder,
    public val incarnation: Incarnation,
    public val number: Long,
    public val answered: Long,
    public val token: Long,
    public val age: Duration,
    public val phase: VersionPhase,
    public val ceiling: Long,
    public val granted: Map<RouteName, Long>,
)

/**
 * What the store keeps of an order, written before any grant under its ceiling.
 *
 * @property order the order
 * @property ceiling how many requests all gateways together may have been granted
 * @property requests requests of the service that were known to have come
 * @property age age of the order
 * @property phase the phase
 */
public data class VersionProgress(
    public val order: VersionOrder,
    public val ceiling: Long,
    public val requests: Long,
    public val age: Duration,
    public val phase: VersionPhase,
)
