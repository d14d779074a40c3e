package org.guavapath.acceptance

import kotlinx.serialization.json.Json
import org.guavapath.platform.wire.SampleResponse

private const val REPLICAS = 3

private fun standIn(number: Int, port: Int) = """{"stutteringReplicas": [{"port": $port, "number": $number}]}"""

/** Gateways in front of [REPLICAS] replicas that stutter. */
internal class StutterFleet : GatewayFleet("stutter", REPLICAS, ::standIn) {
    /** Each replica's first responses to the requests that it received. */
    fun recorded(): List<SampleResponse> = replicaPorts.flatMap { port ->
        Json.decodeFromString<List<SampleResponse>>(call(port, "/standin/responses"))
    }
}
