/** The commands `guavapath config ...`. */
package org.guavapath.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.Configuration
import org.guavapath.core.config.StoredDocument

/** Output of `config apply`. */
@Serializable
internal data class ApplyReport(val version: Long, val changeId: String, val differences: List<Difference>)

/** Validates a configuration folder; needs no connection to the platform. */
@OptIn(ExperimentalCli::class)
internal class ConfigCheck : Command("check", "Check a configuration folder.", "config check examples/autarquia") {
    private val folder by argument(ArgType.String, description = "Folder of JSON files")

    override suspend fun run() {
        val configuration = FolderReader.read(folder)
        output.show(configuration, Configuration.serializer()) {
            listOf(
                "valid: ${configuration.workspaces.size} workspaces, ${configuration.keys.size} keys, " +
                    "${configuration.models.size} models, ${configuration.endpoints.size} endpoints, " +
                    "${configuration.routes.size} routes",
            )
        }
    }
}

/** Shows the configuration in force. */
internal class ConfigShow : PlatformCommand("show", "Show the configuration in force.", "config show --json") {
    override suspend fun run() {
        val stored = store.manifest()
        val configuration = store.document(stored)?.effective()
            ?: throw CommandFailure(ExitStatus.INVALID, "no configuration was applied yet")
        output.show(configuration, Configuration.serializer()) {
            listOf("version ${stored.version}", configuration.toString())
        }
    }
}

/** Compares a configuration folder with the one in force. */
@OptIn(ExperimentalCli::class)
internal class ConfigDiff :
    PlatformCommand("diff", "Compare a folder with the configuration in force.", "config diff examples/autarquia") {
    private val folder by argument(ArgType.String, description = "Folder of JSON files")

    override suspend fun run() {
        val before = store.document(store.manifest())?.folder ?: Configuration()
        val differences = ConfigurationDiff.between(before, FolderReader.read(folder))
        output.show(differences, ListSerializer(Difference.serializer())) { differences.map { it.toString() } }
    }
}

/** Puts a configuration folder in force, as a new version. */
@OptIn(ExperimentalCli::class)
internal class ConfigApply :
    PlatformCommand("apply", "Put a configuration folder in force.", "config apply examples/autarquia") {
    private val folder by argument(ArgType.String, description = "Folder of JSON files")

    override suspend fun run() {
        val configuration = FolderReader.read(folder)
        val stored = store.manifest()
        val before = store.document(stored) ?: StoredDocument(Configuration())
        val change = store.accept(before.copy(folder = configuration), stored, "apply")
        val differences = ConfigurationDiff.between(before.folder, configuration)
        output.show(ApplyReport(change.version.number, change.changeId, differences), ApplyReport.serializer()) {
            listOf("version ${change.version} accepted, ${differences.size} differences")
        }
    }
}

/** Lists the accepted changes, the latest first. */
internal class ConfigHistory : PlatformCommand("history", "List the accepted changes.", "config history") {
    override suspend fun run() {
        val manifest = store.manifest().manifest
        val changes = listOfNotNull(manifest?.current) + manifest?.earlier.orEmpty()
        output.show(changes, ListSerializer(AcceptedChange.serializer())) {
            changes.map { "${it.version} ${it.acceptedAt} ${it.note} (${it.changeId})" }
        }
    }
}

/** Puts the configuration folder of an earlier version in force again, as a new version. */
@OptIn(ExperimentalCli::class)
internal class ConfigRollback : PlatformCommand(
    "rollback-as-new",
    "Accept the folder of an earlier version as a new version; withdrawn keys stay withdrawn.",
    "config rollback-as-new 3",
) {
    private val version by argument(ArgType.Int, description = "Version to go back to")

    override suspend fun run() {
        val stored = store.manifest()
        val manifest = stored.manifest ?: throw CommandFailure(ExitStatus.INVALID, "no configuration was applied yet")
        val earlier = manifest.earlier.firstOrNull { it.version.number == version.toLong() }
            ?: throw CommandFailure(ExitStatus.INVALID, "version $version is not in the history")
        val current = store.document(manifest.current)
        val folder = store.document(earlier).folder
        val change = store.accept(current.copy(folder = folder), stored, "rollback to $version")
        output.show(change, AcceptedChange.serializer()) { listOf("version ${change.version} accepted") }
    }
}
