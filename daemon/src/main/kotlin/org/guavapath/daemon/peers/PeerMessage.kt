/** The messages between daemons. Frames are CBOR with a length of four bytes before them. */
package org.guavapath.daemon.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.ConfigurationVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.limits.LimitMessage
import org.guavapath.core.limits.SlotTable
import org.guavapath.core.platform.ObjectVersion

/** Number of the protocol between daemons; both ends must have the same. */
internal const val PROTOCOL_VERSION = 1

/** A message between two daemons. */
@Serializable
internal sealed class PeerMessage {
    /** First message of each side: who it is, and a random challenge to the other. */
    @Serializable
    data class Hello(
        val protocolVersion: Int,
        val vm: VmId,
        val incarnation: Incarnation,
        val challenge: String,
    ) : PeerMessage()

    /** Second message of each side: the keyed hash of the other's challenge and of the own [Hello]. */
    @Serializable
    data class Proof(val code: String) : PeerMessage()

    /** Says that the link works. */
    @Serializable
    data object Heartbeat : PeerMessage()

    /** A message about workspace tokens. */
    @Serializable
    data class OfLimits(val message: LimitMessage) : PeerMessage()

    /** The slot table as the sender knows it, for daemons that cannot read it at the platform. */
    @Serializable
    data class SlotTableShared(val table: SlotTable, val version: ObjectVersion) : PeerMessage()

    /** A message about configurations. */
    @Serializable
    sealed class OfConfiguration : PeerMessage()

    /** The sender has this version. */
    @Serializable
    data class ConfigurationOffer(val version: ConfigurationVersion) : OfConfiguration()

    /** The sender wants this version or a later one. */
    @Serializable
    data class ConfigurationWanted(val version: ConfigurationVersion) : OfConfiguration()

    /** A whole configuration. */
    @Serializable
    data class ConfigurationContent(val change: AcceptedChange, val parts: List<String>) : OfConfiguration()

    /** A message between gateways. */
    @Serializable
    sealed class OfFleet : PeerMessage()

    /**
     * What a gateway tells the others several times a second.
     *
     * @property isHub whether it is told to an equal or a member, otherwise by a member to its hub
     * @property vms number of gateways whose usage and loads it holds
     * @property views revision at which its copy of each kind of objects last changed
     * @property usage tokens that they admitted since its start, by workspace
     * @property loads their work at replicas, by replica
     * @property isServedByStore whether the store serves it
     * @property rollout the holder of the rollout lease as it knows it
     */
    @Serializable
    data class FleetStatus(
        val incarnation: Incarnation,
        val isHub: Boolean,
        val vms: Int,
        val views: Map<String, Long>,
        val usage: Map<WorkspaceName, Long>,
        val loads: Map<String, SharedLoad>,
        val isServedByStore: Boolean,
        val rollout: RolloutHolder?,
    ) : OfFleet()

    /** The usage of a [FleetStatus] alone. */
    @Serializable
    data class UsageTold(val incarnation: Incarnation, val vms: Int, val usage: Map<WorkspaceName, Long>) : OfFleet()

    /** Work at one replica: prompt tokens that are not read yet, and requests. */
    @Serializable
    @CborArray
    data class SharedLoad(val promptTokens: Long, val requests: Int)

    /** The gateway [vm] gives the orders to load weights, with [fencingToken]. */
    @Serializable
    data class RolloutHolder(val vm: VmId, val fencingToken: Long)

    /** The sender wants the other's copy of [kind]. */
    @Serializable
    data class ViewWanted(val kind: String) : OfFleet()

    /** A whole copy of [kind]: the values as JSON text by name. */
    @Serializable
    data class ViewContent(val kind: String, val asOf: Long, val objects: Map<String, SharedObject>) : OfFleet()

    /** Changes of [kind] that the sender, a hub, saw after the revision [after]. */
    @Serializable
    data class ViewChanged(
        val kind: String,
        val after: Long,
        val asOf: Long,
        val changes: List<SharedChange>,
    ) : OfFleet()

    /** One change; [present] is null for an object that was removed. */
    @Serializable
    data class SharedChange(val name: String, val revision: Long, val present: SharedObject?)

    /** An object as it lies in the store. */
    @Serializable
    data class SharedObject(val revision: Long, val json: String)

    /** Replicas were sent prompts; [steps] are hashes of the shared beginnings by replica. */
    @Serializable
    data class PromptsRead(val steps: Map<String, List<Long>>) : OfFleet()

    /** The replica loads weights for up to [milliseconds] and should get no requests meanwhile. */
    @Serializable
    data class ReplicaLoading(val replica: String, val milliseconds: Long) : OfFleet()

    /** The replica has weights [number] of [model] now. */
    @Serializable
    data class ReplicaLoaded(val replica: String, val model: String, val number: Long) : OfFleet()
}

/** Sends messages to other daemons; a message to a daemon that cannot be reached is dropped. */
internal interface PeerSender {
    fun send(to: VmId, message: PeerMessage)

    fun sendToAll(message: PeerMessage)
}
