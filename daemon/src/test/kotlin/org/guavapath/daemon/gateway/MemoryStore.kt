package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.store.Change
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
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

/** An in-memory store, shared by all gateways of a test. */
internal class MemoryStore(sample: SampleFleet) {
    private class Entry(val kind: ObjectKind, val change: Change)

    private val log = ArrayList<Entry>()

    init {
        write(StoreKinds.CONFIGURATIONS, SampleFleet.CONFIGURATION_NAME, sample.configuration)
        write(StoreKinds.WEIGHTS, SampleFleet.WEIGHTS_NAME, sample.weights)
    }

    @Synchronized
    fun write(kind: ObjectKind, name: String, value: JsonElement?): StoredObject? {
        val revision = Revision(log.size + 1L)
        val stored = value?.let { StoredObject(name, revision, it) }
        log.add(Entry(kind, Change(name, revision, stored)))
        return stored
    }

    @Synchronized
    fun list(kind: ObjectKind): Listing {
        val newest = log.filter { it.kind == kind }.associate { it.change.name to it.change.present }
        val objects = newest.mapNotNull { (name, stored) -> stored?.let { name to it } }.toMap()
        return Listing(objects, Revision(log.size.toLong()))
    }

    @Synchronized
    fun changes(kind: ObjectKind, after: Revision): WatchResult.Changes {
        val changes = log.filter { it.kind == kind && it.change.revision > after }.map { it.change }
        return WatchResult.Changes(changes, Revision(log.size.toLong()))
    }
}

/** One gateway's access to the store; counts the calls to list and watch. */
internal class CountingStore(private val store: MemoryStore) : ObjectStore {
    val reads = AtomicInteger()

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> {
        reads.incrementAndGet()
        return Ok(store.list(kind))
    }

    override suspend fun watch(
        kind: ObjectKind,
        after: Revision,
        timeout: Duration,
    ): Result<WatchResult, StoreError> {
        reads.incrementAndGet()
        val until = TimeSource.Monotonic.markNow() + timeout
        while (store.changes(kind, after).changes.isEmpty() && until.hasNotPassedNow()) delay(POLL_INTERVAL)
        return Ok(store.changes(kind, after))
    }

    override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> =
        Ok(store.list(kind).objects[name])

    override suspend fun create(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
    ): Result<StoredObject, StoreError> = written(store.write(kind, name, value))

    override suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = written(store.write(kind, name, value))

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError> {
        store.write(kind, name, value = null)
        return Ok(Unit)
    }

    private fun written(stored: StoredObject?): Result<StoredObject, StoreError> =
        if (stored == null) Err(StoreError.Unknown("nothing written")) else Ok(stored)
}
