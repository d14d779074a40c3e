/** Entry point of the stand-ins: runs the external systems listed in a settings file until the process is ended. */
package org.guavapath.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import org.guavapath.standins.engine.EngineStandIn
import org.guavapath.standins.platform.PlatformStandIn
import org.guavapath.standins.service.CrashingReplica
import org.guavapath.standins.service.ServiceStandIn
import org.guavapath.standins.service.StutteringReplica
import org.guavapath.standins.traffic.runTraffic
import org.guavapath.standins.weights.WeightStoreStandIn
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.system.exitProcess

/** Starts the stand-ins, or sends demo traffic if the first argument is `traffic`. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == "traffic") {
        exitProcess(runTraffic(arguments.drop(1)))
    }
    val parser = ArgParser("standins")
    val settingsFile by parser.option(ArgType.String, "settings", description = "JSON file of stand-ins").required()
    parser.parse(arguments)
    start(Json.decodeFromString(StandInSettings.serializer(), Path.of(settingsFile).readText()))
    println("stand-ins ready")
}

private fun start(settings: StandInSettings) {
    settings.platformPort?.let { PlatformStandIn(it) }
    settings.weightStorePort?.let { WeightStoreStandIn(it) }
    settings.engines.forEach { EngineStandIn(it) }
    settings.servicePorts.forEach { ServiceStandIn(it) }
    settings.stutteringReplicas.forEach { StutteringReplica(it) }
    settings.crashingReplicas.forEach { CrashingReplica(it) }
}
