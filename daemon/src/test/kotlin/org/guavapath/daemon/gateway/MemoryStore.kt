package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.store.Change
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val POLL_INTERVAL = 20.milliseconds

/** An in-memory store, shared by all gateways of a test. It can return from an older copy of itself. */
internal class MemoryStore(sample: SampleFleet) {
    private class Entry(val kind: ObjectKind, val change: Change)

    private val log = ArrayList<Entry>()
    private var era = StoreEra(1)

    /** Whether calls fail. */
    @Volatile
    var isDown = false

    /** Whether watches wait without end, so that gateways that a test leaves running do not slow down the next one. */
    @Volatile
    var isAbandoned = false

    /** Number of changes so far. */
    val size: Int @Synchronized get() = log.size

    init {
        write(StoreKinds.CONFIGURATIONS, SampleFleet.CONFIGURATION_NAME, sample.configuration)
        write(StoreKinds.WEIGHTS, SampleFleet.WEIGHTS_NAME, sample.weights)
    }

    /** Returns as the store was after its first [changes] changes, in the next era. */
    @Synchronized
    fun restore(changes: Int) {
        while (log.size > changes) log.removeLast()
        era = StoreEra(era.number + 1)
    }

    @Synchronized
    fun write(kind: ObjectKind, name: String, value: JsonElement?): StoredObject? {
        val revision = Revision(log.size + 1L, era)
        val present = list(kind).objects[name]
        val stored =
            value?.let { StoredObject(name, revision, it, present?.status, present?.createdAt ?: revision.number) }
        log.add(Entry(kind, Change(name, revision, stored)))
        return stored
    }

    /** Replaces the status of an object; null if there is none. */
    @Synchronized
    fun writeStatus(kind: ObjectKind, name: String, status: JsonElement): StoredObject? {
        val revision = Revision(log.size + 1L, era)
        val stored = list(kind).objects[name]?.copy(revision = revision, status = status) ?: return null
        log.add(Entry(kind, Change(name, revision, stored)))
        return stored
    }

    @Synchronized
    fun list(kind: ObjectKind): Listing {
        val newest = log.filter { it.kind == kind }.associate { it.change.name to it.change.present }
        val objects = newest.mapNotNull { (name, stored) -> stored?.let { name to inThisEra(it) } }.toMap()
        return Listing(objects, Revision(log.size.toLong(), era))
    }

    /** Returns the changes of [kind] after the number of [after], or that the store has no such revision. */
    @Synchronized
    fun changes(kind: ObjectKind, after: Revision): WatchResult {
        if (after.number > log.size) return WatchResult.HistoryGone
        val changes = log.drop(after.number.toInt()).filter { it.kind == kind }.map { entry ->
            val revision = Revision(entry.change.revision.number, era)
            Change(entry.change.name, revision, entry.change.present?.let { inThisEra(it) })
        }
        return WatchResult.Changes(changes, Revision(log.size.toLong(), era))
    }

    private fun inThisEra(stored: StoredObject) = stored.copy(revision = Revision(stored.revision.number, era))
}

/** One gateway's access to the store; counts the calls to list and watch. */
internal class CountingStore(private val store: MemoryStore) : ObjectStore {
    val reads = AtomicInteger()

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> {
        reads.incrementAndGet()
        return if (store.isDown) DOWN else Ok(store.list(kind))
    }

    override suspend fun watch(
        kind: ObjectKind,
        after: Revision,
        timeout: Duration,
    ): Result<WatchResult, StoreError> {
        reads.incrementAndGet()
        val until = TimeSource.Monotonic.markNow() + timeout
        while (isWithoutChange(kind, after) && until.hasNotPassedNow()) delay(POLL_INTERVAL)
        if (store.isAbandoned) awaitCancellation()
        return if (store.isDown) DOWN else Ok(store.changes(kind, after))
    }

    private fun isWithoutChange(kind: ObjectKind, after: Revision): Boolean = !store.isDown && !store.isAbandoned &&
        (store.changes(kind, after) as? WatchResult.Changes)?.changes?.isEmpty() ?: false

    override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> =
        if (store.isDown) DOWN else Ok(store.list(kind).objects[name])

    override suspend fun create(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
    ): Result<StoredObject, StoreError> = written { store.write(kind, name, value) }

    override suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = written { store.write(kind, name, value) }

    override suspend fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = written { store.writeStatus(kind, name, status) }

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError> {
        if (store.isDown) return DOWN
        store.write(kind, name, value = null)
        return Ok(Unit)
    }

    private fun written(write: () -> StoredObject?): Result<StoredObject, StoreError> {
        val stored = if (store.isDown) null else write()
        return if (stored == null) DOWN else Ok(stored)
    }

    private companion object {
        val DOWN = Err(StoreError.Refused("down"))
    }
}
