package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread

/** Passes each action of the controllers to the component that executes it. */
internal class ActionExecutor(
    private val control: ControlThread,
    private val platformLog: PlatformLog,
    private val handlers: ActionHandlers,
) {
    private val log = ComponentLog(component = "log")

    /** Executes [action]; runs on the control thread and must not block. */
    fun execute(action: Action) = when (action) {
        is Action.PlatformAction -> executePlatformAction(action)
        is Action.PeerAction -> executePeerAction(action)
        is Action.OwnerAction -> executeOwnerAction(action)
        is Action.CompletionAction -> executeCompletionAction(action)
        is Action.CallAction -> executeCallAction(action)
        is Action.OperatorAction -> executeOperatorAction(action)
    }

    private fun executePlatformAction(action: Action.PlatformAction) = when (action) {
        is Action.AppendRecords -> append(action)
    }

    private fun executePeerAction(action: Action.PeerAction) = when (action) {
        is Action.ReadFromPeer -> handlers.peers.readRecords(action)
        is Action.SendHeartbeat -> handlers.peers.sendHeartbeat(action)
    }

    private fun executeOwnerAction(action: Action.OwnerAction) = when (action) {
        is Action.PollServer -> handlers.runner.poll(action)
        is Action.StartWork -> handlers.runner.start(action)
        is Action.RefuseWork -> handlers.runner.refuse(action)
        is Action.CancelOnServer -> handlers.runner.cancel(action)
    }

    private fun executeCompletionAction(action: Action.CompletionAction) = when (action) {
        is Action.SendAttempt -> handlers.completions.sendAttempt(action)
        is Action.FailRequest -> handlers.completions.fail(action)
    }

    private fun executeCallAction(action: Action.CallAction) = when (action) {
        is Action.SendCall -> handlers.calls.send(action)
        is Action.AnswerCall -> handlers.calls.answer(action)
        is Action.FailCall -> handlers.calls.fail(action)
    }

    private fun executeOperatorAction(action: Action.OperatorAction) = when (action) {
        is Action.EditApplied -> handlers.editor.onEditApplied(action)
        is Action.EditFailed -> handlers.editor.onEditFailed(action)
    }

    private fun append(action: Action.AppendRecords) {
        platformLog.append(action.records).thenAccept { result ->
            log.debug { "Append of ${action.records.size} records: $result." }
            control.post(Event.AppendAnswered(ids = action.records.map { it.id }, result = result))
        }
    }
}
