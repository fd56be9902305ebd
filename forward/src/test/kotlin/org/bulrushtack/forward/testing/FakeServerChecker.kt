package org.bulrushtack.forward.testing

import org.bulrushtack.forward.quarantine.ServerCheck
import org.bulrushtack.forward.quarantine.ServerChecker

/** Answers checks of servers after a while with what [results] holds for the address. */
internal class FakeServerChecker(
    private val time: FakeTime,
) : ServerChecker {
    /** The results by address; a server without one responds and doesn't tell its start. */
    val results = HashMap<String, ServerCheck>()

    /** The addresses that were asked, in order. */
    val asked = mutableListOf<String>()

    override fun check(address: String, onChecked: (ServerCheck) -> Unit) {
        asked.add(address)
        time.thread.schedule(CHECK_MILLIS) { onChecked(results[address] ?: ServerCheck.Responded(null)) }
    }

    companion object {
        const val CHECK_MILLIS = 20L
    }
}
