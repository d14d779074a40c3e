package org.guavapath.daemon.pipeline

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Response header with the number of the result code. */
internal const val RESULT_HEADER = "X-Guavapath-Result"

/** Header with the identifier of the request, in requests and responses. */
internal const val REQUEST_ID_HEADER = "X-Request-Id"

/** Returns the JSON body of an error response. */
internal fun errorBody(refusal: Refusal, correlationId: String): JsonObject = buildJsonObject {
    putJsonObject("error") {
        put("code", refusal.code.number)
        put("name", refusal.code.label)
        put("message", refusal.detail)
        put("outcome", refusal.code.outcome.word)
        put("request_id", correlationId)
    }
}

/** Writes [refusal] as the complete response. */
internal fun Responder.refuse(refusal: Refusal, correlationId: String) {
    val retryAfter = refusal.retryAfter?.let {
        HeaderField("Retry-After", ceil(it.toDouble(DurationUnit.SECONDS)).toLong().toString())
    }
    begin(
        refusal.code.status.number,
        listOfNotNull(
            HeaderField("Content-Type", "application/json"),
            HeaderField(RESULT_HEADER, refusal.code.number.toString()),
            HeaderField(REQUEST_ID_HEADER, correlationId),
            retryAfter,
        ),
    )
    write(errorBody(refusal, correlationId).toString().toByteArray())
}
