package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.VmId
import org.guavapath.core.results.Invariant
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetNaming
import org.guavapath.platform.wire.ConfigurationCodec
import org.guavapath.platform.wire.ReplicaCodec
import org.guavapath.platform.wire.StoreKinds

/**
 * State that the platform's operator controls: the configuration in force and the target weights.
 *
 * Both only become newer, by the numbers that the operator gave them, whatever the store holds: it may return from an
 * older copy.
 */
internal class OperatorState(
    private val fleet: FleetState,
    private val store: EraTrackingStore,
    private val log: GatewayLog,
) {
    private val newestWeights = HashMap<String, StoredObject>()

    /** The configuration in force, null before the first. */
    var configuration: FleetConfiguration? = null
        private set

    /** When the configuration in force took effect. */
    var configuredAt = MonotonicTime.ZERO
        private set

    /** The object with the configuration in force, null before the first. */
    var storedConfiguration: StoredObject? = null
        private set

    /** The objects with the target weights, by name. */
    val storedWeights: Map<String, StoredObject> get() = newestWeights

    /** Applies the configuration in [view] if it is newer. */
    fun updateConfiguration(view: StoreView) {
        view.objects[StoreKinds.CONFIGURATION_NAME]?.let { offerConfiguration(it) }
    }

    /** Called when target weights have become known. */
    var onWeightsNamed: () -> Unit = {}

    /** Applies the target weights that have changed in [view] and are newer. */
    fun updateWeights(view: StoreView) {
        view.changed.forEach { offerWeights(it, from = null, view.isChangeWitnessed) }
        fleet.weights.listed()
    }

    /** Applies the configuration in [stored] if it is newer; returns whether it is. */
    fun offerConfiguration(stored: StoredObject): Boolean = ConfigurationCodec.decode(stored.value).fold(
        success = { adopt(it, stored) },
        failure = {
            log.stateChange(
                "configuration ignored",
                "revision" to stored.revision.number,
                "error" to (stored.fault ?: it)
            )
            false
        },
    )

    /**
     * Applies the target weights in [stored] if they are newer; returns whether they are.
     *
     * @param from the gateway that has told them, null if they were read from the store
     * @param isWitnessed whether the store reported them as a change
     */
    fun offerWeights(stored: StoredObject, from: VmId?, isWitnessed: Boolean): Boolean {
        val targetWeights = ReplicaCodec.targetWeights(stored.value).getOrElse {
            log.stateChange("weights naming ignored", "name" to stored.name, "error" to (stored.fault ?: it))
            null
        } ?: return false
        val isNewer = fleet.weights.setTarget(targetWeights.model, naming(targetWeights.number, stored, isWitnessed))
        if (isNewer) {
            newestWeights[stored.name] = stored
            log.stateChange(
                "weights named",
                "model" to targetWeights.model.text,
                "weights" to targetWeights.number.number,
                "from" to (from?.text ?: "store"),
                "revision" to stored.revision.number,
                "isWitnessed" to isWitnessed,
            )
            onWeightsNamed()
        }
        return isNewer
    }

    private fun naming(number: WeightsNumber, stored: StoredObject, isWitnessed: Boolean): TargetNaming {
        val learnedAt = fleet.stalls.earliestArrival(MonotonicTime.now())
        val notBefore = store.revisionTimes.notBefore(stored.revision).takeIf { stored.revision.era == store.era.value }
        return TargetNaming(number, learnedAt, learnedAt.takeIf { isWitnessed }, notBefore)
    }

    private fun adopt(next: FleetConfiguration, stored: StoredObject): Boolean {
        val before = configuration
        if (before != null && next.version <= before.version) return false
        Invariant.check("fleet-configuration-never-reverts", before == null || next.version > before.version) {
            "${next.version} after ${before?.version}"
        }
        configuration = next
        storedConfiguration = stored
        configuredAt = MonotonicTime.now()
        fleet.quota.configure(next.workspaces.orEmpty(), MonotonicTime.now())
        log.stateChange("configuration in force", "version" to next.version.number, "former" to before?.version?.number)
        return true
    }
}
