/** The messages between gateways about moving services to other versions. */
package org.guavapath.daemon.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId

/** The version that introduced moves of services to other versions. */
private const val VERSION_OF_MOVES = 8

/** A message about moving a service to another version. Hubs pass it on. */
@Serializable
internal sealed class VersionMessage : PeerMessage.OfFleet() {
    override val sinceVersion: Int get() = VERSION_OF_MOVES

    /** The gateway [origin] tells the order-giver what it has sent and what was answered. */
    @Serializable
    data class Reported(val origin: VmId, val report: SharedVersionReport) : VersionMessage()

    /** The order-giver tells the gateway [recipient] what it may send. */
    @Serializable
    data class Granted(val recipient: VmId, val grant: SharedVersionGrant) : VersionMessage()
}

/** An order; [createdAt] is the revision number of its creation. */
@Serializable
@CborArray
internal data class SharedOrder(
    val service: String,
    val target: String,
    val durationMilliseconds: Long,
    val createdAt: Long,
)

/** A phase by its name, with the [reason] for which a version was left. */
@Serializable
@CborArray
internal data class SharedPhase(val name: SharedPhaseName, val reason: String)

/** The phases of a move. */
@Serializable
internal enum class SharedPhaseName { TRIAL, MOVE, DONE, ROLLED_BACK }

/** Requests of one route: all, sent to the target, and granted ones that were given back. */
@Serializable
@CborArray
internal data class SharedRouteUse(val requests: Long, val sent: Long, val returned: Long)

/** Answers of one source; [replica] is null for all old ones together, [times] counts by class of time. */
@Serializable
@CborArray
internal data class SharedAnswers(
    val route: String,
    val load: Int,
    val reading: Int,
    val replica: String?,
    val answers: Long,
    val failures: Long,
    val times: Map<Int, Long>,
)

/** What a gateway reports; numbers count up since this run of it learned of the order. */
@Serializable
internal data class SharedVersionReport(
    val order: SharedOrder,
    val incarnation: Incarnation,
    val number: Long,
    val ageMilliseconds: Long,
    val token: Long,
    val heard: Long,
    val ceiling: Long,
    val formerCeiling: Long,
    val phase: SharedPhase,
    val routes: Map<String, SharedRouteUse>,
    val answers: List<SharedAnswers>,
    val runningOnOld: Int,
)

/** What the order-giver grants; [answered] is the number of the report that it rests on. */
@Serializable
internal data class SharedVersionGrant(
    val order: SharedOrder,
    val incarnation: Incarnation,
    val number: Long,
    val answered: Long,
    val token: Long,
    val ageMilliseconds: Long,
    val phase: SharedPhase,
    val ceiling: Long,
    val granted: Map<String, Long>,
)

/** What the store keeps of an order. */
@Serializable
internal data class VersionProgressRecord(
    val order: SharedOrder,
    val ceiling: Long,
    val requests: Long,
    val ageMilliseconds: Long,
    val phase: SharedPhase,
)
