/** Claims on idempotency keys, which decide which attempt may run a non-repeatable operation. */
package org.guavapath.core.operations

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavapath.core.identity.WorkspaceName
import java.security.MessageDigest
import java.util.HexFormat

/** Prefix of the object names of claims. */
public const val CLAIM_OBJECT_PREFIX: String = "operations/"

/** Known progress of the attempt that holds a claim. */
@Serializable
public enum class ClaimState {
    /** The attempt may have reached an endpoint. */
    @SerialName("claimed")
    CLAIMED,

    /** An endpoint responded to the attempt. */
    @SerialName("done")
    DONE,
}

/**
 * The holder of one idempotency key.
 *
 * @property attempt identifier of the request that holds the claim, unique across all daemons
 * @property state known progress of that attempt
 * @property claimedAt time of the claim, ISO 8601
 */
@Serializable
public data class OperationClaim(
    public val attempt: String,
    public val state: ClaimState,
    public val claimedAt: String,
) {
    /** Computes the object names of claims. */
    public companion object {
        /** Returns the object name of the claim on [idempotencyKey], which is distinct for each workspace. */
        public fun objectName(workspace: WorkspaceName, idempotencyKey: String): String {
            val digest = MessageDigest.getInstance("SHA-256")
            val bytes = digest.digest("${workspace.text}\n$idempotencyKey".toByteArray())
            return CLAIM_OBJECT_PREFIX + HexFormat.of().formatHex(bytes)
        }
    }
}
