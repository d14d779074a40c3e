package org.guavapath.daemon.pipeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.config.Model
import org.guavapath.core.identity.ModelName
import org.guavapath.core.results.RequestCode

/** Parses and validates a completion request. */
internal class ModelRequestFilter(private val maxPromptTokens: Long) : Filter<RoutedRequest, ModelRequest> {
    override suspend fun apply(input: RoutedRequest): Result<ModelRequest, Refusal> {
        val kind = kindOf(input.request)
        if (kind == null || input.request.method != "POST") return Err(Refusal(RequestCode.RouteNotFound))
        return JsonBody.read(input.request.body).flatMap { read(input, kind, it) }
    }

    private fun kindOf(request: CallerRequest): CompletionKind? =
        CompletionKind.entries.firstOrNull { request.path.endsWith(it.enginePath.removePrefix("/v1")) }

    private fun read(input: RoutedRequest, kind: CompletionKind, body: JsonObject): Result<ModelRequest, Refusal> {
        val model = model(input, body) ?: return Err(Refusal(RequestCode.ModelNotFound))
        return CompletionFieldReader(model, kind).read(body)
            .flatMap { checkPromptSize(ModelRequest(input, kind, model, it)) }
    }

    private fun checkPromptSize(request: ModelRequest): Result<ModelRequest, Refusal> =
        if (request.promptTokens > maxPromptTokens) Err(Refusal(RequestCode.PromptTooLarge)) else Ok(request)

    private fun model(input: RoutedRequest, body: JsonObject): Model? {
        val name = (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content ?: return null
        return ModelName(name).takeIf { it in input.route.models }?.let { input.configuration.model(it) }
    }
}
