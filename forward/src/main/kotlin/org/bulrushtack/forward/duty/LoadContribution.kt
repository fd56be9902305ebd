package org.bulrushtack.forward.duty

import org.bulrushtack.protocol.LoadReport

/** Adds what a component has counted to the reports for the daemon that holds the duties, and reads those of others. */
internal interface LoadContribution {
    /** Adds the counts of this daemon to [report]. */
    fun addTo(report: LoadReport.Builder)

    /** Takes the counts of a daemon, which may be this one; called only where the duties are held. */
    fun receive(report: LoadReport, nowMillis: Long)
}
