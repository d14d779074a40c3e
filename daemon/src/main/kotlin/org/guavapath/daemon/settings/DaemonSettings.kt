package org.guavapath.daemon.settings

import kotlinx.serialization.Serializable
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId

private const val DEFAULT_HEADER_BYTES = 16_384
private const val DEFAULT_BODY_BYTES = 8_000_000L
private const val DEFAULT_PROMPT_TOKENS = 1_000_000L
private const val DEFAULT_REQUESTS = 1_200
private const val DEFAULT_SLOW_REQUEST_MILLISECONDS = 10_000L
private const val DEFAULT_ADMISSION_WAIT_MILLISECONDS = 2_000L
private const val DEFAULT_FIRST_TOKEN_MILLISECONDS = 30_000L
private const val DEFAULT_TOKEN_GAP_MILLISECONDS = 3_000L

/** A host and port to listen on. Port 0 selects a free port. */
@Serializable
internal data class ListenAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * Limits on requests from callers and on streams from engines.
 *
 * @property headerBytes maximum size of a request head
 * @property bodyBytes maximum size of a request body
 * @property promptTokens maximum length of a prompt
 * @property requests maximum number of concurrent requests
 * @property slowRequestMilliseconds idle timeout while a request is received
 * @property admissionWaitMilliseconds maximum wait for tokens of the workspace
 * @property firstTokenMilliseconds timeout for the first event of an engine's stream
 * @property tokenGapMilliseconds timeout between two events of an engine's stream
 */
@Serializable
internal data class EdgeLimits(
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val promptTokens: Long = DEFAULT_PROMPT_TOKENS,
    val requests: Int = DEFAULT_REQUESTS,
    val slowRequestMilliseconds: Long = DEFAULT_SLOW_REQUEST_MILLISECONDS,
    val admissionWaitMilliseconds: Long = DEFAULT_ADMISSION_WAIT_MILLISECONDS,
    val firstTokenMilliseconds: Long = DEFAULT_FIRST_TOKEN_MILLISECONDS,
    val tokenGapMilliseconds: Long = DEFAULT_TOKEN_GAP_MILLISECONDS,
)

/**
 * The settings of a daemon, read from a JSON file at startup.
 *
 * @property callers address on which callers connect
 * @property operators address on which health and metrics are served
 * @property peers address on which other daemons connect
 * @property platform base URL of the platform's object API
 * @property peerAddresses host and port of each daemon to connect to at startup
 * @property peerSecrets shared secrets for authentication between daemons; the first is used, all are accepted
 * @property drainMilliseconds maximum duration of a graceful shutdown; 0 for no limit
 */
@Serializable
internal data class DaemonSettings(
    val vm: VmId,
    val failureDomain: FailureDomainName,
    val callers: ListenAddress,
    val operators: ListenAddress,
    val peers: ListenAddress,
    val platform: String,
    val peerAddresses: List<String> = emptyList(),
    val peerSecrets: List<String>,
    val limits: EdgeLimits = EdgeLimits(),
    val drainMilliseconds: Long = 0,
)
