package org.guavapath.core.results

/** A configuration is not accepted, or the platform is unavailable. */
public sealed class ConfigurationCode(
    number: Int,
    label: String,
    status: HttpStatus,
    outcome: RunOutcome,
    sentence: String,
) : ResultCode(number, label, status, outcome, sentence) {
    /** The configuration is not valid. */
    public data object ConfigurationInvalid : ConfigurationCode(
        number = 7001,
        label = "configuration-invalid",
        status = HttpStatus.BAD_REQUEST,
        outcome = RunOutcome.NOT_RUN,
        sentence = "The configuration is not valid.",
    )

    /** Another operator's change was accepted first. */
    public data object ConfigurationConflict : ConfigurationCode(
        number = 7002,
        label = "configuration-conflict",
        status = HttpStatus.CONFLICT,
        outcome = RunOutcome.NOT_RUN,
        sentence = "Another change was accepted first.",
    )

    /** The platform's object API did not respond. */
    public data object PlatformUnavailable : ConfigurationCode(
        number = 7003,
        label = "platform-unavailable",
        status = HttpStatus.UNAVAILABLE,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The platform's object API did not answer.",
    )
}
