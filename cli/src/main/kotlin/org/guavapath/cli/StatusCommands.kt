/** The commands that show daemons, endpoints and workspaces. */
package org.guavapath.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.Endpoint
import org.guavapath.core.identity.EndpointName
import java.io.IOException

private val client = OkHttpClient()
private val statusJson = Json { ignoreUnknownKeys = true }

/** Tokens of a workspace on one VM. */
@Serializable
internal data class WorkspaceTokensStatus(val name: String, val tokens: Long)

/** Status of a daemon; if it did not respond, [error] is set and [vm] is the address that was queried. */
@Serializable
internal data class DaemonReport(
    val vm: String = "unknown",
    val failureDomain: String = "unknown",
    val configurationVersion: Long = 0,
    val draining: Boolean = false,
    val requests: Int = 0,
    val linkedPeers: List<String> = emptyList(),
    val workspaces: List<WorkspaceTokensStatus> = emptyList(),
    val error: String? = null,
)

/** Tokens that a workspace can use at once, summed over the queried daemons. */
@Serializable
internal data class WorkspaceUsage(val name: String, val availableTokens: Long)

private fun fetchReport(address: String): DaemonReport = try {
    client.newCall(Request.Builder().url("http://$address/status").build()).execute().use {
        statusJson.decodeFromString(DaemonReport.serializer(), it.body.string())
    }
} catch (exception: IOException) {
    DaemonReport(vm = address, error = exception.message)
}

/** Base class of the commands that query daemons at their operator addresses. */
@OptIn(ExperimentalCli::class)
internal abstract class DaemonCommand(name: String, description: String, example: String) :
    Command(name, description, example) {
    private val daemons by option(
        ArgType.String,
        "daemons",
        description = "Operator addresses, HOST:PORT, with commas between them",
    ).required()

    protected fun fetchReports(): List<DaemonReport> = daemons.split(',').map { fetchReport(it.trim()) }
}

/** Shows the status of daemons. */
internal class Status : DaemonCommand("status", "Show the state of daemons.", "status --daemons 10.0.0.1:8100") {
    override suspend fun run() {
        val reports = fetchReports()
        output.show(reports, ListSerializer(DaemonReport.serializer())) {
            reports.map { report ->
                report.error?.let { "${report.vm}: no answer ($it)" }
                    ?: "${report.vm} in ${report.failureDomain}: configuration ${report.configurationVersion}, " +
                    "${report.requests} requests, linked to ${report.linkedPeers.size} peers" +
                    if (report.draining) ", draining" else ""
            }
        }
        if (reports.any { it.error != null }) throw CommandFailure(ExitStatus.UNAVAILABLE, "not every daemon answered")
    }
}

/** Shows the tokens that workspaces can use at once. */
internal class WorkspaceUsageCommand :
    DaemonCommand("usage", "Show the tokens that each workspace has left.", "workspace usage --daemons 10.0.0.1:8100") {
    override suspend fun run() {
        val usage = fetchReports().flatMap { it.workspaces }.groupBy { it.name }
            .map { (name, parts) -> WorkspaceUsage(name, parts.sumOf { it.tokens }) }
        output.show(usage, ListSerializer(WorkspaceUsage.serializer())) {
            usage.map { "${it.name}: ${it.availableTokens} tokens available" }
        }
    }
}

/** Lists the endpoints of the configuration in force. */
internal class EndpointList : PlatformCommand("list", "List the endpoints.", "endpoint list") {
    override suspend fun run() {
        val endpoints = store.document(store.manifest())?.effective()?.endpoints.orEmpty()
        output.show(endpoints, ListSerializer(Endpoint.serializer())) {
            endpoints.map { endpoint ->
                val state = if (endpoint.draining) "draining" else "in use"
                "${endpoint.name} ${endpoint.kind.name.lowercase()} ${endpoint.failureDomain} ${endpoint.url} $state"
            }
        }
    }
}

/** Drains an endpoint or, with `--undo`, ends the drain. */
@OptIn(ExperimentalCli::class)
internal class EndpointDrain :
    PlatformCommand("drain", "Send no new work to an endpoint, or with --undo again.", "endpoint drain opinion-1") {
    private val endpointName by argument(ArgType.String, description = "Name of the endpoint")
    private val undo by option(ArgType.Boolean, "undo", description = "Send work again").default(false)

    override suspend fun run() {
        val stored = store.manifest()
        val document = store.document(stored) ?: throw CommandFailure(ExitStatus.INVALID, "there is no configuration")
        val name = EndpointName(endpointName)
        if (document.folder.endpoints.none { it.name == name }) {
            throw CommandFailure(ExitStatus.INVALID, "no endpoint is named $name")
        }
        val drained = if (undo) document.drainedEndpoints - name else document.drainedEndpoints + name
        val note = if (undo) "end drain of $name" else "drain $name"
        val change = store.accept(document.copy(drainedEndpoints = drained), stored, note)
        output.show(change, AcceptedChange.serializer()) { listOf("version ${change.version} accepted") }
    }
}
