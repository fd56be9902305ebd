package org.bulrushtack.core.testing

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.membership.MemberIdentity
import kotlin.random.Random

/** One daemon's core; while it is paused, events wait for it as they would in its sockets. */
internal class FakeDaemon(
    val identity: MemberIdentity,
    private val clock: FakeClock,
    random: Random,
    private val onAction: (FakeDaemon, Action) -> Unit,
) {
    val blackboard = Blackboard(identity = identity)
    private val loop = ControlLoop(blackboard = blackboard, random = random)
    private val waiting = ArrayDeque<Event>()

    var alive = true
    var cutFromLog = false
    var cutFromPeers = false
    var paused = false
        set(value) {
            field = value
            while (alive && !value && waiting.isNotEmpty()) handle(waiting.removeFirst())
        }

    val name: String get() = identity.name

    fun receive(event: Event) {
        if (!alive) return
        if (paused) waiting.addLast(event) else handle(event)
    }

    private fun handle(event: Event) = loop.handle(event, clock.nowMillis).forEach { onAction(this, it) }
}
