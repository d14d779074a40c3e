package org.guavapath.core.results

/** The caller's key is missing, invalid or not permitted. */
public sealed class IdentityCode(
    number: Int,
    label: String,
    status: HttpStatus,
    outcome: RunOutcome,
    sentence: String,
) : ResultCode(number, label, status, outcome, sentence) {
    /** The route requires a key and the request has none. */
    public data object KeyMissing : IdentityCode(
        number = 3001,
        label = "key-missing",
        status = HttpStatus.UNAUTHORIZED,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The route needs a key.",
    )

    /** The key is not known. */
    public data object KeyUnknown : IdentityCode(
        number = 3002,
        label = "key-unknown",
        status = HttpStatus.UNAUTHORIZED,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The key is not known.",
    )

    /** The key was withdrawn before the request started. */
    public data object KeyWithdrawn : IdentityCode(
        number = 3003,
        label = "key-withdrawn",
        status = HttpStatus.UNAUTHORIZED,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The key was withdrawn.",
    )

    /** The key's workspace may not use the route. */
    public data object RouteForbidden : IdentityCode(
        number = 3004,
        label = "route-forbidden",
        status = HttpStatus.FORBIDDEN,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The key's workspace may not use this route.",
    )

    /** The key was withdrawn while the request was running. */
    public data object KeyWithdrawnMidway : IdentityCode(
        number = 3005,
        label = "key-withdrawn-midway",
        status = HttpStatus.UNAUTHORIZED,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The key was withdrawn during the request.",
    )
}
