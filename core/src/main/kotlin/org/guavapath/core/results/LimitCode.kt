package org.guavapath.core.results

/** A limit is reached. */
public sealed class LimitCode(
    number: Int,
    label: String,
    status: HttpStatus,
    sentence: String,
) : ResultCode(number, label, status, RunOutcome.NOT_RUN, sentence) {
    /** The workspace has used up its rate and burst. */
    public data object RateExceeded : LimitCode(
        number = 4001,
        label = "rate-exceeded",
        status = HttpStatus.TOO_MANY_REQUESTS,
        sentence = "The workspace has used up its rate and burst.",
    )

    /** The request needs more tokens than the workspace's burst can ever hold. */
    public data object LargerThanBurst : LimitCode(
        number = 4002,
        label = "larger-than-burst",
        status = HttpStatus.UNPROCESSABLE_CONTENT,
        sentence = "The request needs more tokens than the workspace's burst.",
    )

    /** The daemon has reached its limit of concurrent requests. */
    public data object TooManyRequests : LimitCode(
        number = 4003,
        label = "too-many-requests",
        status = HttpStatus.UNAVAILABLE,
        sentence = "The daemon serves as many requests as it may.",
    )

    /** The daemon has no memory for the body. */
    public data object MemoryFull : LimitCode(
        number = 4004,
        label = "memory-full",
        status = HttpStatus.UNAVAILABLE,
        sentence = "The daemon holds as many bytes of bodies as it may.",
    )
}
