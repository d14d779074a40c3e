package org.guavapath.core.results

/** No endpoint served the request completely. */
public sealed class DispatchCode(
    number: Int,
    label: String,
    status: HttpStatus,
    outcome: RunOutcome,
    sentence: String,
) : ResultCode(number, label, status, outcome, sentence) {
    /** No endpoint can serve the request now. */
    public data object NoEndpoint : DispatchCode(
        number = 5001,
        label = "no-endpoint",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "No endpoint can serve the request now.",
    )

    /** No endpoint could be reached and none received any part of the request. */
    public data object EndpointUnreachable : DispatchCode(
        number = 5002,
        label = "endpoint-unreachable",
        status = HttpStatus.BAD_GATEWAY,
        outcome = RunOutcome.NOT_RUN,
        sentence = "No endpoint could be reached; the request was not run.",
    )

    /** The endpoint failed and may have run the request, which must not be repeated. */
    public data object OutcomeUnknown : DispatchCode(
        number = 5003,
        label = "outcome-unknown",
        status = HttpStatus.BAD_GATEWAY,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The endpoint failed; whether the request ran is unknown.",
    )

    /** The response ended early and could not be resumed. */
    public data object AnswerIncomplete : DispatchCode(
        number = 5004,
        label = "answer-incomplete",
        status = HttpStatus.BAD_GATEWAY,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The answer broke off before its end.",
    )

    /** The idempotency key was used by an earlier attempt whose outcome is not recorded. */
    public data object OperationClaimed : DispatchCode(
        number = 5005,
        label = "operation-claimed",
        status = HttpStatus.CONFLICT,
        outcome = RunOutcome.UNKNOWN,
        sentence = "An earlier attempt holds this idempotency key; its outcome is unknown.",
    )

    /** The claim for an idempotency key could not be recorded. */
    public data object ClaimUnavailable : DispatchCode(
        number = 5006,
        label = "claim-unavailable",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The idempotency key could not be recorded; the request was not run.",
    )

    /** The endpoint sent nothing within the allowed time. */
    public data object EndpointTimeout : DispatchCode(
        number = 5007,
        label = "endpoint-timeout",
        status = HttpStatus.GATEWAY_TIMEOUT,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The endpoint did not answer in time.",
    )

    /** The daemon is shutting down and accepts no new requests. */
    public data object Draining : DispatchCode(
        number = 5008,
        label = "draining",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The daemon is shutting down.",
    )

    /** The daemon has no configuration yet. */
    public data object NotConfigured : DispatchCode(
        number = 5009,
        label = "not-configured",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The daemon has no configuration yet.",
    )

    /** An earlier attempt with the idempotency key completed the operation. */
    public data object OperationDone : DispatchCode(
        number = 5010,
        label = "operation-done",
        status = HttpStatus.CONFLICT,
        outcome = RunOutcome.DONE,
        sentence = "An earlier attempt with this idempotency key was done.",
    )

    /** The request waited until its deadline and was not sent to an endpoint. */
    public data object DeadlinePassed : DispatchCode(
        number = 5011,
        label = "deadline-passed",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "No endpoint took the request in time.",
    )

    /** Every endpoint that received the request refused it before running it. */
    public data object EndpointsBusy : DispatchCode(
        number = 5012,
        label = "endpoints-busy",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The endpoints refused the request; it was not run.",
    )

    /** Replicas crash on prompts with a part of this one. */
    public data object PromptQuarantined : DispatchCode(
        number = 5013,
        label = "prompt-quarantined",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "Endpoints failed on requests with a part of this prompt; it was not run.",
    )

    /** All replicas that could serve the request get as many requests as they have said that they take. */
    public data object EndpointsAtRate : DispatchCode(
        number = 5014,
        label = "endpoints-at-rate",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The endpoints get as many requests as they take; this one was not run.",
    )

    /** Replicas crash while they run this request. */
    public data object RequestQuarantined : DispatchCode(
        number = 5015,
        label = "request-quarantined",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.NOT_RUN,
        sentence = "Endpoints failed on this request before; it was not run.",
    )
}
