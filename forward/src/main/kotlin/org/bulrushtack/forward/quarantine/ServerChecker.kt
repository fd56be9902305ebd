package org.bulrushtack.forward.quarantine

/** Asks backend servers whether they still run. */
internal fun interface ServerChecker {
    /** Asks the server at [address] and passes the result to [onChecked]. */
    fun check(address: String, onChecked: (ServerCheck) -> Unit)
}
