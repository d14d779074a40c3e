package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/** Which weights were named for each model and when this VM learned of them. */
public class NamedWeights {
    private class Naming(val number: WeightsNumber, val seenAt: MonotonicTime)

    private val namings = HashMap<ModelName, MutableList<Naming>>()

    /** Records that [number] is named for [model]; returns whether it is newer than all before. */
    public fun name(model: ModelName, number: WeightsNumber, now: MonotonicTime): Boolean {
        val known = namings.getOrPut(model) { ArrayList() }
        if (known.isNotEmpty() && number <= known.last().number) return false
        known.add(Naming(number, now))
        if (known.size > MOST_NAMINGS) known.removeAt(0)
        return true
    }

    /** Returns the newest weights named for [model], null if none were. */
    public fun newest(model: ModelName): WeightsNumber? = namings[model]?.last()?.number

    /** Returns the newest weights of all models. */
    public fun newestOfAll(): Map<ModelName, WeightsNumber> = namings.mapValues { it.value.last().number }

    /** Returns how long weights newer than [number] have been named for [model]; zero if there are none. */
    public fun outdatedFor(model: ModelName, number: WeightsNumber, now: MonotonicTime): Duration =
        namings[model]?.firstOrNull { it.number > number }?.let { now - it.seenAt } ?: Duration.ZERO

    /** Returns how long ago the newest weights of [model] were named. */
    public fun sinceNewest(model: ModelName, now: MonotonicTime): Duration =
        namings[model]?.let { now - it.last().seenAt } ?: Duration.INFINITE

    private companion object {
        /** Older namings only matter while a replica still has weights before them. */
        const val MOST_NAMINGS = 64
    }
}
