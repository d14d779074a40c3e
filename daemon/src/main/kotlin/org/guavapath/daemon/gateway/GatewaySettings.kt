/** The settings of a gateway, read from a JSON file. */
package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId
import org.guavapath.core.schema.Schema
import org.guavapath.core.schema.SchemaFault
import org.guavapath.core.schema.record
import org.guavapath.core.versions.ExposureBounds
import org.guavapath.core.weights.ReplacedWeightsPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_NUMBER = 1_000_000_000L
private const val MAX_PROCESSORS = 1_024.0
private const val MAX_REPEAT_RATIO = 100.0

/** An IP address and a port. */
internal data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses [text] of the form `HOST:PORT`. */
        fun of(text: String): SocketAddress =
            SocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
    }
}

/**
 * The settings of a gateway.
 *
 * @property vm name of this VM
 * @property failureDomain failure domain of this VM
 * @property callers listen address for callers
 * @property readiness listen address of the platform's readiness check and the metrics
 * @property peers listen address for other gateways
 * @property store address of the platform's store
 * @property peerSeeds addresses of some other gateways
 * @property peerSecrets shared secrets for authentication between gateways
 * @property processors number of this VM's processor cores
 * @property processorShare fraction of each core that it may use
 * @property isFirstStart whether the whole fleet starts for the first time
 * @property drainMilliseconds longest duration of a graceful shutdown
 * @property repeatRatio retries allowed for each request
 * @property repeatWindowSeconds window over which [repeatRatio] holds
 * @property repeatSlack retries that the whole fleet may send beyond the ratio in a window
 * @property replacedWeightsMilliseconds time after which no request may begin on weights that were replaced
 * @property areOrdersFenced whether replicas reject orders with a lower fencing token than they have seen
 * @property startupGraceMilliseconds time after its start in which a gateway is not held to that
 * @property exposureShare part of a service's requests that an unproven version may get; null if services are not moved
 *   to other versions
 * @property exposureSlack requests that it may get beyond that
 * @property rollBackMilliseconds time within which a version that is found to be bad gets no more requests
 */
@Serializable
internal data class GatewaySettings(
    val vm: VmId,
    val failureDomain: FailureDomainName,
    val callers: String,
    val readiness: String,
    val peers: String,
    val store: String,
    val peerSeeds: List<String> = emptyList(),
    val peerSecrets: List<String>,
    val processors: Double = 1.0,
    val processorShare: Double = 1.0,
    val isFirstStart: Boolean = false,
    val drainMilliseconds: Long,
    val repeatRatio: Double,
    val repeatWindowSeconds: Long,
    val repeatSlack: Double,
    val replacedWeightsMilliseconds: Long = ReplacedWeightsPolicy.DEFAULT_BOUND.inWholeMilliseconds,
    val areOrdersFenced: Boolean = false,
    val startupGraceMilliseconds: Long = ReplacedWeightsPolicy.DEFAULT_STARTUP_GRACE.inWholeMilliseconds,
    val exposureShare: Double? = null,
    val exposureSlack: Int = 0,
    val rollBackMilliseconds: Long = ExposureBounds.DEFAULT_STOP_TIME.inWholeMilliseconds,
) {
    val drainTimeout: Duration get() = drainMilliseconds.milliseconds
    val usableProcessors: Double get() = processors * processorShare
    val repeatWindow: Duration get() = repeatWindowSeconds.seconds
    val replacedWeights: ReplacedWeightsPolicy
        get() = ReplacedWeightsPolicy(replacedWeightsMilliseconds.milliseconds, startupGraceMilliseconds.milliseconds)

    /** Bounds on what a version may get that has not proven good, null if services are not moved to other versions. */
    val exposure: ExposureBounds?
        get() = exposureShare?.let { ExposureBounds(it, exposureSlack, rollBackMilliseconds.milliseconds) }

    companion object {
        private val name = Schema.Text(
            Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
            "1 to 63 letters, digits, '.', '_', '-'"
        )
        private val address = Schema.Text(Regex("[0-9.]+:[0-9]{1,5}"), "an IP address and a port, as in 10.0.0.1:7000")
        private val secret = Schema.Text(Regex(".{16,256}"), "16 to 256 characters")
        private val count = Schema.WholeNumber(0, MAX_NUMBER)

        /** Twice the reserve of the policy. */
        private val MIN_WEIGHTS_BOUND = 2 * ReplacedWeightsPolicy.RESERVE.inWholeMilliseconds
        private val schema = record {
            required("vm", name)
            required("failureDomain", name)
            required("callers", address)
            required("readiness", address)
            required("peers", address)
            required("store", address)
            optional("peerSeeds", Schema.ListOf(address))
            required("peerSecrets", Schema.ListOf(secret))
            optional("processors", Schema.Number(0.0, MAX_PROCESSORS))
            optional("processorShare", Schema.Number(0.0, 1.0))
            optional("isFirstStart", Schema.BooleanValue)
            required("drainMilliseconds", count)
            required("repeatRatio", Schema.Number(0.0, MAX_REPEAT_RATIO))
            required("repeatWindowSeconds", count)
            required("repeatSlack", Schema.Number(0.0, MAX_NUMBER.toDouble()))
            optional("replacedWeightsMilliseconds", Schema.WholeNumber(MIN_WEIGHTS_BOUND, MAX_NUMBER))
            optional("areOrdersFenced", Schema.BooleanValue)
            optional("startupGraceMilliseconds", count)
            optional("exposureShare", Schema.Number(0.0, 1.0))
            optional("exposureSlack", count)
            optional("rollBackMilliseconds", count)
        }

        /** Parses the settings in [text]; the error lists every fault. */
        fun read(text: String): Result<GatewaySettings, List<SchemaFault>> {
            val document = try {
                Json.parseToJsonElement(text)
            } catch (exception: SerializationException) {
                return Err(listOf(SchemaFault("$", exception.message.orEmpty(), "a JSON object")))
            }
            val faults = schema.faults(document, "$")
            return if (faults.isEmpty()) Ok(Json.decodeFromJsonElement(serializer(), document)) else Err(faults)
        }
    }
}
