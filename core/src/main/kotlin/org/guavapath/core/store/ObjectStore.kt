/** Interface to the platform's object store: objects by kind and name, revisions and watches. */
package org.guavapath.core.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Number of times that the store has returned from an older copy of itself. Revision numbers are given out again then.
 *
 * @property number the number, 0 if the store does not tell
 */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Holds the era of a store that does not tell. */
    public companion object {
        /** The era of a store that does not tell. */
        public val UNKNOWN: StoreEra = StoreEra(0)
    }
}

/**
 * Position in the store's history, which increases with every change of any object, and with each era.
 *
 * @property number the revision number; 0 precedes all changes
 * @property era the era in which the number was read
 */
public data class Revision(public val number: Long, public val era: StoreEra = StoreEra.UNKNOWN) :
    Comparable<Revision> {
    override fun compareTo(other: Revision): Int = compareValuesBy(this, other, { it.era }, { it.number })

    /** Holds the initial revision. */
    public companion object {
        /** The revision before all changes. */
        public val NONE: Revision = Revision(0)
    }
}

/**
 * A kind of objects, which is a namespace of their names.
 *
 * @property text the name of the kind
 */
@JvmInline
public value class ObjectKind(public val text: String) {
    override fun toString(): String = text
}

/**
 * An object read from the store.
 *
 * @property name name within its kind
 * @property revision revision of its last change
 * @property value content of the object, [JsonNull] if it is not readable
 * @property status what the system says of the object, null if nothing
 * @property createdAt revision number at which the object was created, 0 if not known
 * @property fault why the content is not readable, null if it is, or if that is not known
 */
public data class StoredObject(
    public val name: String,
    public val revision: Revision,
    public val value: JsonElement,
    public val status: JsonElement? = null,
    public val createdAt: Long = 0,
    public val fault: String? = null,
) {
    /** Returns the name and the revision; the content may be long. */
    override fun toString(): String = "$name at $revision"
}

/**
 * All objects of a kind.
 *
 * All changes up to [asOf] are in it. Later ones are too where the store has lost the history between two pages; a
 * watch from [asOf] then tells of changes that some objects already have.
 *
 * @property objects the objects by name
 * @property asOf the revision from which a watch continues
 */
public data class Listing(public val objects: Map<String, StoredObject>, public val asOf: Revision) {
    /** Returns the objects after [changes], in order. None goes back to an earlier revision than it has. */
    public fun after(changes: WatchResult.Changes): Listing {
        val next = LinkedHashMap(objects)
        changes.changes.filterNot { change -> next[change.name].let { it != null && it.revision > change.revision } }
            .forEach { change ->
                val present = change.present
                if (present == null) next.remove(change.name) else next[change.name] = present
            }
        return Listing(next, changes.asOf)
    }
}

/** The result of [ObjectStore.watch]. */
public sealed class WatchResult {
    /**
     * Changes in order, or none if the watch timed out.
     *
     * @property changes the changes, including removals
     * @property asOf the revision from which the next watch continues
     */
    public data class Changes(public val changes: List<Change>, public val asOf: Revision) : WatchResult()

    /** The store no longer has the history since the requested revision; the kind must be listed again. */
    public data object HistoryGone : WatchResult()
}

/**
 * A change of one object.
 *
 * @property name name of the object
 * @property revision revision of the change
 * @property present the object after the change, or null if it was removed
 */
public data class Change(public val name: String, public val revision: Revision, public val present: StoredObject?)

/** The reason why a call to the store failed. */
public sealed class StoreError {
    /**
     * The store reported that it did nothing, because it is down or temporarily refuses this VM.
     *
     * @property reason the store's response
     * @property askedWait how long the store asks to wait before the next call, null if it does not
     */
    public data class Refused(public val reason: String, public val askedWait: Duration? = null) : StoreError()

    /**
     * The response is missing or unreadable. A write may have taken effect, or may still take effect later.
     *
     * @property reason description of the failure
     */
    public data class Unknown(public val reason: String) : StoreError()

    /**
     * The object does not meet the condition, and nothing was done.
     *
     * @property present the current object, or null if it does not exist
     */
    public data class Conflict(public val present: StoredObject?) : StoreError()
}

/** Access to the store. Calls are never retried implicitly. */
public interface ObjectStore {
    /** Lists all objects of [kind]. */
    public suspend fun list(kind: ObjectKind): Result<Listing, StoreError>

    /** Waits up to [timeout], and no longer than [MAX_WATCH], for changes of [kind] since the revision [after]. */
    public suspend fun watch(kind: ObjectKind, after: Revision, timeout: Duration): Result<WatchResult, StoreError>

    /** Reads an object, or returns null if it does not exist. */
    public suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError>

    /** Creates an object; a [StoreError.Conflict] results if it already exists. */
    public suspend fun create(kind: ObjectKind, name: String, value: JsonElement): Result<StoredObject, StoreError>

    /** Replaces an object if the revision of its last change is [condition]. */
    public suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError>

    /** Replaces the status of an object, and nothing else, if the revision of its last change is [condition]. */
    public suspend fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError>

    /** Removes an object if the revision of its last change is [condition]. */
    public suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError>

    /** Holds the limits of calls. */
    public companion object {
        /** Longest wait of a watch: one whose answer is lost is told from one without changes only after that. */
        public val MAX_WATCH: Duration = 2.seconds

        /** Time after the end of its wait within which a watch is answered; a slow store takes half of it. */
        public val WATCH_MARGIN: Duration = 1.seconds
    }
}
