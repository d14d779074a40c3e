package org.guavapath.core.placement

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Work at one replica.
 *
 * @property promptTokens tokens of prompts that are not read yet
 * @property requests requests that wait or run
 */
public data class ReplicaLoad(public val promptTokens: Long, public val requests: Int) {
    /** Returns the sum of both. */
    public operator fun plus(other: ReplicaLoad): ReplicaLoad =
        ReplicaLoad(promptTokens + other.promptTokens, requests + other.requests)

    /** Holds the load of an idle replica. */
    public companion object {
        /** No work. */
        public val NONE: ReplicaLoad = ReplicaLoad(0, 0)
    }
}

/** What this VM knows of one replica: the list's entry, its own requests there, and other VMs' reports. */
public class ReplicaRecord(entry: Replica) {
    private class PeerReport(val load: ReplicaLoad, val at: MonotonicTime)

    private val peerReports = HashMap<VmId, PeerReport>()
    private val seenWeights = HashMap<ModelName, WeightsNumber>()

    /** The newest entry of the list. */
    public var entry: Replica = entry
        private set

    /** Health by this VM's own requests. */
    public val health: ReplicaHealth = ReplicaHealth()

    /** Work that this VM has at the replica. */
    public var ownLoad: ReplicaLoad = ReplicaLoad.NONE
        private set

    /** Until when the replica loads weights, as far as the one who ordered it said. */
    public var loadingUntil: MonotonicTime = MonotonicTime.ZERO

    /** Takes over a newer [newer] of the same incarnation. */
    public fun update(newer: Replica) {
        newer.weights.forEach { (model, number) ->
            if (entry.weights[model] != number) seenWeights.remove(model)
        }
        entry = newer
    }

    /** The weights that requests for [model] meet there; null if unknown. */
    public fun weights(model: ModelName): WeightsNumber? {
        val listed = entry.weights[model]
        val seen = seenWeights[model]
        return if (listed == null || seen == null) seen ?: listed else maxOf(listed, seen)
    }

    /** Records the weights that an answer or the one who ordered them told. */
    public fun sawWeights(model: ModelName, number: WeightsNumber) {
        if (weights(model).let { it == null || it < number }) seenWeights[model] = number
    }

    /** A request with [promptTokens] unread tokens was sent. */
    public fun began(promptTokens: Long) {
        ownLoad += ReplicaLoad(promptTokens, 1)
    }

    /** The prompt of a request was read. */
    public fun promptRead(promptTokens: Long) {
        ownLoad += ReplicaLoad(-promptTokens, 0)
    }

    /** A request ended. */
    public fun ended() {
        ownLoad += ReplicaLoad(0, -1)
    }

    /** Takes over what [peer] has at the replica. */
    public fun report(peer: VmId, load: ReplicaLoad, now: MonotonicTime) {
        peerReports[peer] = PeerReport(load, now)
    }

    /** Work of this VM and of all that reported lately, but for [except]. */
    public fun load(now: MonotonicTime, except: Set<VmId> = emptySet()): ReplicaLoad {
        peerReports.values.removeIf { now - it.at > REPORT_AGE }
        return peerReports.entries.fold(ownLoad) { sum, (peer, report) ->
            if (peer in except) sum else sum + report.load
        }
    }

    private companion object {
        /** Reports come every 250 ms while there is load; an old one says nothing about the present. */
        val REPORT_AGE = 600.milliseconds
    }
}

/** All listed replicas. */
public class ReplicaBook {
    private val records = HashMap<ReplicaId, ReplicaRecord>()
    private var byService = emptyMap<ServiceName, List<ReplicaRecord>>()

    /** All records. */
    public val all: Collection<ReplicaRecord> get() = records.values

    /**
     * Replaces the list and returns the identities that are gone or started anew, whose memory is empty.
     */
    public fun update(entries: List<Replica>): Set<ReplicaId> {
        val present = entries.associateBy { it.id }
        val lost = records.keys.filter { it !in present }.toMutableSet()
        records.keys.removeAll(lost)
        entries.forEach { entry ->
            val record = records[entry.id]
            when {
                record == null -> records[entry.id] = ReplicaRecord(entry)
                record.entry.bornAt != entry.bornAt || record.entry.address != entry.address -> {
                    records[entry.id] = ReplicaRecord(entry)
                    lost.add(entry.id)
                }
                else -> record.update(entry)
            }
        }
        byService = records.values.groupBy { it.entry.service }
        return lost
    }

    /** Returns the record of [id], null if it is not listed. */
    public operator fun get(id: ReplicaId): ReplicaRecord? = records[id]

    /** Returns the replicas of [service]. */
    public fun of(service: ServiceName): List<ReplicaRecord> = byService[service].orEmpty()
}
