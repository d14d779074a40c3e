package org.guavapath.core.results

/** The request is invalid. */
public sealed class RequestCode(
    number: Int,
    label: String,
    status: HttpStatus,
    sentence: String,
) : ResultCode(number, label, status, RunOutcome.NOT_RUN, sentence) {
    /** The body is not valid JSON. */
    public data object MalformedJson : RequestCode(
        number = 2001,
        label = "malformed-json",
        status = HttpStatus.BAD_REQUEST,
        sentence = "The body is not valid JSON.",
    )

    /** The body is not valid UTF-8. */
    public data object InvalidUtf8 : RequestCode(
        number = 2002,
        label = "invalid-utf8",
        status = HttpStatus.BAD_REQUEST,
        sentence = "The body is not valid UTF-8.",
    )

    /** The request's headers are larger than the daemon accepts. */
    public data object HeaderTooLarge : RequestCode(
        number = 2003,
        label = "header-too-large",
        status = HttpStatus.HEADER_TOO_LARGE,
        sentence = "The headers are larger than allowed.",
    )

    /** The request's body is larger than the daemon accepts. */
    public data object BodyTooLarge : RequestCode(
        number = 2004,
        label = "body-too-large",
        status = HttpStatus.CONTENT_TOO_LARGE,
        sentence = "The body is larger than allowed.",
    )

    /** The prompt has more tokens than the daemon accepts. */
    public data object PromptTooLarge : RequestCode(
        number = 2005,
        label = "prompt-too-large",
        status = HttpStatus.CONTENT_TOO_LARGE,
        sentence = "The prompt is larger than allowed.",
    )

    /** A field of the request is missing, has the wrong type or is out of range. */
    public data object InvalidRequest : RequestCode(
        number = 2006,
        label = "invalid-request",
        status = HttpStatus.BAD_REQUEST,
        sentence = "A field of the request is not valid.",
    )

    /** A header that must not be repeated occurs more than once. */
    public data object DuplicateHeader : RequestCode(
        number = 2007,
        label = "duplicate-header",
        status = HttpStatus.BAD_REQUEST,
        sentence = "A header that may stand once is repeated.",
    )

    /** No route matches the method and path. */
    public data object RouteNotFound : RequestCode(
        number = 2008,
        label = "route-not-found",
        status = HttpStatus.NOT_FOUND,
        sentence = "No route matches the request.",
    )

    /** No model of this name is configured for the workspace. */
    public data object ModelNotFound : RequestCode(
        number = 2009,
        label = "model-not-found",
        status = HttpStatus.NOT_FOUND,
        sentence = "No model of this name is configured.",
    )

    /** The caller sent its request too slowly. */
    public data object SlowRequest : RequestCode(
        number = 2010,
        label = "slow-request",
        status = HttpStatus.REQUEST_TIMEOUT,
        sentence = "The request arrived too slowly.",
    )

    /** The request is malformed HTTP. */
    public data object MalformedHttp : RequestCode(
        number = 2011,
        label = "malformed-http",
        status = HttpStatus.BAD_REQUEST,
        sentence = "The request is not valid HTTP/1.1.",
    )
}
