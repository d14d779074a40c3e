/** Interface to the platform's object API: versioned values, conditional updates and watches. */
package org.guavapath.core.platform

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import org.guavapath.core.identity.VmId
import kotlin.time.Duration

/**
 * The version of an object at the platform.
 *
 * @property number the version number; 0 stands for an object that does not exist
 */
@Serializable
@JvmInline
public value class ObjectVersion(public val number: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Holds the version of absent objects. */
    public companion object {
        /** The version of an object that does not exist. */
        public val ABSENT: ObjectVersion = ObjectVersion(0)
    }
}

/**
 * An object read from the platform.
 *
 * @property text value of the object, or null if it does not exist
 * @property version version of the object
 */
public data class VersionedText(public val text: String?, public val version: ObjectVersion)

/** The reason why a call to the platform failed. */
public sealed class PlatformError {
    /**
     * The response is missing or inconclusive. A write may have taken effect.
     *
     * @property reason description of the failure
     */
    public data class Unavailable(public val reason: String) : PlatformError()

    /**
     * The condition of a write did not match the object's version, and nothing was changed.
     *
     * @property current the actual version
     */
    public data class Conflict(public val current: ObjectVersion) : PlatformError()
}

/** Access to the platform's objects and its list of VMs. */
public interface ObjectApi {
    /** Reads the object [name]. */
    public suspend fun read(name: String): Result<VersionedText, PlatformError>

    /** Writes [text] to the object [name] if its version is [condition], and returns the new version. */
    public suspend fun write(name: String, text: String, condition: ObjectVersion): Result<ObjectVersion, PlatformError>

    /** Removes the object [name] if its version is [condition]. */
    public suspend fun remove(name: String, condition: ObjectVersion): Result<Unit, PlatformError>

    /** Waits up to [timeout] until the version of [name] differs from [after], or returns null after this time. */
    public suspend fun watch(
        name: String,
        after: ObjectVersion,
        timeout: Duration,
    ): Result<VersionedText?, PlatformError>

    /** Reads the platform's list of VMs, which lags behind the actual state; null if the platform keeps no list. */
    public suspend fun vms(): Result<Set<VmId>?, PlatformError>
}
