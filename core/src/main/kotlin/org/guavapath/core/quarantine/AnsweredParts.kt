package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime

private const val INITIAL_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** Bounds memory to about 1 MB, at about 100 bytes per part. */
private const val MAX_PARTS = 10_000

/** When prompts with a part were last answered completely; the least recently used parts are forgotten first. */
internal class AnsweredParts {
    private val times = object : LinkedHashMap<PartKey, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PartKey, MonotonicTime>): Boolean =
            size > MAX_PARTS
    }

    fun record(parts: Set<PartKey>, now: MonotonicTime) = parts.forEach { times.merge(it, now, ::maxOf) }

    /** Returns when a prompt with [part] was last answered, null if none is remembered. */
    operator fun get(part: PartKey): MonotonicTime? = times[part]
}
