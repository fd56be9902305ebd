package org.bulrushtack.forward.life

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.forward.SystemMonotonicClock

/** The clocks of a process. */
internal object SystemClocks {
    /** The steady clock that all parts share. */
    val monotonic: MonotonicClock = SystemMonotonicClock()
}
