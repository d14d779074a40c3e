/** The messages between daemons, sent as CBOR with a four-byte length prefix. */
package org.guavapath.daemon.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.ConfigurationVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.limits.LimitMessage
import org.guavapath.core.limits.SlotTable
import org.guavapath.core.platform.ObjectVersion

/** Version of the protocol that all linked daemons understand; both ends must have the same. */
internal const val PROTOCOL_VERSION = 2

/** Highest version that this build understands; a peer receives no message of a version later than its own. */
internal const val HIGHEST_PROTOCOL_VERSION = 7

/** The version that introduced rates of replicas and eras of the store. */
private const val VERSION_OF_RATES_AND_ERAS = 3

/** The version that introduced ages of target weights and suspects of all kinds. */
private const val VERSION_OF_SUSPECTS_AND_AGES = 4

/** The version that introduced incarnations of loads and invitations to take the rollout lease. */
private const val VERSION_OF_INVITATIONS = 5

/** The version that introduced replicas that say that they leave. */
private const val VERSION_OF_LEAVING_REPLICAS = 6

/** The version that introduced crash reports with all suspects of a request. */
private const val VERSION_OF_CRASH_REPORTS = 7

/** A message between two daemons. */
@Serializable
internal sealed class PeerMessage {
    /** Protocol version since which daemons understand the message. */
    open val sinceVersion: Int get() = PROTOCOL_VERSION

    /** Returns the message as daemons of [version] understand it, null if they do not. */
    open fun forVersion(version: Int): PeerMessage? = takeIf { sinceVersion <= version }

    /**
     * First message of each end: its identity and a random challenge.
     *
     * @property challenge random text; since version 3 also the highest version that the sender understands, as builds
     *   of version 2 accept any challenge but no further property
     */
    @Serializable
    data class Hello(
        val protocolVersion: Int,
        val vm: VmId,
        val incarnation: Incarnation,
        val challenge: String,
    ) : PeerMessage() {
        /** Highest protocol version that the sender understands. */
        val highestVersion: Int
            get() = challenge.substringAfter(VERSION_SEPARATOR, "").toIntOrNull() ?: protocolVersion

        companion object {
            private const val VERSION_SEPARATOR = ";"

            /** Returns a challenge of [randomText] and the sender's highest [version]. */
            fun challenge(randomText: String, version: Int): String = randomText + VERSION_SEPARATOR + version
        }
    }

    /** Second message of each end: the keyed hash of its own [Hello] and the other end's challenge. */
    @Serializable
    data class Proof(val code: String) : PeerMessage()

    /** Keeps an idle link open. */
    @Serializable
    data object Heartbeat : PeerMessage()

    /** A message about workspace tokens. */
    @Serializable
    data class OfLimits(val message: LimitMessage) : PeerMessage()

    /** The sender's copy of the slot table, for daemons that cannot read it from the platform. */
    @Serializable
    data class SlotTableShared(val table: SlotTable, val version: ObjectVersion) : PeerMessage()

    /** A message about configurations. */
    @Serializable
    sealed class OfConfiguration : PeerMessage()

    /** The sender has this version. */
    @Serializable
    data class ConfigurationOffer(val version: ConfigurationVersion) : OfConfiguration()

    /** The sender requests this version or a later one. */
    @Serializable
    data class ConfigurationWanted(val version: ConfigurationVersion) : OfConfiguration()

    /** A whole configuration. */
    @Serializable
    data class ConfigurationContent(val change: AcceptedChange, val parts: List<String>) : OfConfiguration()

    /** A message between gateways. */
    @Serializable
    sealed class OfFleet : PeerMessage()

    /**
     * The status that a gateway publishes several times a second.
     *
     * @property isHub whether the sender is a hub or an equal; false for a member, which reports to its hub
     * @property vms number of gateways that the usage and loads cover
     * @property views revision at which the sender's copy of each kind of objects last changed
     * @property usage tokens that these gateways admitted since the sender's start, by workspace
     * @property loads work of these gateways, by replica
     * @property isServedByStore whether the store responds to the sender
     * @property rollout holder of the rollout lease as far as the sender knows
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

    /** The usage of a [FleetStatus], published between two statuses. */
    @Serializable
    data class UsageTold(val incarnation: Incarnation, val vms: Int, val usage: Map<WorkspaceName, Long>) : OfFleet()

    /** Work at one replica: prompt tokens that it has not read yet, and requests. */
    @Serializable
    @CborArray
    data class SharedLoad(val promptTokens: Long, val requests: Int)

    /** The gateway [vm] that orders replicas to load weights, and its [fencingToken]. */
    @Serializable
    data class RolloutHolder(val vm: VmId, val fencingToken: Long)

    /** The sender requests the receiver's copy of [kind]. */
    @Serializable
    data class ViewWanted(val kind: String) : OfFleet()

    /** A whole copy of [kind]: the objects by name. */
    @Serializable
    data class ViewContent(val kind: String, val asOf: Long, val objects: Map<String, SharedObject>) : OfFleet()

    /** Changes of [kind] that the sender, a hub, received from the store: all from the revision [after] to [asOf]. */
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

    /**
     * A [message] with revisions of the store, which are of [era].
     *
     * Daemons of version 2 receive [message] alone, as they know of no eras.
     */
    @Serializable
    data class OfEra(val era: Long, val message: OfFleet) : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_RATES_AND_ERAS

        override fun forVersion(version: Int): PeerMessage? = super.forVersion(version) ?: message.forVersion(version)
    }

    /**
     * What the operator has written, as far as the sender knows; independent of the store's revisions.
     *
     * @property configuration the newest configuration, null if there is none
     * @property weights the newest target weights by object name
     * @property isGreeting whether the link is new, so that the receiver answers with what it knows
     */
    @Serializable
    data class OperatorTold(
        val configuration: SharedObject?,
        val weights: Map<String, SharedObject>,
        val isGreeting: Boolean,
    ) : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_RATES_AND_ERAS
    }

    /** A stored object, with its value as JSON text. */
    @Serializable
    data class SharedObject(val revision: Long, val json: String)

    /** Prompts were sent to replicas; [steps] are the hashes of their shared prefixes by replica. */
    @Serializable
    data class PromptsRead(val steps: Map<String, List<Long>>) : OfFleet()

    /** A message about crashes of replicas. */
    @Serializable
    sealed class OfCrashes : OfFleet()

    /**
     * Requests that replicas had when they ended.
     *
     * @property isGreeting whether the link is new, so that the receiver answers with what it knows
     */
    @Serializable
    data class CrashReports(val reports: List<SharedCrashReport>, val isGreeting: Boolean) : OfCrashes() {
        override val sinceVersion: Int get() = VERSION_OF_CRASH_REPORTS

        override fun forVersion(version: Int): PeerMessage? =
            super.forVersion(version) ?: PromptCrashes(reports.mapNotNull { it.forEarlierVersions() }, isGreeting)
    }

    /** Hashes of parts of prompts, and of whole requests. */
    @Serializable
    data class SharedSuspects(val parts: List<Long>, val requests: List<Long>)

    /**
     * One crash report.
     *
     * @property startedAt start of the incarnation that crashed, in Unix milliseconds
     * @property sentMillisecondsAgo time since the request was sent
     * @property ageMilliseconds time since the crash
     */
    @Serializable
    data class SharedCrashReport(
        val replica: String,
        val startedAt: Long,
        val request: RequestId,
        val sentMillisecondsAgo: Long,
        val ageMilliseconds: Long,
        val suspects: SharedSuspects,
        val isStalled: Boolean,
        val answeredBefore: SharedSuspects,
        val answeredSince: SharedSuspects,
        val outlived: SharedSuspects,
        val trials: Int,
    ) {
        /** Returns the report for builds that know parts of prompts only, null if the request has none. */
        fun forEarlierVersions(): SharedCrash? = SharedCrash(
            replica,
            startedAt,
            request,
            ageMilliseconds,
            if (isStalled) CrashStage.BEFORE_FIRST_EVENT else CrashStage.JUST_BEGUN,
            suspects.parts,
            answeredBefore.parts,
            answeredSince.parts,
            trials,
        ).takeIf { suspects.parts.isNotEmpty() }
    }

    /** How far a response had come when its replica crashed, as builds before [VERSION_OF_CRASH_REPORTS] say it. */
    enum class CrashStage { BEFORE_FIRST_EVENT, JUST_BEGUN }

    /**
     * All that the sender, of a build before [VERSION_OF_CRASH_REPORTS], knows of crashes that prompts may have caused.
     *
     * @property isGreeting whether the link is new, so that the receiver answers with what it knows
     */
    @Serializable
    data class PromptCrashes(val reports: List<SharedCrash>, val isGreeting: Boolean) : OfCrashes()

    /**
     * One crash report; parts of prompts are hashes.
     *
     * @property startedAt start of the incarnation that crashed, in Unix milliseconds
     * @property ageMilliseconds time since the crash
     */
    @Serializable
    data class SharedCrash(
        val replica: String,
        val startedAt: Long,
        val request: RequestId,
        val ageMilliseconds: Long,
        val stage: CrashStage,
        val parts: List<Long>,
        val answeredBefore: List<Long>,
        val answeredSince: List<Long>,
        val trials: Int,
    )

    /**
     * Crashes of replicas that had certain requests, and which of these requests were answered since; sent by builds
     * before [VERSION_OF_CRASH_REPORTS].
     *
     * @property answeredAgo by key, milliseconds since a request like it was answered completely
     * @property isGreeting whether the link is new, so that the receiver answers with what it knows
     */
    @Serializable
    data class RequestCrashes(
        val crashes: List<SharedRequestCrash>,
        val answeredAgo: Map<Long, Long>,
        val isGreeting: Boolean,
    ) : OfCrashes() {
        override val sinceVersion: Int get() = VERSION_OF_SUSPECTS_AND_AGES
    }

    /**
     * A replica crashed while it had a request.
     *
     * @property key hash of the whole request
     * @property startedAt start of the incarnation that crashed, in Unix milliseconds
     * @property ageMilliseconds time since the crash
     * @property depth number of crashes in a row
     */
    @Serializable
    data class SharedRequestCrash(
        val key: Long,
        val replica: String,
        val startedAt: Long,
        val request: RequestId,
        val ageMilliseconds: Long,
        val depth: Int,
    )

    /** A message about the rates of requests that replicas name. */
    @Serializable
    sealed class OfRates : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_RATES_AND_ERAS
    }

    /**
     * Rates that the sender knows, and its ballot on who hands out permits.
     *
     * @property candidates VMs among which the sender chooses arbiters, empty if it is a member of a hub
     * @property vms number of VMs that ask for permits through the sender
     * @property isGreeting whether the link is new, so that the receiver answers with all that it knows
     */
    @Serializable
    data class RatesTold(
        val rates: List<SharedRate>,
        val candidates: Set<VmId>,
        val vms: Int,
        val isGreeting: Boolean,
    ) : OfRates()

    /**
     * The rate of one incarnation of a replica.
     *
     * @property perSecond requests per second, null if the replica has no rate any more
     * @property ageMilliseconds time since the replica stated it
     */
    @Serializable
    data class SharedRate(
        val replica: String,
        val startedAt: Long,
        val perSecond: Double?,
        val ageMilliseconds: Long,
    )

    /**
     * The sender asks for a permit to send one request.
     *
     * @property number identifies the question among those of the sender
     * @property rate the replica's rate as the sender knows it
     * @property isMandatory whether the request is sent in any case and is only to be counted
     */
    @Serializable
    data class PermitWanted(val number: Long, val rate: SharedRate, val isMandatory: Boolean) : OfRates()

    /** The answer to the question [number]; if it is denied, when the next permit is expected. */
    @Serializable
    data class PermitDecided(
        val number: Long,
        val isGranted: Boolean,
        val retryAfterMilliseconds: Long,
    ) : OfRates()

    /** A message about when target weights were named. */
    @Serializable
    sealed class OfTargets : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_SUSPECTS_AND_AGES
    }

    /** The sender asks what the receiver knows; [number] identifies the question among those of the sender. */
    @Serializable
    data class TargetAgesWanted(val number: Long) : OfTargets()

    /** The answer to the question [number]: the recent targets by model, oldest first. */
    @Serializable
    data class TargetAgesTold(val number: Long, val namings: Map<String, List<SharedNaming>>) : OfTargets()

    /**
     * When a target was named; times are ages in milliseconds.
     *
     * @property learned time since the first gateway is known to have learned of it
     * @property witnessed time since the first gateway saw it change, null if all found it
     * @property notBefore time since it is known not to have been named yet, null if unknown
     */
    @Serializable
    data class SharedNaming(val number: Long, val learned: Long, val witnessed: Long?, val notBefore: Long?)

    /** A message about replicas that change their weights. */
    @Serializable
    sealed class OfRollout : OfFleet()

    /** The replica loads weights for up to [milliseconds] and should receive no requests meanwhile. */
    @Serializable
    data class ReplicaLoading(val replica: String, val milliseconds: Long) : OfRollout()

    /** The replica has weights [number] of [model] now. */
    @Serializable
    data class ReplicaLoaded(val replica: String, val model: String, val number: Long) : OfRollout()

    /**
     * An incarnation of a replica has loaded weights.
     *
     * Daemons of versions before receive [loaded] alone.
     *
     * @property incarnation start of the incarnation in Unix milliseconds, 0 if not listed
     */
    @Serializable
    data class IncarnationLoaded(val incarnation: Long, val loaded: ReplicaLoaded) : OfRollout() {
        override val sinceVersion: Int get() = VERSION_OF_INVITATIONS

        override fun forVersion(version: Int): PeerMessage? = super.forVersion(version) ?: loaded.forVersion(version)
    }

    /**
     * Replicas have said that they leave.
     *
     * @property startedAt the start of each replica's incarnation in Unix milliseconds, 0 if not listed
     */
    @Serializable
    data class ReplicasLeaving(val startedAt: Map<String, Long>) : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_LEAVING_REPLICAS
    }

    /** The sender holds the rollout lease, but does not get its orders through; the receiver should take the lease. */
    @Serializable
    data object RolloutInvitation : OfFleet() {
        override val sinceVersion: Int get() = VERSION_OF_INVITATIONS
    }
}

/** Sends messages to other daemons; a message to a daemon that cannot be reached is dropped. */
internal interface PeerSender {
    fun send(to: VmId, message: PeerMessage)

    fun sendToAll(message: PeerMessage)
}
