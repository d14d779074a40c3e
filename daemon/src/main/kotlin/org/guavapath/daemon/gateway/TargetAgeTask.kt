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
 * Learns from other gateways when target weights were named, also those between that this one has missed, and keeps
 * their age right while this one does not run.
 *
 * A gateway that starts, or was cut off or frozen, does not know how old a target is; it asks the others. An age counts
 * from the question: however long the answer takes, the target is not taken for younger than it is.
 */
internal class TargetAgeTask(
    private val fleet: FleetState,
    private val peers: GatewayPeers,
    private val log: GatewayLog,
) {
    private val questions = HashMap<Long, MonotonicTime>()
    private var asked = 0L
    private var askAgainAt: MonotonicTime? = null

    /** Called when more is known of the age of targets. */
    var onLearned: () -> Unit = {}

    /** Watches for times in which this gateway did not run, until it is cancelled. */
    suspend fun run() {
        while (true) {
            val now = MonotonicTime.now()
            val suspended = fleet.stalls.tick(now, System.currentTimeMillis())
            if (suspended > Duration.ZERO) resumed(suspended, now)
            if (askAgainAt.let { it != null && it <= now }) {
                peers.broadcast(question(now))
                askAgainAt = (now + REPEAT_INTERVAL).takeIf { isAgeWanted() }
            }
            delay(TICK)
        }
    }

    /** Asks [peer], which has just been linked. */
    fun linked(peer: VmId) = peers.send(peer, question(MonotonicTime.now()))

    /** Asks all linked gateways, and again soon, as some learn of a target a little later. */
    fun ask() {
        val now = MonotonicTime.now()
        peers.broadcast(question(now))
        askAgainAt = now + REPEAT_INTERVAL
        onLearned()
    }

    /** Applies a message of [from]. */
    fun received(from: VmId, message: PeerMessage.OfTargets) = when (message) {
        is PeerMessage.TargetAgesWanted -> peers.send(from, answer(message.number))
        is PeerMessage.TargetAgesTold -> told(from, message)
    }

    /** Whether a replica has weights that were replaced at an unknown time. */
    private fun isAgeWanted(): Boolean = fleet.weights.newestOfAll().any { (model, newest) ->
        fleet.weights.isAgeUnknown(model) && fleet.replicas.all.any { replica ->
            replica.weights(model)?.let { it < newest } ?: false
        }
    }

    private fun resumed(suspended: Duration, now: MonotonicTime) {
        log.stateChange("clock stood still", "milliseconds" to suspended.inWholeMilliseconds)
        fleet.weights.suspended(suspended, now)
        questions.clear()
        ask()
    }

    private fun question(now: MonotonicTime): PeerMessage {
        questions.values.removeIf { now - it > ANSWER_TIMEOUT }
        asked += 1
        questions[asked] = now
        return PeerMessage.TargetAgesWanted(asked)
    }

    private fun answer(number: Long): PeerMessage {
        val now = MonotonicTime.now()
        val namings = fleet.weights.namings().entries.associate { (model, namings) ->
            model.text to namings.takeLast(MAX_NAMINGS).map { it.encode(now) }
        }
        return PeerMessage.TargetAgesTold(number, namings)
    }

    private fun told(from: VmId, message: PeerMessage.TargetAgesTold) {
        val askedAt = questions[message.number] ?: return
        val now = MonotonicTime.now()
        if (now - askedAt > ANSWER_TIMEOUT) return
        val learned = message.namings.filter { (model, shared) ->
            fleet.weights.learn(ModelName(model), shared.map { it.decode(askedAt) }, uncertainty = now - askedAt)
        }.keys
        learned.forEach { logLearned(it, from, now) }
        if (learned.isNotEmpty()) onLearned()
    }

    private fun logLearned(model: String, from: VmId, now: MonotonicTime) {
        val newest = fleet.weights.namings()[ModelName(model)]?.last()
        log.stateChange(
            "age of weights learned",
            "model" to model,
            "from" to from.text,
            "weights" to newest?.number?.number,
            "ageMs" to newest?.earliest?.let { (now - it).inWholeMilliseconds },
        )
    }

    private fun TargetNaming.encode(now: MonotonicTime) = PeerMessage.SharedNaming(
        number.number,
        (now - learnedAt).inWholeMilliseconds,
        witnessedAt?.let { (now - it).inWholeMilliseconds },
        notBefore?.let { (now - it).inWholeMilliseconds },
    )

    private fun PeerMessage.SharedNaming.decode(askedAt: MonotonicTime) = TargetNaming(
        WeightsNumber(number),
        askedAt + (-learned).milliseconds,
        witnessed?.let { askedAt + (-it).milliseconds },
        notBefore?.let { askedAt + (-it).milliseconds },
    )

    private companion object {
        val TICK = 250.milliseconds
        val REPEAT_INTERVAL = 1.seconds

        /** A slower answer makes targets too old. */
        val ANSWER_TIMEOUT = 2.seconds

        /** Replicas are not behind by more targets than that. */
        const val MAX_NAMINGS = 16
    }
}
