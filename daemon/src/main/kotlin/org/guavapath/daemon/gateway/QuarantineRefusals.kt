package org.guavapath.daemon.gateway

import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.results.DispatchCode
import org.guavapath.daemon.pipeline.Refusal

/** How one request is refused if replicas crash on it, or on a part of its prompt. */
internal class QuarantineRefusals(private val context: ExchangeContext, private val admitted: AdmittedRequest) {
    /** Returns the refusal right before a send, null if it may go out; calls [onTrial] if it does so as a trial. */
    fun beforeSend(onTrial: () -> Unit): Refusal? = when (val verdict = context.quarantine.admit(admitted.suspects)) {
        QuarantineVerdict.Allowed -> null
        QuarantineVerdict.Trial -> {
            onTrial()
            null
        }
        is QuarantineVerdict.Held -> refusal(verdict)
    }

    /** Returns the refusal if the request would not be sent now, null if it would be, also as a trial. */
    fun ofNow(): Refusal? =
        (context.quarantine.verdict(admitted.suspects) as? QuarantineVerdict.Held)?.let { refusal(it) }

    private fun refusal(held: QuarantineVerdict.Held): Refusal {
        val code = if (held.isWholeRequest) DispatchCode.RequestQuarantined else DispatchCode.PromptQuarantined
        val crashes = held.crashes.joinToString { CrashReportCodec.describe(it) }
        return Refusal(code, "${code.sentence} ${held.suspects.joinToString(" ")}: $crashes", held.timeLeft)
    }
}
