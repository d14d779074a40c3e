/** Entry point of guavapath, the command-line tool for operators. */
package org.guavapath.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

private const val HELP = "--help"

/** A group of commands, such as `config`. */
@OptIn(ExperimentalCli::class)
private class CommandGroup(name: String, description: String, private val commands: List<Subcommand>) :
    Subcommand(name, description) {
    private val names = commands.joinToString(", ") { it.name }

    init {
        commands.forEach { subcommands(it) }
    }

    override fun execute() = Unit

    /** Prints the help of one command; the argument parser alone would print the help of the group. */
    fun printHelp(command: String) {
        val known = commands.firstOrNull { it.name == command } ?: return
        println(known.actionDescription)
        known.parse(arrayOf(HELP))
    }

    fun exitWithoutCommand() {
        System.err.println("guavapath $name needs one of: $names")
        exitProcess(ExitStatus.USAGE.number)
    }
}

/** Runs `guavapath COMMAND`; `--help` after any command prints its help. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val groups = listOf(
        CommandGroup(
            "config",
            "Check, show and change the configuration.",
            listOf(ConfigCheck(), ConfigShow(), ConfigDiff(), ConfigApply(), ConfigHistory(), ConfigRollback()),
        ),
        CommandGroup("key", "Make, grant and withdraw keys.", listOf(KeyNew(), KeyGrant(), KeyWithdraw(), KeyList())),
        CommandGroup("endpoint", "List and drain endpoints.", listOf(EndpointList(), EndpointDrain())),
        CommandGroup("workspace", "Look at workspaces.", listOf(WorkspaceUsageCommand())),
    )
    val parser = ArgParser("guavapath")
    (groups + Status() + Explain()).forEach { parser.subcommands(it) }
    if (arguments.isEmpty()) parser.parse(arrayOf(HELP))
    val group = groups.firstOrNull { it.name == arguments.firstOrNull() }
    if (arguments.size == 1) group?.exitWithoutCommand()
    if (arguments.size > 2 && HELP in arguments) group?.printHelp(arguments[1])
    parser.parse(arguments)
}
