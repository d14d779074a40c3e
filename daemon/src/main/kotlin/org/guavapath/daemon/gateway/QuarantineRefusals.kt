package org.guavapath.daemon.gateway

import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.quarantine.RequestVerdict
import org.guavapath.core.results.DispatchCode
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.pipeline.Refusal

/** How one request is refused if replicas crash on it, or on a part of its prompt. */
internal class QuarantineRefusals(private val context: ExchangeContext, private val admitted: AdmittedRequest) {
    /** Returns the refusal right before a send, null if it may go out; calls [onTrial] if it does so as a trial. */
    fun beforeSend(onTrial: () -> Unit): Refusal? = ofRequest() ?: ofPrompt(onTrial)

    /** Returns the refusal if the request would not be sent now, null if it would be, also as a trial. */
    fun sinceSent(): Refusal? = ofRequest() ?: admitted.request.prompt?.takeIf { context.quarantine.isQuarantined(it) }
        ?.let { refusalOf(context.fleet.quarantine.verdict(PartKey.sharedPartsOf(it), MonotonicTime.now())) }

    private fun ofRequest(): Refusal? {
        val held = context.requestQuarantine.verdict(admitted.key) as? RequestVerdict.Held ?: return null
        val crashes = held.crashes.joinToString { RequestCrashCodec.describe(it) }
        val code = DispatchCode.RequestQuarantined
        return Refusal(code, "${code.sentence} ${admitted.key}: $crashes", held.timeLeft)
    }

    private fun ofPrompt(onTrial: () -> Unit): Refusal? {
        val prompt = admitted.request.prompt ?: return null
        return when (val verdict = context.quarantine.admit(prompt)) {
            QuarantineVerdict.Allowed -> null
            QuarantineVerdict.Trial -> {
                onTrial()
                null
            }
            is QuarantineVerdict.Quarantined -> refusalOf(verdict)
        }
    }

    private fun refusalOf(verdict: QuarantineVerdict) = Refusal(
        DispatchCode.PromptQuarantined,
        retryAfter = (verdict as? QuarantineVerdict.Quarantined)?.timeLeft,
    )
}
