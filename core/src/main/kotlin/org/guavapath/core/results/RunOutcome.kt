package org.guavapath.core.results

/**
 * Whether an endpoint ran a request, as far as known.
 *
 * @property word the text used in responses and logs
 */
public enum class RunOutcome(public val word: String) {
    /** An endpoint ran the request and responded. */
    DONE("done"),

    /** No endpoint ran any part of the request. */
    NOT_RUN("not run"),

    /** An endpoint may have run the request or a part of it. */
    UNKNOWN("unknown"),
}
