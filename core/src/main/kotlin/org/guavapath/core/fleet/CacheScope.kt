package org.guavapath.core.fleet

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.routing.CacheSalt

/**
 * Which workspaces use the cached prompt parts of a request.
 *
 * It follows from one version of the configuration alone, so that gateways with the same version have the same scopes,
 * also those that have just started.
 */
public sealed class CacheScope {
    /** Differs between scopes; takes the place of the workspace in salts. */
    internal abstract val salted: WorkspaceName

    /** Returns the salt for prompt parts cached under the weights [number] of [model]; null for unknown weights. */
    public fun salt(model: ModelName, number: WeightsNumber?): CacheSalt =
        CacheSalt.of(salted, model, WeightsVersion(number?.toString().orEmpty()))

    /**
     * Only [workspace] uses them.
     *
     * @property workspace the workspace, whose name is not empty
     */
    public data class Owned(public val workspace: WorkspaceName) : CacheScope() {
        override val salted: WorkspaceName get() = workspace
    }

    /**
     * All workspaces but [isolated] use them.
     *
     * The salt names the isolated workspaces: what is cached under it was never made by one of them, even if they
     * shared their parts under an earlier version of the configuration.
     *
     * @property isolated the workspaces that share nothing
     */
    public data class Shared(public val isolated: Set<WorkspaceName>) : CacheScope() {
        override val salted: WorkspaceName = WorkspaceName(if (isolated.isEmpty()) "" else "\n${digest()}")

        private fun digest(): String {
            val names = isolated.map { it.text }.sorted().joinToString("") { "${it.length}:$it" }
            return Hashing.xxh3_64().hashCharsToLong(names).toULong().toString(HASH_RADIX)
        }
    }

    private companion object {
        const val HASH_RADIX = 16
    }
}
