package org.guavapath.daemon.gateway

import com.github.michaelbull.result.getOrElse
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaCodec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Applies the store's list of replicas to the fleet state.
 *
 * Entries expire while the store is unavailable and are written again soon after it recovers; entries that are
 * missing right after an outage, or after the store has returned from an older copy, are therefore retained for
 * [RECOVERY_GRACE_PERIOD]. The copy may also list replicas as they were before they drained or left; what was known of
 * that holds for [STALE_COPY_PERIOD], within which the entries of replicas that are gone expire again.
 */
internal class ReplicaList(
    private val fleet: FleetState,
    private val pool: ReplicaPool,
    private val store: EraTrackingStore,
    private val log: GatewayLog,
) {
    private val leftAt = HashMap<ReplicaIncarnation, MonotonicTime>()
    private var listed = emptyMap<ReplicaId, Replica>()

    /** Called with each incarnation that is not listed any more, or only its next one, though it did not drain. */
    var onLost: (ReplicaIncarnation) -> Unit = {}
    private var ignored = emptySet<String>()

    /** Number of listed entries that name no replica. */
    val ignoredEntries: Int get() = ignored.size

    /** Applies the entries of [view]; returns after what time another update is due, null if no entry is held back. */
    fun update(view: StoreView): Duration? {
        val now = MonotonicTime.now()
        val decoded = decode(view)
        val present = if (isRestored(now, STALE_COPY_PERIOD)) withoutReturned(decoded) else decoded
        val isAfterOutage = !view.isAvailable || now - view.health.recoveredAt < RECOVERY_GRACE_PERIOD ||
            isRestored(now, RECOVERY_GRACE_PERIOD)
        val kept = if (isAfterOutage) listed.filterKeys { it !in decoded && it.text !in view.objects } else emptyMap()
        logChanges(present + kept)
        recordLeft(present + kept, now)
        listed = present + kept
        fleet.replicas.update(listed.values.toList()).forEach { lost ->
            fleet.directory.forget(lost)
            pool.drop(lost)
        }
        return if (kept.isEmpty() && present == decoded) null else nextUpdate(view, now)
    }

    /** Returns the time until the first of the periods ends for which entries are held back. */
    private fun nextUpdate(view: StoreView, now: MonotonicTime): Duration {
        val restored = store.restoredAt?.let { listOf(it + RECOVERY_GRACE_PERIOD, it + STALE_COPY_PERIOD) }.orEmpty()
        val ends = restored + (view.health.recoveredAt + RECOVERY_GRACE_PERIOD)
        val next = ends.filter { it > now }.minOrNull()?.let { it - now } ?: OUTAGE_CHECK_INTERVAL
        return if (view.isAvailable) next else minOf(next, OUTAGE_CHECK_INTERVAL)
    }

    private fun isRestored(now: MonotonicTime, within: Duration) = store.restoredAt?.let { now - it < within } ?: false

    /** Returns [decoded] without replicas that had left before the store returned; those that drained still do. */
    private fun withoutReturned(decoded: Map<ReplicaId, Replica>): Map<ReplicaId, Replica> {
        val restoredAt = store.restoredAt ?: return decoded
        return decoded.filterValues { replica -> leftAt[replica.incarnation].let { it == null || it > restoredAt } }
            .mapValues { (id, replica) ->
                val known = listed[id]?.takeIf { it.incarnation == replica.incarnation }
                if (known?.isDraining == true) replica.copy(isDraining = true) else replica
            }
    }

    private fun recordLeft(next: Map<ReplicaId, Replica>, now: MonotonicTime) {
        leftAt.values.removeIf { now - it > LEFT_RETENTION }
        listed.values.filter { next[it.id]?.incarnation != it.incarnation }
            .forEach {
                if (leftAt.putIfAbsent(it.incarnation, now) == null && !it.isDraining) onLost(it.incarnation)
            }
        next.values.forEach { leftAt.remove(it.incarnation) }
    }

    /** Returns the replicas that the entries of [view] name; the other entries are ignored. */
    private fun decode(view: StoreView): Map<ReplicaId, Replica> {
        val faults = LinkedHashMap<String, String>()
        val decoded = view.objects.mapNotNull { (name, stored) ->
            ReplicaCodec.entry(name, stored.value).getOrElse {
                faults[name] = stored.fault ?: it
                null
            }
        }
        logIgnored(faults)
        return decoded.associateBy { it.id }
    }

    /** Logs entries that were not ignored before, by their names, a limited number of them. */
    private fun logIgnored(faults: Map<String, String>) {
        val new = faults.filterKeys { it !in ignored }
        new.entries.take(MAX_LOGGED_ENTRIES).forEach { (name, fault) ->
            log.stateChange("replica entry ignored", "replica" to name.take(MAX_LOGGED_LENGTH), "error" to fault)
        }
        if (new.size > MAX_LOGGED_ENTRIES) log.stateChange("replica entries ignored", "entries" to faults.size)
        ignored = faults.keys
    }

    private fun logChanges(next: Map<ReplicaId, Replica>) {
        (next.keys - listed.keys).forEach {
            log.stateChange(
                "replica listed",
                "replica" to it.text,
                "address" to next[it]?.address
            )
        }
        (listed.keys - next.keys).forEach { log.stateChange("replica gone", "replica" to it.text) }
        next.values.filter { it.isDraining && listed[it.id]?.isDraining == false }
            .forEach { log.stateChange("replica draining", "replica" to it.id.text) }
    }

    private companion object {
        /** Live replicas are listed again within about two seconds of the store's recovery. */
        val RECOVERY_GRACE_PERIOD = 2200.milliseconds

        /** While the store does not respond, it is not known when the time to hold back entries begins. */
        val OUTAGE_CHECK_INTERVAL = 300.milliseconds

        /** Longer than three intervals at which replicas write their entries, after which silent ones are removed. */
        val STALE_COPY_PERIOD = 5.seconds

        const val MAX_LOGGED_ENTRIES = 20
        const val MAX_LOGGED_LENGTH = 200

        /** Older than any copy that the store returns from. */
        val LEFT_RETENTION = 60.seconds
    }
}
