package org.guavapath.standins.platform

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val MAX_HISTORY_CHANGES = 2_000

/** A stored object with the revisions of its last change and of its creation. */
internal class StandInObject(
    val name: String,
    val value: JsonElement,
    val revision: Long,
    val createdRevision: Long,
    val status: JsonElement = JsonNull,
)

/**
 * One change in the history of the store.
 *
 * @property snapshot the object after the change; for a removal, its last value with the revision of the removal
 */
internal class StandInChange(val kind: String, val snapshot: StandInObject, val isRemoved: Boolean)

/** The result of a write. */
internal sealed class WriteResult {
    /** The write took effect; for a removal, [current] is the removed object. */
    class Written(val current: StandInObject) : WriteResult()

    /** The condition of the write does not hold for the [current] object. */
    class Conflict(val current: StandInObject) : WriteResult()

    /** The object does not exist. */
    data object Missing : WriteResult()
}

/** In-memory objects by kind and name, with one revision counter for all kinds and a bounded history of changes. */
internal class ObjectStore {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, java.util.TreeMap<String, StandInObject>>()
    private val history = ArrayDeque<StandInChange>()
    private var compactedRevision = 0L

    /** Revision of the last change. */
    var revision = 1L
        private set

    fun list(kind: String): List<StandInObject> = lock.withLock { objects[kind]?.values?.toList().orEmpty() }

    fun read(kind: String, name: String): StandInObject? = lock.withLock { objects[kind]?.get(name) }

    /** Creates an object; a conflict if it exists already. */
    fun create(kind: String, name: String, value: JsonElement): WriteResult = lock.withLock {
        val current = read(kind, name)
        if (current != null) WriteResult.Conflict(current) else put(kind, name, value, createdRevision = null)
    }

    /**
     * Replaces the value or status of an object, null to keep it, if its revision is [expectedRevision] (null for any);
     * equal ones are not a change.
     */
    fun replace(
        kind: String,
        name: String,
        expectedRevision: Long?,
        value: JsonElement? = null,
        status: JsonElement? = null,
    ): WriteResult = lock.withLock {
        val current = read(kind, name)
        when {
            current == null -> WriteResult.Missing
            expectedRevision != null && current.revision != expectedRevision -> WriteResult.Conflict(current)
            (value ?: current.value) == current.value && (status ?: current.status) == current.status ->
                WriteResult.Written(current)
            else -> put(kind, name, value ?: current.value, current.createdRevision, status ?: current.status)
        }
    }

    /** Removes an object if its revision is [expectedRevision] (null for any). */
    fun remove(kind: String, name: String, expectedRevision: Long?): WriteResult = lock.withLock {
        val current = read(kind, name)
        when {
            current == null -> WriteResult.Missing
            expectedRevision != null && current.revision != expectedRevision -> WriteResult.Conflict(current)
            else -> {
                objects[kind]?.remove(name)
                revision += 1
                record(StandInChange(kind, StandInObject(name, current.value, revision, current.createdRevision), true))
                WriteResult.Written(current)
            }
        }
    }

    /** Waits for changes of [kind] with revisions above [after]; null if the history no longer reaches back to it. */
    fun awaitChanges(kind: String, after: Long, milliseconds: Long): List<StandInChange>? = lock.withLock {
        var remaining = TimeUnit.MILLISECONDS.toNanos(milliseconds)
        while (after >= compactedRevision && changesAfter(kind, after).isEmpty() && remaining > 0) {
            remaining = changed.awaitNanos(remaining)
        }
        if (after < compactedRevision) null else changesAfter(kind, after)
    }

    /** Drops the whole history; a watch that starts at an earlier revision ends. */
    fun compactHistory() = lock.withLock {
        history.clear()
        compactedRevision = revision
        changed.signalAll()
    }

    private fun changesAfter(kind: String, after: Long) =
        history.filter { it.kind == kind && it.snapshot.revision > after }

    private fun put(
        kind: String,
        name: String,
        value: JsonElement,
        createdRevision: Long?,
        status: JsonElement = JsonNull,
    ): WriteResult {
        revision += 1
        val next = StandInObject(name, value, revision, createdRevision ?: revision, status)
        objects.getOrPut(kind) { java.util.TreeMap() }[name] = next
        record(StandInChange(kind, next, isRemoved = false))
        return WriteResult.Written(next)
    }

    private fun record(change: StandInChange) {
        history.addLast(change)
        if (history.size > MAX_HISTORY_CHANGES) compactedRevision = history.removeFirst().snapshot.revision
        changed.signalAll()
    }
}
