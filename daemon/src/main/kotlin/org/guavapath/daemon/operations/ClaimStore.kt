/**
 * Claims on idempotency keys, stored as objects at the platform.
 *
 * A non-repeatable request with an idempotency key is sent only while its attempt holds the claim: an object created
 * on condition that it does not exist yet. If the response to that write is lost, the object is read back. If the
 * claim cannot be confirmed, the request is not sent.
 */
package org.guavapath.daemon.operations

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.guavapath.core.operations.ClaimState
import org.guavapath.core.operations.OperationClaim
import org.guavapath.core.platform.ObjectApi
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.results.DispatchCode
import java.time.Instant
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_ATTEMPTS = 4
private val RETRY_DELAY = 100.milliseconds

/** Whether an attempt obtained a claim. */
internal sealed class ClaimResult {
    /** The attempt holds the claim, whose object has [version]. */
    class Held(val name: String, val claim: OperationClaim, val version: ObjectVersion) : ClaimResult()

    /** The attempt does not hold the claim and must not run. */
    class Refused(val code: DispatchCode) : ClaimResult()
}

/** Reads and writes [OperationClaim] objects. */
internal class ClaimStore(private val platform: ObjectApi) {
    /** Tries to create the claim object [name] for [attempt]; a retry by its holder succeeds. */
    suspend fun claim(name: String, attempt: String): ClaimResult {
        val claim = OperationClaim(attempt, ClaimState.CLAIMED, Instant.now().toString())
        repeat(MAX_ATTEMPTS) {
            val result = write(name, claim, ObjectVersion.ABSENT).fold(
                success = { ClaimResult.Held(name, claim, it) },
                failure = { readBack(name, attempt) },
            )
            if (result != null) return result
            delay(RETRY_DELAY)
        }
        return ClaimResult.Refused(DispatchCode.ClaimUnavailable)
    }

    /** Records that an endpoint responded. If the write fails, later attempts see the outcome as unknown. */
    suspend fun markDone(held: ClaimResult.Held) {
        write(held.name, held.claim.copy(state = ClaimState.DONE), held.version)
    }

    /** Removes the claim because no endpoint ran the request. */
    suspend fun release(held: ClaimResult.Held) {
        platform.remove(held.name, held.version)
    }

    private suspend fun write(name: String, claim: OperationClaim, condition: ObjectVersion) =
        platform.write(name, Json.encodeToString(OperationClaim.serializer(), claim), condition)

    /** Returns the result for [attempt] according to the stored object, or null if it is missing or unreadable. */
    private suspend fun readBack(name: String, attempt: String): ClaimResult? {
        val read = platform.read(name).get() ?: return null
        val found = read.text?.let { Json.decodeFromString(OperationClaim.serializer(), it) }
        return when {
            found == null -> null
            found.attempt == attempt -> ClaimResult.Held(name, found, read.version)
            found.state == ClaimState.DONE -> ClaimResult.Refused(DispatchCode.OperationDone)
            else -> ClaimResult.Refused(DispatchCode.OperationClaimed)
        }
    }
}
