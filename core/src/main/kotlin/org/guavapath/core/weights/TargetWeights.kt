package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * The target weights of each model, with recent earlier targets and when they were named.
 *
 * @param areKnown whether models without a target have none; otherwise theirs may not be known yet
 */
public class TargetWeights(private var areKnown: Boolean = true) {
    private val history = HashMap<ModelName, List<TargetNaming>>()

    /** Records that all targets are set that there are. */
    public fun listed() {
        areKnown = true
    }

    /** Sets the target of [model]; returns false and ignores it if it is not newer than the current one. */
    public fun setTarget(model: ModelName, naming: TargetNaming): Boolean {
        if (newest(model).let { it != null && naming.number <= it }) return false
        add(model, naming)
        return true
    }

    /** Sets the target of [model] to [number], which was seen to be named at [now]. */
    public fun setTarget(model: ModelName, number: WeightsNumber, now: MonotonicTime): Boolean =
        setTarget(model, TargetNaming(number, learnedAt = now, witnessedAt = now))

    /**
     * Merges what another VM knows of the targets of [model]; returns whether it is news. Newer targets are ignored.
     *
     * @param namings with the earliest times at which that VM may have learned of them
     * @param uncertainty how much later that may have been
     */
    public fun learn(model: ModelName, namings: List<TargetNaming>, uncertainty: Duration): Boolean {
        val before = history[model].orEmpty()
        val newest = newest(model) ?: return false
        namings.filter { it.number <= newest && !isKnown(before, it, uncertainty) }.forEach { add(model, it) }
        return history[model] != before
    }

    /** Whether [naming] agrees with [known]; otherwise VMs that ask each other would take targets for ever older. */
    private fun isKnown(known: List<TargetNaming>, naming: TargetNaming, uncertainty: Duration): Boolean =
        known.any {
            it.number == naming.number && it.learnedAt <= naming.learnedAt + uncertainty &&
                (it.earliest != null || naming.earliest == null)
        }

    /** Takes into account that the clock may have stood still for [duration] until [now]. */
    public fun suspended(duration: Duration, now: MonotonicTime) {
        history.replaceAll { _, namings -> namings.map { it.afterSuspension(duration, now) } }
    }

    /** Returns whether it is unknown at what time the target of [model] was named. */
    public fun isAgeUnknown(model: ModelName): Boolean = history[model].orEmpty().any { it.earliest == null }

    /** Returns what is known of the targets of all models, oldest first. */
    public fun namings(): Map<ModelName, List<TargetNaming>> = history.toMap()

    /** Returns the target weights of [model], null if none were set. */
    public fun newest(model: ModelName): WeightsNumber? = history[model]?.last()?.number

    /** Returns the target weights of all models. */
    public fun newestOfAll(): Map<ModelName, WeightsNumber> = history.mapValues { it.value.last().number }

    /** Returns how outdated weights [number] of [model] are at [now]. */
    public fun staleness(model: ModelName, number: WeightsNumber, now: MonotonicTime): Staleness {
        val namings = history[model] ?: return if (areKnown) Staleness.Current else Staleness.Unknown(Duration.ZERO)
        val next = namings.firstOrNull { it.number > number } ?: return Staleness.Current
        return next.earliest?.let { Staleness.Replaced(now - it) } ?: Staleness.Unknown(now - next.learnedAt)
    }

    /** Returns how long ago the current target of [model] became known; infinite if none was set. */
    public fun sinceNewest(model: ModelName, now: MonotonicTime): Duration =
        history[model]?.let { now - it.last().learnedAt } ?: Duration.INFINITE

    private fun add(model: ModelName, naming: TargetNaming) {
        val known = history[model].orEmpty()
        val present = known.firstOrNull { it.number == naming.number }
        val others = known.filter { it.number != naming.number }
        history[model] = (others + (present?.merge(naming) ?: naming)).sortedBy { it.number }.takeLast(MAX_HISTORY)
    }

    private companion object {
        /** Older targets matter only while a replica still has weights that precede them. */
        const val MAX_HISTORY = 64
    }
}
