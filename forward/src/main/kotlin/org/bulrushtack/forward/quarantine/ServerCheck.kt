package org.bulrushtack.forward.quarantine

/** The result of asking a backend server whether it still runs. */
internal sealed interface ServerCheck {
    /** A server responds at the address; [startedAtMillis] is its start in Unix milliseconds, null if it is unknown. */
    data class Responded(val startedAtMillis: Long?) : ServerCheck

    /** Nothing listens at the address any more. */
    data object Refused : ServerCheck

    /** No usable response arrived, as from a machine without power or a server that has too many connections. */
    data object Unanswered : ServerCheck
}
