/**
 * The configuration as it is kept at the platform.
 *
 * A small manifest, changed only by conditional update, names content-hashed parts that never
 * change. Keys that the command line grants or withdraws are kept beside the folder's content:
 * a withdrawal outlives any later apply of a folder that still names the key.
 */
package org.guavapath.core.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.KeyHash
import java.security.MessageDigest
import java.util.HexFormat

/** Object name of the manifest. */
public const val MANIFEST_OBJECT: String = "configuration/manifest"

/** Beginning of the object names of parts; the content's hash follows. */
public const val PART_OBJECT_PREFIX: String = "configuration/parts/"

private const val PART_CHARACTERS = 300_000
private const val HISTORY_LENGTH = 50

/**
 * Number of an accepted configuration; each accepted change has the next one.
 *
 * @property number the number, from 1
 */
@Serializable
@JvmInline
public value class ConfigurationVersion(public val number: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Holds the version before all others. */
    public companion object {
        /** The version before the first accepted configuration. */
        public val NONE: ConfigurationVersion = ConfigurationVersion(0)
    }
}

/**
 * One accepted change.
 *
 * @property version number of the change
 * @property changeId made by the operator's tool, so that a lost answer can be settled by reading back
 * @property parts hashes of the parts whose texts, joined, are the [StoredDocument]
 * @property note what the operator did
 * @property acceptedAt time of the change, ISO 8601
 */
@Serializable
public data class AcceptedChange(
    public val version: ConfigurationVersion,
    public val changeId: String,
    public val parts: List<String>,
    public val note: String,
    public val acceptedAt: String,
)

/**
 * The manifest.
 *
 * @property current the change in force
 * @property earlier the changes before it, latest first
 */
@Serializable
public data class Manifest(public val current: AcceptedChange, public val earlier: List<AcceptedChange> = emptyList()) {
    /** Returns the manifest after [change]. */
    public fun followedBy(change: AcceptedChange): Manifest =
        Manifest(change, (listOf(current) + earlier).take(HISTORY_LENGTH))
}

/**
 * What the parts hold.
 *
 * @property folder the merged folder
 * @property grantedKeys keys granted by command
 * @property withdrawnKeys hashes that must never be accepted
 * @property drainedEndpoints endpoints that get no new work, by command
 */
@Serializable
public data class StoredDocument(
    public val folder: Configuration,
    public val grantedKeys: List<CallerKey> = emptyList(),
    public val withdrawnKeys: Set<KeyHash> = emptySet(),
    public val drainedEndpoints: Set<EndpointName> = emptySet(),
) {
    /** Returns the configuration in force: the folder with granted and withdrawn keys and drained endpoints. */
    public fun effective(): Configuration {
        val workspaces = folder.workspaces.map { it.name }.toSet()
        val granted = grantedKeys.filter { it.workspace in workspaces }
        val keys = (folder.keys + granted).distinctBy { it.hash }
        return folder.copy(
            keys = keys.filter { it.hash !in withdrawnKeys },
            endpoints = folder.endpoints.map { it.copy(draining = it.draining || it.name in drainedEndpoints) },
        )
    }
}

/**
 * One part of a stored document.
 *
 * @property hash hash of the text, which names the part
 * @property text the text
 */
public data class ConfigurationPart(public val hash: String, public val text: String)

/** Cuts a [StoredDocument] into parts and joins them again. */
public object PartCodec {
    private val json = Json { encodeDefaults = false }

    /** Returns the parts of [document], each well below a megabyte. */
    public fun split(document: StoredDocument): List<ConfigurationPart> =
        json.encodeToString(StoredDocument.serializer(), document)
            .chunked(PART_CHARACTERS)
            .map { ConfigurationPart(hashOf(it), it) }

    /** Returns the document whose parts are [texts], in order. */
    public fun join(texts: List<String>): StoredDocument =
        json.decodeFromString(StoredDocument.serializer(), texts.joinToString(""))

    /** Returns the name of a part with this [text]. */
    public fun hashOf(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
