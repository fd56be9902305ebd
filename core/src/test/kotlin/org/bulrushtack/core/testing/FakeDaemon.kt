package org.bulrushtack.core.testing

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.membership.MemberIdentity
import kotlin.random.Random

/** The core of one daemon. While it is paused, its events are queued as they would be in its sockets. */
internal class FakeDaemon(
    val identity: MemberIdentity,
    private val clock: FakeClock,
    random: Random,
    private val onAction: (FakeDaemon, Action) -> Unit,
) {
    val blackboard = Blackboard(identity = identity)
    private val loop = ControlLoop(blackboard = blackboard, random = random)
    private val queuedEvents = ArrayDeque<Event>()

    var alive = true
    var disconnectedFromLog = false
    var disconnectedFromPeers = false
    var paused = false
        set(value) {
            field = value
            while (alive && !value && queuedEvents.isNotEmpty()) handle(queuedEvents.removeFirst())
        }

    val name: String get() = identity.name

    fun receive(event: Event) {
        if (!alive) return
        if (paused) queuedEvents.addLast(event) else handle(event)
    }

    private fun handle(event: Event) = loop.handle(event, clock.nowMillis).forEach { onAction(this, it) }
}
