package org.guavapath.standins.platform

import kotlinx.serialization.json.JsonElement
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val LONGEST_HISTORY = 2_000

/** An object of a kind with the revision of its last change. */
internal class StandInObject(val name: String, val value: JsonElement, val revision: Long, val createdRevision: Long)

/** One change in the store's history. */
internal class StandInChange(val kind: String, val present: StandInObject, val isRemoved: Boolean)

/** The result of a write. */
internal sealed class WriteResult {
    /** The write took effect. */
    class Written(val present: StandInObject) : WriteResult()

    /** The object is not as the condition says. */
    class Conflict(val present: StandInObject) : WriteResult()

    /** The object does not exist. */
    data object Missing : WriteResult()
}

/** Objects by kind and name in memory, with one revision counter and a bounded history. */
internal class ObjectStore {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, java.util.TreeMap<String, StandInObject>>()
    private val history = ArrayDeque<StandInChange>()
    private var forgottenUpTo = 0L

    /** The revision of the last change. */
    var revision = 1L
        private set

    fun list(kind: String): List<StandInObject> = lock.withLock { objects[kind]?.values?.toList().orEmpty() }

    fun read(kind: String, name: String): StandInObject? = lock.withLock { objects[kind]?.get(name) }

    /** Creates an object that must not exist. */
    fun create(kind: String, name: String, value: JsonElement): WriteResult = lock.withLock {
        val present = read(kind, name)
        if (present != null) WriteResult.Conflict(present) else put(kind, name, value, createdRevision = null)
    }

    /** Replaces an object; [condition] is the revision that it must have, null for any. */
    fun replace(kind: String, name: String, value: JsonElement, condition: Long?): WriteResult = lock.withLock {
        val present = read(kind, name)
        when {
            present == null -> WriteResult.Missing
            condition != null && present.revision != condition -> WriteResult.Conflict(present)
            present.value == value -> WriteResult.Written(present)
            else -> put(kind, name, value, present.createdRevision)
        }
    }

    /** Removes an object under the same condition as [replace]. */
    fun remove(kind: String, name: String, condition: Long?): WriteResult = lock.withLock {
        val present = read(kind, name)
        when {
            present == null -> WriteResult.Missing
            condition != null && present.revision != condition -> WriteResult.Conflict(present)
            else -> {
                objects[kind]?.remove(name)
                revision += 1
                record(StandInChange(kind, StandInObject(name, present.value, revision, present.createdRevision), true))
                WriteResult.Written(present)
            }
        }
    }

    /** Waits for changes of [kind] after [after]; null if the history since then is gone. */
    fun awaitChanges(kind: String, after: Long, milliseconds: Long): List<StandInChange>? = lock.withLock {
        var left = TimeUnit.MILLISECONDS.toNanos(milliseconds)
        while (after >= forgottenUpTo && changesAfter(kind, after).isEmpty() && left > 0) {
            left = changed.awaitNanos(left)
        }
        if (after < forgottenUpTo) null else changesAfter(kind, after)
    }

    /** Drops the whole history; watches from before end. */
    fun forgetHistory() = lock.withLock {
        history.clear()
        forgottenUpTo = revision
        changed.signalAll()
    }

    private fun changesAfter(kind: String, after: Long) =
        history.filter { it.kind == kind && it.present.revision > after }

    private fun put(kind: String, name: String, value: JsonElement, createdRevision: Long?): WriteResult {
        revision += 1
        val next = StandInObject(name, value, revision, createdRevision ?: revision)
        objects.getOrPut(kind) { java.util.TreeMap() }[name] = next
        record(StandInChange(kind, next, isRemoved = false))
        return WriteResult.Written(next)
    }

    private fun record(change: StandInChange) {
        history.addLast(change)
        if (history.size > LONGEST_HISTORY) forgottenUpTo = history.removeFirst().present.revision
        changed.signalAll()
    }
}
