package org.bulrushtack.forward.duty

import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import kotlin.random.Random

/**
 * What all components of duties use.
 *
 * @property timeOfDayMillis the wall clock, in Unix milliseconds
 */
internal data class DutyEnvironment(
    val thread: ForwardThread,
    val timeOfDayMillis: () -> Long,
    val random: Random,
    val log: EventLog,
)
