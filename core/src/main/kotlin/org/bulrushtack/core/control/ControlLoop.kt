package org.bulrushtack.core.control

import org.bulrushtack.core.call.CallController
import org.bulrushtack.core.dispatch.DispatchController
import org.bulrushtack.core.log.AppendController
import org.bulrushtack.core.log.LogController
import org.bulrushtack.core.log.SnapshotController
import org.bulrushtack.core.membership.MembershipController
import org.bulrushtack.core.ownership.OwnershipController
import org.bulrushtack.core.request.CompletionController
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.PowerOfTwoServerSelector
import kotlin.random.Random

/**
 * Makes all decisions of one daemon by passing each event to every controller in a fixed order. It has no clock
 * and no thread of its own: the caller passes in the time and calls it from one thread.
 */
public class ControlLoop(
    private val blackboard: Blackboard,
    random: Random,
) {
    private val directory = BackendServerDirectory(blackboard = blackboard)
    private val selector = PowerOfTwoServerSelector(blackboard = blackboard, directory = directory, random = random)
    private val identifiers = RecordIdentifiers(identity = blackboard.identity)
    private val controllers: List<Controller> = listOf(
        LogController(blackboard = blackboard, random = random),
        MembershipController(blackboard = blackboard, random = random),
        OwnershipController(blackboard = blackboard, directory = directory, identifiers = identifiers),
        DispatchController(blackboard = blackboard, directory = directory),
        CompletionController(blackboard = blackboard, directory = directory, selector = selector, random = random),
        CallController(
            blackboard = blackboard,
            directory = directory,
            selector = selector,
            identifiers = identifiers,
            random = random,
        ),
        SnapshotController(blackboard = blackboard, identifiers = identifiers),
        AppendController(blackboard = blackboard),
    )

    /** Handles [event] at [nowMillis] of the monotonic clock and returns the actions to carry out, in order. */
    public fun handle(event: Event, nowMillis: Long): List<Action> =
        controllers.flatMap { it.handle(event = event, nowMillis = nowMillis) }
}
