package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread

/** Carries out what the controllers decide, each kind at its edge. */
internal class ActionExecutor(
    private val control: ControlThread,
    private val platformLog: PlatformLog,
    private val edges: DaemonEdges,
) {
    private val log = PartLog(part = "log")

    /** Carries out [action]; runs on the control thread and must not block. */
    fun execute(action: Action) = when (action) {
        is Action.PlatformAction -> platform(action)
        is Action.PeerAction -> peer(action)
        is Action.OwnerAction -> owner(action)
        is Action.CompletionAction -> completion(action)
        is Action.CallAction -> call(action)
        is Action.OperatorAction -> operator(action)
    }

    private fun platform(action: Action.PlatformAction) = when (action) {
        is Action.AppendRecords -> append(action)
    }

    private fun peer(action: Action.PeerAction) = when (action) {
        is Action.ReadFromPeer -> edges.peers.readRecords(action)
        is Action.SendHeartbeat -> edges.peers.sendHeartbeat(action)
    }

    private fun owner(action: Action.OwnerAction) = when (action) {
        is Action.PollServer -> edges.runner.poll(action)
        is Action.StartWork -> edges.runner.start(action)
        is Action.RefuseWork -> edges.runner.refuse(action)
        is Action.CancelOnServer -> edges.runner.cancel(action)
    }

    private fun completion(action: Action.CompletionAction) = when (action) {
        is Action.SendAttempt -> edges.completions.sendAttempt(action)
        is Action.FailRequest -> edges.completions.fail(action)
    }

    private fun call(action: Action.CallAction) = when (action) {
        is Action.SendCall -> edges.calls.send(action)
        is Action.AnswerCall -> edges.calls.answer(action)
        is Action.FailCall -> edges.calls.fail(action)
    }

    private fun operator(action: Action.OperatorAction) = when (action) {
        is Action.EditApplied -> edges.editor.folded(action)
        is Action.EditFailed -> edges.editor.failed(action)
    }

    private fun append(action: Action.AppendRecords) {
        platformLog.append(action.records).thenAccept { result ->
            log.debug { "Append of ${action.records.size} records: $result." }
            control.post(Event.AppendAnswered(ids = action.records.map { it.id }, result = result))
        }
    }
}
