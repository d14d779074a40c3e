package org.guavapath.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.useLines

/** Explains the outcome of a request from collected log files. */
@OptIn(ExperimentalCli::class)
internal class Explain : Command(
    "explain",
    "Explain how a request ended, from the log lines of all gateways.",
    "explain 7b5400a1cd5e98c7 logs/front-1.log logs/front-2.log",
) {
    private val requestId by argument(ArgType.String, description = "Identity of the caller's attempt")
    private val files by argument(ArgType.String, description = "Files of log lines").vararg()

    override suspend fun run() {
        val explanation = Explanation.of(requestId, files.flatMap { read(it) })
            ?: throw CommandFailure(ExitStatus.INVALID, "no line is about the request $requestId")
        output.show(explanation, Explanation.serializer()) {
            explanation.request + "circumstances:" + explanation.circumstances.map { "  $it" } +
                "cause: ${explanation.cause}"
        }
    }

    /** Reads the log lines of [file], skipping other text such as stack traces. */
    private fun read(file: String): List<LogLine> = try {
        val path = Path.of(file)
        path.useLines { lines -> lines.mapNotNull { LogLine.of(it, path.name) }.toList() }
    } catch (exception: IOException) {
        throw CommandFailure(ExitStatus.USAGE, "$file cannot be read: ${exception.message}", exception)
    }
}
