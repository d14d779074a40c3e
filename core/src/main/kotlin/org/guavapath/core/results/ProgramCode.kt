package org.guavapath.core.results

/** Internal errors. */
public sealed class ProgramCode(
    number: Int,
    label: String,
    status: HttpStatus,
    outcome: RunOutcome,
    sentence: String,
) : ResultCode(number, label, status, outcome, sentence) {
    /** An internal invariant is violated. */
    public data object InvariantViolated : ProgramCode(
        number = 9001,
        label = "invariant-violated",
        status = HttpStatus.INTERNAL_ERROR,
        outcome = RunOutcome.UNKNOWN,
        sentence = "An invariant of the program does not hold.",
    )

    /** An internal error that no other code describes. */
    public data object InternalError : ProgramCode(
        number = 9002,
        label = "internal-error",
        status = HttpStatus.INTERNAL_ERROR,
        outcome = RunOutcome.UNKNOWN,
        sentence = "The program failed.",
    )
}
