package org.bulrushtack.command

/** The exit codes of the program; 64 means a usage error. */
internal object ExitCode {
    /** The daemon rejected the request, the file has validation errors, or no log line matched. */
    const val REFUSED: Int = 1

    /** The daemon could not be reached. */
    const val UNREACHABLE: Int = 69
}
