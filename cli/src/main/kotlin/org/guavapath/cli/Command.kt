package org.guavapath.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.guavapath.platform.store.ObjectStoreClient
import org.guavapath.platform.store.StoreObjectApi
import kotlin.system.exitProcess

private const val PLATFORM_VARIABLE = "GUAVAPATH_PLATFORM"

/** Base class of the commands; [example] is appended to the help text. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String, example: String) :
    Subcommand(name, "$description Example: guavapath $example") {
    private val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    protected val output: Output get() = Output(json)

    override fun execute() {
        try {
            runBlocking { run() }
        } catch (failure: CommandFailure) {
            System.err.println(failure.message)
            exitProcess(failure.status.number)
        }
    }

    protected abstract suspend fun run()
}

/** Base class of the commands that read or change the configuration stored at the platform. */
@OptIn(ExperimentalCli::class)
internal abstract class PlatformCommand(name: String, description: String, example: String) :
    Command(name, description, example) {
    private val platform by option(
        ArgType.String,
        "platform",
        description = "Address of the platform's object API; default is the variable $PLATFORM_VARIABLE",
    )

    protected val store: ConfigurationStore by lazy {
        val address = platform ?: System.getenv(PLATFORM_VARIABLE)
            ?: throw CommandFailure(ExitStatus.USAGE, "give --platform ADDRESS or set $PLATFORM_VARIABLE")
        ConfigurationStore(StoreObjectApi(ObjectStoreClient(address.substringAfter("//").removeSuffix("/"))))
    }
}
