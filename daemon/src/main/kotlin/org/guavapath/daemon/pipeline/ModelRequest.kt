package org.guavapath.daemon.pipeline

import kotlinx.serialization.json.JsonObject
import org.guavapath.core.config.Model
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.routing.CacheSalt
import org.guavapath.core.routing.PrefixChain

/** Workspace name of requests on open routes, which have no key. */
internal val OPEN_WORKSPACE = WorkspaceName("open")

/** The two completion calls of the model API, with the object names of their responses. */
internal enum class CompletionKind(val enginePath: String, val responseObject: String, val chunkObject: String) {
    /** Completes a list of chat messages. */
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),

    /** Completes a plain prompt. */
    TEXT("/v1/completions", "text_completion", "text_completion"),
}

/**
 * The validated fields of a completion request.
 *
 * @property body the request body
 * @property prompt the prompt, or the messages of a chat joined into one text
 * @property outputTokens maximum number of tokens to generate
 * @property stream whether the caller asked for server-sent events
 */
internal class CompletionFields(
    val body: JsonObject,
    val prompt: ByteArray,
    val outputTokens: Long,
    val stream: Boolean,
)

/** A parsed and validated completion request. */
internal class ModelRequest(
    val routed: RoutedRequest,
    val kind: CompletionKind,
    val model: Model,
    private val fields: CompletionFields,
) {
    val body: JsonObject get() = fields.body
    val stream: Boolean get() = fields.stream
    val outputTokens: Long get() = fields.outputTokens
    val workspace: WorkspaceName = routed.key?.workspace ?: OPEN_WORKSPACE
    val salt: CacheSalt = CacheSalt.of(workspace, model.name, model.version)
    val chain: PrefixChain = PrefixChain.of(salt, fields.prompt, model.bytesPerToken * model.pieceTokens)

    /** Estimated number of tokens in the prompt, from its size in bytes. */
    val promptTokens: Long = (fields.prompt.size + model.bytesPerToken - 1L) / model.bytesPerToken

    /** Tokens charged before the request runs. */
    val cost: Long get() = promptTokens + outputTokens
}
