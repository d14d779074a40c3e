package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * When a target was named, as far as one VM knows.
 *
 * @property number the weights
 * @property learnedAt when the first VM is known to have learned of it
 * @property isWitnessed whether a VM learned of it as a change, so that it was named right before [learnedAt]; a VM
 *   that found it when it first read the store knows only that it was named before
 */
public data class TargetNaming(
    public val number: WeightsNumber,
    public val learnedAt: MonotonicTime,
    public val isWitnessed: Boolean,
) {
    internal fun merge(other: TargetNaming) =
        copy(learnedAt = minOf(learnedAt, other.learnedAt), isWitnessed = isWitnessed || other.isWitnessed)
}

/** The target weights of each model, with recent earlier targets and when they were named. */
public class TargetWeights {
    private val history = HashMap<ModelName, List<TargetNaming>>()

    /**
     * Sets the target of [model] to [number]; returns false and ignores it if it is not newer than the current one.
     *
     * @param learnedAt when this VM learned of it
     * @param isWitnessed whether it was named right before
     */
    public fun setTarget(
        model: ModelName,
        number: WeightsNumber,
        learnedAt: MonotonicTime,
        isWitnessed: Boolean = true,
    ): Boolean {
        if (newest(model).let { it != null && number <= it }) return false
        add(model, TargetNaming(number, learnedAt, isWitnessed))
        return true
    }

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
            it.number == naming.number && it.isWitnessed >= naming.isWitnessed &&
                it.learnedAt <= naming.learnedAt + uncertainty
        }

    /** Takes all targets to have been named earlier [by] so much, which the clock has not counted. */
    public fun age(by: Duration) {
        history.replaceAll { _, namings -> namings.map { it.copy(learnedAt = it.learnedAt + (-by)) } }
    }

    /** Returns what is known of the targets of all models, oldest first. */
    public fun namings(): Map<ModelName, List<TargetNaming>> = history.toMap()

    /** Returns the target weights of [model], null if none were set. */
    public fun newest(model: ModelName): WeightsNumber? = history[model]?.last()?.number

    /** Returns the target weights of all models. */
    public fun newestOfAll(): Map<ModelName, WeightsNumber> = history.mapValues { it.value.last().number }

    /** Returns how outdated weights [number] of [model] are at [now]. */
    public fun staleness(model: ModelName, number: WeightsNumber, now: MonotonicTime): Staleness {
        val next = history[model]?.firstOrNull { it.number > number } ?: return Staleness.Current
        val known = now - next.learnedAt
        return if (next.isWitnessed) Staleness.Replaced(known) else Staleness.Unknown(known)
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
