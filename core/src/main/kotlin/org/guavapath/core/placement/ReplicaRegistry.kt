package org.guavapath.core.placement

import org.guavapath.core.availability.LeavingReplicas
import org.guavapath.core.availability.ReplicaPauses
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Load of one replica.
 *
 * @property promptTokens prompt tokens that are not prefilled yet
 * @property requests queued and running requests
 */
public data class ReplicaLoad(public val promptTokens: Long, public val requests: Int) {
    /** Returns the sum of both loads. */
    public operator fun plus(other: ReplicaLoad): ReplicaLoad =
        ReplicaLoad(promptTokens + other.promptTokens, requests + other.requests)

    /** Provides the load of an idle replica. */
    public companion object {
        /** Load of an idle replica. */
        public val NONE: ReplicaLoad = ReplicaLoad(0, 0)
    }
}

/**
 * State of one replica as known to this VM: its listed entry, this VM's own requests, and reports of other VMs.
 *
 * @param leaving the replicas that have said that they leave
 */
public class ReplicaRecord(entry: Replica, private val leaving: LeavingReplicas) {
    private class PeerReport(val load: ReplicaLoad, val at: MonotonicTime)

    private class Assumption(val number: WeightsNumber, val until: MonotonicTime)

    private val peerReports = HashMap<VmId, PeerReport>()
    private val assumedWeights = HashMap<ModelName, Assumption>()

    /** The latest listed entry. */
    public var entry: Replica = entry
        private set

    /** What is known of the weights that it has loaded. */
    public val modelWeights: ReplicaWeights = ReplicaWeights(entry.weights)

    /** Whether it has said in a response that it leaves. */
    public val isLeaving: Boolean get() = entry.incarnation in leaving

    /** Whether it takes no new requests any more, by its list entry or by what it has said itself. */
    public val isWithdrawn: Boolean get() = isLeaving || entry.isDraining

    /** Health as observed by this VM's own requests. */
    public val health: ReplicaHealth = ReplicaHealth()

    /** Load from this VM's own requests. */
    public var ownLoad: ReplicaLoad = ReplicaLoad.NONE
        private set

    /** End of the replica's current weights load, as announced by the VM that ordered it. */
    public var loadingUntil: MonotonicTime = MonotonicTime.ZERO

    /** Until when the replica should receive no requests, as it has rejected some. */
    public var avoidedUntil: MonotonicTime = MonotonicTime.ZERO

    /** Replaces the entry with [newer] of the same incarnation; weights that it changes replace those known before. */
    public fun update(newer: Replica) {
        modelWeights.update(newer.weights)
        entry = newer
    }

    /** Returns the weights that the replica serves [model] with, null if unknown. */
    public fun weights(model: ModelName): WeightsNumber? = modelWeights.number(model)

    /** Returns the weights that a request should expect, which may be assumed at [now]; null if unknown. */
    public fun expectedWeights(model: ModelName, now: MonotonicTime): WeightsNumber? {
        val assumed = assumedWeights[model]?.takeIf { it.until > now }?.number
        return listOfNotNull(weights(model), assumed).maxOrNull()
    }

    /**
     * Assumes until [until] that the replica has weights [number], as it does not have those that were expected. Only
     * requests that the replica rejects otherwise may rely on that.
     */
    public fun assumeWeights(model: ModelName, number: WeightsNumber, until: MonotonicTime) {
        assumedWeights[model] = Assumption(number, until)
    }

    /** Records that a request with [promptTokens] tokens to prefill was sent. */
    public fun requestSent(promptTokens: Long) {
        ownLoad += ReplicaLoad(promptTokens, 1)
    }

    /** Records that [promptTokens] of a request were prefilled. */
    public fun prefillEnded(promptTokens: Long) {
        ownLoad += ReplicaLoad(-promptTokens, 0)
    }

    /** Records that a request ended. */
    public fun requestEnded() {
        ownLoad += ReplicaLoad(0, -1)
    }

    /** Records the load that [peer] has at the replica. */
    public fun receiveReport(peer: VmId, load: ReplicaLoad, now: MonotonicTime) {
        peerReports[peer] = PeerReport(load, now)
    }

    /** Returns the load of this VM and of all VMs with a recent report, except those in [except]. */
    public fun load(now: MonotonicTime, except: Set<VmId> = emptySet()): ReplicaLoad {
        peerReports.values.removeIf { now - it.at > MAX_REPORT_AGE }
        return peerReports.entries.fold(ownLoad) { sum, (peer, report) ->
            if (peer in except) sum else sum + report.load
        }
    }

    private companion object {
        /** Reports arrive every 250 ms while there is load; older ones no longer reflect the current load. */
        val MAX_REPORT_AGE = 600.milliseconds
    }
}

/** Registry of all listed replicas. */
public class ReplicaRegistry {
    private val records = HashMap<ReplicaId, ReplicaRecord>()
    private var byService = emptyMap<ServiceName, List<ReplicaRecord>>()
    private var byAddress = emptyMap<String, List<ReplicaRecord>>()

    /** The replicas that have said that they leave. */
    public val leaving: LeavingReplicas = LeavingReplicas()

    /** The replicas that have named a time during which they take no requests of this VM. */
    public val pauses: ReplicaPauses = ReplicaPauses()

    /** All records. */
    public val all: Collection<ReplicaRecord> get() = records.values

    /**
     * Replaces the list and returns the replicas that were removed or restarted, whose cached state is lost.
     */
    public fun update(entries: List<Replica>): Set<ReplicaId> {
        val present = entries.associateBy { it.id }
        val lost = records.keys.filter { it !in present }.toMutableSet()
        records.keys.removeAll(lost)
        entries.forEach { entry ->
            val record = records[entry.id]
            when {
                record == null -> records[entry.id] = ReplicaRecord(entry, leaving)
                record.entry.startedAt != entry.startedAt || record.entry.address != entry.address -> {
                    records[entry.id] = ReplicaRecord(entry, leaving)
                    lost.add(entry.id)
                }
                else -> record.update(entry)
            }
        }
        byService = records.values.groupBy { it.entry.service }
        byAddress = records.values.groupBy { it.entry.address }
        return lost
    }

    /** Returns whether [replica], listed or not, may get a request, a report query or an order of this VM at [now]. */
    public fun takesRequests(replica: ReplicaIncarnation, now: MonotonicTime): Boolean =
        replica !in leaving && pauses.until(replica, now) == null

    /**
     * Returns when the first of the replicas of [service], apart from those in [excluded], takes requests again; null
     * if one does at [now], or if there is none.
     */
    public fun firstPauseEnd(
        service: ServiceName,
        now: MonotonicTime,
        excluded: Set<ReplicaId> = emptySet(),
    ): MonotonicTime? {
        val candidates = of(service).filter { !it.isWithdrawn && it.entry.id !in excluded }
        val ends = candidates.map { pauses.until(it.entry.incarnation, now) }
        return if (null in ends) null else ends.filterNotNull().minOrNull()
    }

    /** Returns the record of [id], null if it is not listed. */
    public operator fun get(id: ReplicaId): ReplicaRecord? = records[id]

    /** Returns the replicas of [service]. */
    public fun of(service: ServiceName): List<ReplicaRecord> = byService[service].orEmpty()

    /** Returns the replicas that are listed at [address]: more than one while the entry of a former one is left. */
    public fun at(address: String): List<ReplicaRecord> = byAddress[address].orEmpty()
}
