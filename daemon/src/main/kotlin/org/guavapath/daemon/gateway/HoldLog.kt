package org.guavapath.daemon.gateway

import org.guavapath.core.quarantine.CrashQuarantine
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime

/** Logs when suspects are held, on trial and no longer held. */
internal class HoldLog(private val quarantine: CrashQuarantine, private val log: GatewayLog) {
    private var logged = emptySet<Set<Suspect>>()

    /** Logs what has changed since the last call; returns whether further suspects are held. */
    fun update(): Boolean {
        val current = quarantine.held
        val added = current - logged
        added.forEach { write("quarantine begun", it, crashesOf(it)) }
        (logged - current).forEach { write("quarantine ended", it) }
        logged = current
        return added.isNotEmpty()
    }

    /** Logs that a request with [suspects] is sent as a trial. */
    fun trial(suspects: Set<Suspect>) = write("quarantine on trial", suspects)

    private fun write(message: String, suspects: Set<Suspect>, crashes: List<String>? = null) = log.stateChange(
        message,
        "parts" to CrashReportCodec.partsIn(suspects),
        "requestKey" to CrashReportCodec.requestIn(suspects),
        "crashes" to crashes,
    )

    private fun crashesOf(held: Set<Suspect>): List<String>? {
        val verdict = quarantine.verdict(held, MonotonicTime.now()) as? QuarantineVerdict.Held
        return verdict?.crashes?.map { CrashReportCodec.describe(it) }
    }
}
