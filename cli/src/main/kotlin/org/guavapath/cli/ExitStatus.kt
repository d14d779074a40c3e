package org.guavapath.cli

/** The exit statuses of the command-line tool, as documented in docs/operators/COMMANDS.md. */
internal enum class ExitStatus(val number: Int) {
    /** The command succeeded. */
    DONE(number = 0),

    /** The input is not valid; nothing was changed. */
    INVALID(number = 1),

    /** A file cannot be read or the command line is wrong. */
    USAGE(number = 2),

    /** Another change was accepted first; nothing was changed. */
    CONFLICT(number = 3),

    /** The platform or a daemon did not respond. */
    UNAVAILABLE(number = 4),
}

/** Ends a command: its message is printed to standard error, and the process exits with [status]. */
internal class CommandFailure(val status: ExitStatus, message: String, cause: Exception? = null) :
    Exception(message, cause)
