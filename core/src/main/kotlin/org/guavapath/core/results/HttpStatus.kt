package org.guavapath.core.results

/**
 * HTTP statuses that are sent in responses or checked in them.
 *
 * @property number the status code
 */
public enum class HttpStatus(public val number: Int) {
    /** 200. */
    OK(number = 200),

    /** 400. */
    BAD_REQUEST(number = 400),

    /** 401. */
    UNAUTHORIZED(number = 401),

    /** 403. */
    FORBIDDEN(number = 403),

    /** 404. */
    NOT_FOUND(number = 404),

    /** 408. */
    REQUEST_TIMEOUT(number = 408),

    /** 409. */
    CONFLICT(number = 409),

    /** 413. */
    CONTENT_TOO_LARGE(number = 413),

    /** 422. */
    UNPROCESSABLE_CONTENT(number = 422),

    /** 429. */
    TOO_MANY_REQUESTS(number = 429),

    /** 431. */
    HEADER_TOO_LARGE(number = 431),

    /** 500. */
    INTERNAL_ERROR(number = 500),

    /** 502. */
    BAD_GATEWAY(number = 502),

    /** 503. */
    UNAVAILABLE(number = 503),

    /** 504. */
    GATEWAY_TIMEOUT(number = 504),
    ;

    /** Tells which numbers are statuses. */
    public companion object {
        /** The numbers that the status of a response may have. */
        public val NUMBERS: IntRange = 100..599
    }
}
