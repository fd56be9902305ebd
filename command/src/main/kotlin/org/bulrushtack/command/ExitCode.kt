package org.bulrushtack.command

/** The exit codes of the program; 64 stands for wrong use. */
internal object ExitCode {
    /** The system refused, or the file has faults. */
    const val REFUSED: Int = 1

    /** No daemon answered. */
    const val UNREACHABLE: Int = 69
}
