package org.guavapath.daemon.gateway

import kotlinx.coroutines.delay
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetNaming
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Learns from other gateways when target weights were named, and keeps their age right while this one does not run.
 *
 * A gateway that starts, or was cut off, finds a target without knowing how old it is; it asks the others. An age
 * counts from the question: however long the answer takes, the target is not taken for younger than it is.
 */
internal class TargetAgeTask(
    private val fleet: FleetState,
    private val peers: GatewayPeers,
    private val log: GatewayLog,
) {
    private val questions = HashMap<Long, MonotonicTime>()
    private var asked = 0L

    /** Watches for times in which this gateway did not run, until it is cancelled. */
    suspend fun run() {
        while (true) {
            val suspended = fleet.stalls.tick(MonotonicTime.now(), System.currentTimeMillis())
            if (suspended > Duration.ZERO) resumed(suspended)
            delay(TICK)
        }
    }

    /** Asks [peer], which has just been linked. */
    fun linked(peer: VmId) = peers.send(peer, question())

    /** Asks all linked gateways. */
    fun ask() = peers.broadcast(question())

    /** Applies a message of [from]. */
    fun received(from: VmId, message: PeerMessage.OfTargets) = when (message) {
        is PeerMessage.TargetAgesWanted -> peers.send(from, answer(message.number))
        is PeerMessage.TargetAgesTold -> told(from, message)
    }

    private fun resumed(suspended: Duration) {
        log.stateChange("clock stood still", "milliseconds" to suspended.inWholeMilliseconds)
        fleet.weights.age(suspended)
        questions.clear()
        ask()
    }

    private fun question(): PeerMessage {
        val now = MonotonicTime.now()
        questions.values.removeIf { now - it > ANSWER_TIMEOUT }
        asked += 1
        questions[asked] = now
        return PeerMessage.TargetAgesWanted(asked)
    }

    private fun answer(number: Long): PeerMessage {
        val now = MonotonicTime.now()
        val ages = fleet.weights.namings().entries.associate { (model, namings) ->
            model.text to namings.takeLast(MAX_NAMINGS).map {
                PeerMessage.SharedNaming(it.number.number, (now - it.learnedAt).inWholeMilliseconds, it.isWitnessed)
            }
        }
        return PeerMessage.TargetAgesTold(number, ages)
    }

    private fun told(from: VmId, message: PeerMessage.TargetAgesTold) {
        val askedAt = questions[message.number] ?: return
        message.namings.forEach { (model, shared) ->
            val namings = shared.map {
                val learnedAt = askedAt + (-it.ageMilliseconds).milliseconds
                TargetNaming(WeightsNumber(it.number), learnedAt, it.isWitnessed)
            }
            if (fleet.weights.learn(ModelName(model), namings, uncertainty = MonotonicTime.now() - askedAt)) {
                val newest = namings.lastOrNull()
                log.stateChange(
                    "age of weights learned",
                    "model" to model,
                    "from" to from.text,
                    "weights" to newest?.number?.number,
                    "ageMs" to newest?.let { (MonotonicTime.now() - it.learnedAt).inWholeMilliseconds },
                    "isWitnessed" to newest?.isWitnessed,
                )
            }
        }
    }

    private companion object {
        val TICK = 250.milliseconds
        val ANSWER_TIMEOUT = 10.seconds

        /** Replicas are not behind by more targets than that. */
        const val MAX_NAMINGS = 16
    }
}
