package org.guavapath.standins

import kotlinx.serialization.Serializable
import org.guavapath.standins.engine.EngineSettings
import org.guavapath.standins.service.CrashingSettings
import org.guavapath.standins.service.StutteringSettings

/**
 * Settings of the stand-ins program. A stand-in without a port is not started.
 *
 * @property platformPort port of the platform store
 * @property weightStorePort port of the weight store
 * @property engines model engines to start
 * @property servicePorts one service is started on each of these ports
 * @property stutteringReplicas replicas of the sample fleet that stutter
 * @property crashingReplicas replicas of the sample fleet that crash
 */
@Serializable
internal data class StandInSettings(
    val platformPort: Int? = null,
    val weightStorePort: Int? = null,
    val engines: List<EngineSettings> = emptyList(),
    val servicePorts: List<Int> = emptyList(),
    val stutteringReplicas: List<StutteringSettings> = emptyList(),
    val crashingReplicas: List<CrashingSettings> = emptyList(),
)
