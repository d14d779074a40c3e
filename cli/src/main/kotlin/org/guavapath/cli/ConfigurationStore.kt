/** Access to the accepted configuration that is stored at the platform. */
package org.guavapath.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import com.github.michaelbull.result.recoverIf
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.ConfigurationPart
import org.guavapath.core.config.ConfigurationVersion
import org.guavapath.core.config.MANIFEST_OBJECT
import org.guavapath.core.config.Manifest
import org.guavapath.core.config.PART_OBJECT_PREFIX
import org.guavapath.core.config.PartCodec
import org.guavapath.core.config.StoredDocument
import org.guavapath.core.platform.ObjectApi
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.platform.PlatformError
import java.time.Instant
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_ATTEMPTS = 10
private val RETRY_DELAY = 200.milliseconds

/** The manifest and the version of the object that holds it; [manifest] is null before the first apply. */
internal class StoredManifest(val manifest: Manifest?, val objectVersion: ObjectVersion) {
    val version: ConfigurationVersion get() = manifest?.current?.version ?: ConfigurationVersion.NONE
}

/** Reads and changes the accepted configuration, retrying failed calls. */
internal class ConfigurationStore(private val platform: ObjectApi, private val retryDelay: Duration = RETRY_DELAY) {
    /**
     * Reads the manifest.
     *
     * @throws CommandFailure if the platform does not respond
     */
    suspend fun manifest(): StoredManifest {
        val stored = withRetries { platform.read(MANIFEST_OBJECT) }
        return StoredManifest(stored.text?.let { Json.decodeFromString(Manifest.serializer(), it) }, stored.version)
    }

    /**
     * Reads the document of [change].
     *
     * @throws CommandFailure if the platform does not respond or a part is missing
     */
    suspend fun document(change: AcceptedChange): StoredDocument = PartCodec.join(
        change.parts.map { hash ->
            withRetries { platform.read(PART_OBJECT_PREFIX + hash) }.text
                ?: throw CommandFailure(ExitStatus.UNAVAILABLE, "part $hash of version ${change.version} is missing")
        },
    )

    /** Returns the document in force; null before the first apply. */
    suspend fun document(stored: StoredManifest): StoredDocument? = stored.manifest?.let { document(it.current) }

    /**
     * Puts [document] in force as the version after [before] and returns the accepted change.
     *
     * If the response to a write is lost, the manifest is read again: the write succeeded if the manifest lists the
     * change's identifier.
     *
     * @throws CommandFailure if another change was accepted since [before] (the message names both versions), or if
     * the platform does not respond
     */
    suspend fun accept(document: StoredDocument, before: StoredManifest, note: String): AcceptedChange {
        val parts = PartCodec.split(document)
        parts.forEach { writePart(it) }
        val change = AcceptedChange(
            version = ConfigurationVersion(before.version.number + 1),
            changeId = UUID.randomUUID().toString(),
            parts = parts.map { it.hash },
            note = note,
            acceptedAt = Instant.now().toString(),
        )
        val next = before.manifest?.followedBy(change) ?: Manifest(change)
        writeManifest(next, before)
        return change
    }

    private suspend fun writeManifest(next: Manifest, before: StoredManifest) {
        val text = Json.encodeToString(Manifest.serializer(), next)
        repeat(MAX_ATTEMPTS) {
            val result = platform.write(MANIFEST_OBJECT, text, before.objectVersion)
            if (result.isOk) return
            val latest = manifest()
            val accepted = listOfNotNull(latest.manifest?.current) + latest.manifest?.earlier.orEmpty()
            if (accepted.any { it.changeId == next.current.changeId }) return
            if (latest.objectVersion != before.objectVersion) throw conflict(before, latest)
        }
        throw CommandFailure(ExitStatus.UNAVAILABLE, "the platform did not confirm the change; its outcome is unknown")
    }

    private fun conflict(before: StoredManifest, latest: StoredManifest) = CommandFailure(
        ExitStatus.CONFLICT,
        "conflict: this change was made from version ${before.version}, and version ${latest.version} " +
            "(${latest.manifest?.current?.note}) was accepted meanwhile; nothing was changed",
    )

    /** Writes [part] unless it exists; parts are named by their hash, so an existing object has the same content. */
    private suspend fun writePart(part: ConfigurationPart) {
        withRetries {
            platform.write(PART_OBJECT_PREFIX + part.hash, part.text, ObjectVersion.ABSENT)
                .recoverIf({ it is PlatformError.Conflict }) { ObjectVersion.ABSENT }
        }
    }

    private suspend fun <T> withRetries(call: suspend () -> Result<T, PlatformError>): T {
        var lastError: PlatformError? = null
        repeat(MAX_ATTEMPTS) {
            call().onSuccess { return it }.onFailure { lastError = it }
            delay(retryDelay)
        }
        throw CommandFailure(ExitStatus.UNAVAILABLE, "the platform did not answer: $lastError")
    }
}
