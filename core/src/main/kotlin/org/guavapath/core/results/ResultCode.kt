/**
 * Result codes reported to callers and operators and in logs.
 *
 * The thousands digit is the group: 1 success, 2 invalid requests, 3 identity, 4 limits, 5 dispatch,
 * 6 peer links, 7 configuration and the platform, 9 internal errors. Each group except success is a
 * sealed class in a separate file. docs/RESULT_CODES.md lists the same codes; a test compares the two.
 */
package org.guavapath.core.results

/**
 * A numbered result of a request or an operation.
 *
 * @property number the number, stable across releases
 * @property label the name, stable across releases
 * @property status HTTP status of a response with this result
 * @property outcome whether the request was run
 * @property sentence human-readable description
 */
public sealed class ResultCode(
    public val number: Int,
    public val label: String,
    public val status: HttpStatus,
    public val outcome: RunOutcome,
    public val sentence: String,
) {
    override fun toString(): String = "$number $label"
}

/** The request was served. */
public data object Served : ResultCode(
    number = 1000,
    label = "served",
    status = HttpStatus.OK,
    outcome = RunOutcome.DONE,
    sentence = "The request was served.",
)
