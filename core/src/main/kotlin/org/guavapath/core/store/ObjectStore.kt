/** The platform's store as the product uses it: objects by kind and name, revisions, watches. */
package org.guavapath.core.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

/**
 * Position in the store's history; rises with every change of any object.
 *
 * @property number the number, above 0
 */
@JvmInline
public value class Revision(public val number: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Holds the revision before all changes. */
    public companion object {
        /** Before all changes. */
        public val NONE: Revision = Revision(0)
    }
}

/**
 * Kind of objects, a namespace of their names.
 *
 * @property text its text
 */
@JvmInline
public value class ObjectKind(public val text: String) {
    override fun toString(): String = text
}

/**
 * An object as read.
 *
 * @property name its name within its kind
 * @property revision its last change
 * @property value its content
 */
public data class StoredObject(public val name: String, public val revision: Revision, public val value: JsonElement)

/**
 * All objects of a kind.
 *
 * @property objects the objects by name
 * @property asOf the revision at which this was the whole
 */
public data class Listing(public val objects: Map<String, StoredObject>, public val asOf: Revision)

/** What a watch brought. */
public sealed class WatchResult {
    /**
     * Changes in order, none if the wait ended first.
     *
     * @property changes each changed object, or the name alone of one that was removed
     * @property asOf where the next watch goes on
     */
    public data class Changes(public val changes: List<Change>, public val asOf: Revision) : WatchResult()

    /** The store no longer has the history since the revision; the kind has to be listed again. */
    public data object HistoryGone : WatchResult()
}

/**
 * One change.
 *
 * @property name name of the object
 * @property revision the revision of the change
 * @property present the object after the change, null if it was removed
 */
public data class Change(public val name: String, public val revision: Revision, public val present: StoredObject?)

/** Why a call gave no result. */
public sealed class StoreError {
    /**
     * The store did nothing and says so: it is down, or refuses this VM for now.
     *
     * @property reason what it answered
     */
    public data class Refused(public val reason: String) : StoreError()

    /**
     * No answer, or one that cannot be read; a write may have been done or may be done later.
     *
     * @property reason what happened
     */
    public data class Unknown(public val reason: String) : StoreError()

    /**
     * The object is not as the condition says; nothing was done.
     *
     * @property present the object as it is, null if it does not exist
     */
    public data class Conflict(public val present: StoredObject?) : StoreError()
}

/** Access to the store. No call is repeated silently. */
public interface ObjectStore {
    /** Lists all objects of [kind]. */
    public suspend fun list(kind: ObjectKind): Result<Listing, StoreError>

    /** Waits up to [longest] for changes of [kind] after [after]. */
    public suspend fun watch(kind: ObjectKind, after: Revision, longest: Duration): Result<WatchResult, StoreError>

    /** Reads one object; null if it does not exist. */
    public suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError>

    /** Creates an object that must not exist yet. */
    public suspend fun create(kind: ObjectKind, name: String, value: JsonElement): Result<StoredObject, StoreError>

    /** Replaces an object whose last change must be [condition]. */
    public suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError>

    /** Removes an object whose last change must be [condition]. */
    public suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError>
}
