package org.guavapath.core.weights

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** The kinds of objects that a rollout depends on. */
internal enum class FleetKind { WEIGHTS, REPLICAS }

/** A target as stored. */
internal data class StoredTarget(val model: ModelName, val number: WeightsNumber, val revision: Revision)

/** The rollout lease as stored. */
internal data class StoredLease(val vm: VmId, val incarnation: Int, val token: FencingToken, val revision: Revision)

/** The objects of one kind, or the changes of it. */
internal data class FleetListing(
    val asOf: Revision,
    val newestChange: Revision,
    val targets: List<StoredTarget>,
    val entries: List<Replica>,
)

/** Result of a call; [value] may be null if there is no such object. */
internal sealed class StoreAnswer<out T> {
    data class Success<T>(val value: T, val era: StoreEra) : StoreAnswer<T>()
    data object Failure : StoreAnswer<Nothing>()
}

/** How the store treats the calls of a gateway; a call that begins while it is silent is never answered. */
internal enum class StoreAccess { SERVED, FAILING, SILENT }

/** The platform's object store. */
internal class FleetStore(private val clock: FleetClock, private val random: Random) {
    private class Copy(
        val at: MonotonicTime,
        val revision: Revision,
        val targets: List<StoredTarget>,
        val entries: Map<ReplicaId, Replica>,
        val lease: StoredLease?,
    )

    private class Watch(
        val vm: VmId,
        val kind: FleetKind,
        val after: Revision,
        val answer: (StoreAnswer<FleetListing?>) -> Unit,
    )

    private val copies = ArrayList<Copy>()
    private val watches = ArrayList<Watch>()
    private val entries = LinkedHashMap<ReplicaId, Replica>()
    private var revision = Revision(1, StoreEra(1))
    private var entriesChange = revision
    private var targets = emptyList<StoredTarget>()
    private var lease: StoredLease? = null
    private val access = HashMap<VmId, StoreAccess>()

    /** Returns the newest targets. */
    fun newest(): Map<ModelName, WeightsNumber> = targets.associate { it.model to it.number }

    fun name(model: ModelName, number: WeightsNumber) {
        targets = targets + StoredTarget(model, number, nextRevision())
        changed()
    }

    fun write(entry: Replica) {
        if (entries[entry.id] == entry) return
        entries[entry.id] = entry
        entriesChange = nextRevision()
        changed()
    }

    fun remove(id: ReplicaId) {
        if (entries.remove(id) == null) return
        entriesChange = nextRevision()
        changed()
    }

    /** Keeps a copy to which the store may return. */
    fun copy() = copies.add(Copy(clock.now, revision, targets, LinkedHashMap(entries), lease))

    /** Returns to the last copy that was made before [at]. */
    fun restore(at: MonotonicTime) {
        val copy = copies.lastOrNull { it.at <= at } ?: return
        val era = StoreEra(revision.era.number + 1)
        revision = Revision(copy.revision.number, era)
        targets = copy.targets.map { it.copy(revision = it.revision.copy(era = era)) }
        lease = copy.lease?.let { it.copy(revision = it.revision.copy(era = era)) }
        entries.clear()
        entries.putAll(copy.entries)
        entriesChange = revision
        watches.toList().forEach { end(it, StoreAnswer.Success(null, era)) }
    }

    /** Changes how the calls of [vm] are treated. */
    fun setAccess(vm: VmId, next: StoreAccess) {
        access[vm] = next
        val own = watches.filter { it.vm == vm }
        if (next == StoreAccess.FAILING) own.forEach { end(it, StoreAnswer.Failure) }
        if (next == StoreAccess.SERVED) changed()
    }

    fun list(vm: VmId, kind: FleetKind, answer: (StoreAnswer<FleetListing>) -> Unit) =
        call(vm, answer) { StoreAnswer.Success(listing(kind, Revision.NONE), revision.era) }

    /** Answers with the changes after [after], without any after a while, or with null if they are not known. */
    fun watch(vm: VmId, kind: FleetKind, after: Revision, answer: (StoreAnswer<FleetListing?>) -> Unit) {
        when {
            accessOf(vm) == StoreAccess.FAILING -> call(vm, answer) { StoreAnswer.Failure }
            accessOf(vm) == StoreAccess.SILENT -> Unit
            after.era < revision.era -> call(vm, answer) { StoreAnswer.Success(null, revision.era) }
            else -> {
                val watch = Watch(vm, kind, after, answer)
                watches.add(watch)
                clock.schedule(clock.now + ObjectStore.MAX_WATCH) { waited(watch) }
                changed()
            }
        }
    }

    fun readLease(vm: VmId, answer: (StoreAnswer<StoredLease?>) -> Unit) =
        call(vm, answer) { StoreAnswer.Success(lease, revision.era) }

    /** Writes the lease if it has still the revision [expected]; answers with null if not. */
    fun writeLease(
        vm: VmId,
        next: StoredLease,
        expected: Revision?,
        answer: (StoreAnswer<StoredLease?>) -> Unit,
    ) = call(vm, answer) {
        val isExpected = lease?.revision == expected
        if (isExpected) lease = next.copy(revision = nextRevision())
        StoreAnswer.Success(lease.takeIf { isExpected }, revision.era)
    }

    private fun accessOf(vm: VmId) = access[vm] ?: StoreAccess.SERVED

    private fun <T> call(vm: VmId, answer: (StoreAnswer<T>) -> Unit, handle: () -> StoreAnswer<T>) {
        clock.schedule(clock.now + latency()) {
            val result = if (accessOf(vm) == StoreAccess.FAILING) StoreAnswer.Failure else handle()
            if (accessOf(vm) != StoreAccess.SILENT) clock.schedule(clock.now + latency()) { answer(result) }
        }
    }

    private fun changed() {
        watches.filter { accessOf(it.vm) == StoreAccess.SERVED && newestChange(it.kind) > it.after }.forEach { watch ->
            end(watch, StoreAnswer.Success(listing(watch.kind, watch.after), revision.era))
        }
    }

    /** A watch whose time is over while the store is silent is never answered. */
    private fun waited(watch: Watch) {
        if (!watches.remove(watch) || accessOf(watch.vm) == StoreAccess.SILENT) return
        end(watch, StoreAnswer.Success(listing(watch.kind, watch.after), revision.era))
    }

    private fun end(watch: Watch, result: StoreAnswer<FleetListing?>) {
        watches.remove(watch)
        clock.schedule(clock.now + latency()) { watch.answer(result) }
    }

    private fun newestChange(kind: FleetKind): Revision = when (kind) {
        FleetKind.WEIGHTS -> targets.lastOrNull()?.revision ?: Revision.NONE
        FleetKind.REPLICAS -> entriesChange
    }

    private fun listing(kind: FleetKind, after: Revision): FleetListing = when (kind) {
        FleetKind.WEIGHTS -> {
            val found = if (after == Revision.NONE) targets.associateBy { it.model }.values.toList() else targets
            FleetListing(revision, newestChange(kind), found.filter { it.revision > after }, emptyList())
        }
        FleetKind.REPLICAS -> FleetListing(revision, newestChange(kind), emptyList(), entries.values.toList())
    }

    private fun nextRevision(): Revision {
        revision = revision.copy(number = revision.number + 1)
        return revision
    }

    private fun latency() = random.nextInt(1, 9).milliseconds
}
