/** The program guavapath-gateway: reads its settings and runs one gateway until SIGTERM. */
package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import org.guavapath.platform.store.ObjectStoreClient
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.io.path.readText
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 2
private const val EXIT_REHEARSAL_FAILED = 4
private const val SETTINGS_VARIABLE = "GUAVAPATH_SETTINGS"

/**
 * Runs `guavapath-gateway [--settings FILE] [--check] [--rehearse]`. GUAVAPATH_SETTINGS names the file by default.
 * `--rehearse` briefly runs gateways on loopback against sample data in place of the platform.
 * Invalid settings end the program with exit status 2.
 */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("guavapath-gateway")
    val file by parser.option(ArgType.String, "settings", description = "JSON file with the settings")
    val isCheck by parser.option(ArgType.Boolean, "check", description = "check the settings and exit")
    val isRehearsal by parser.option(ArgType.Boolean, "rehearse", description = "run briefly on sample data and exit")
    parser.parse(arguments)
    if (isRehearsal == true) rehearse()
    val path = file ?: System.getenv(SETTINGS_VARIABLE) ?: fail(listOf("no settings: --settings or $SETTINGS_VARIABLE"))
    val settings = read(path)
    if (isCheck == true) return
    run(settings, path)
}

private fun rehearse(): Nothing {
    onSignals(end = {}, reload = {})
    val completed = Rehearsal().run()
    println("rehearsal: $completed requests answered")
    exitProcess(if (completed > 0) 0 else EXIT_REHEARSAL_FAILED)
}

private fun run(settings: GatewaySettings, path: String) {
    Thread.setDefaultUncaughtExceptionHandler { thread, cause ->
        endIfOutOfMemory(cause)
        KotlinLogging.logger("org.guavapath.gateway").error(cause) { "thread ${thread.name} failed" }
    }
    val gateway = Gateway(settings, ObjectStoreClient(settings.store))
    val stopped = CountDownLatch(1)
    onSignals(end = { stopped.countDown() }, reload = { reload(settings, path) })
    gateway.start()
    stopped.await()
    gateway.shutDown()
    exitProcess(0)
}

private fun onSignals(end: () -> Unit, reload: () -> Unit) {
    Signal.handle(Signal("TERM")) { end() }
    Signal.handle(Signal("HUP")) { reload() }
}

/**
 * Validates the settings file again and logs the result. Addresses and names are fixed for the life of the process, so
 * changes take effect at the next start.
 */
private fun reload(before: GatewaySettings, path: String) {
    val logger = KotlinLogging.logger("org.guavapath.gateway")
    val text = try {
        Path.of(path).readText()
    } catch (exception: IOException) {
        logger.warn(exception) { "settings not reloaded" }
        return
    }
    GatewaySettings.read(text).fold(
        success = { next ->
            val result = if (next == before) "unchanged" else "changed, in force at the next start"
            logger.info { "settings $result" }
        },
        failure = { faults -> logger.warn { "settings not reloaded: $faults" } },
    )
}

private fun read(path: String): GatewaySettings {
    val text = try {
        Path.of(path).readText()
    } catch (exception: IOException) {
        fail(listOf("$path cannot be read: ${exception.message}"))
    }
    return GatewaySettings.read(text).fold(
        success = { it },
        failure = { faults -> fail(faults.map { "$path: $it" }) },
    )
}

private fun fail(faults: List<String>): Nothing {
    faults.forEach { System.err.println(it) }
    exitProcess(EXIT_INVALID_SETTINGS)
}
