package org.bulrushtack.daemon.life

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerLink
import org.bulrushtack.daemon.taking.CallEdge
import org.bulrushtack.daemon.taking.CompletionEdge

/** Carries out what the controllers decide, each kind at its edge. */
internal class ActionExecutor(
    private val control: ControlThread,
    private val platformLog: PlatformLog,
    private val peers: PeerLink,
    private val runner: WorkRunner,
    private val completions: CompletionEdge,
    private val calls: CallEdge,
    private val editor: TreeEditor,
) {
    private val log = PartLog(part = "log")

    /** Carries out [action]; runs on the control thread and must not block. */
    fun execute(action: Action) = when (action) {
        is Action.AppendRecords -> append(action)
        is Action.ReadFromPeer -> peers.readRecords(action)
        is Action.SendHeartbeat -> peers.sendHeartbeat(action)
        is Action.PollServer -> runner.poll(action)
        is Action.StartWork -> runner.start(action)
        is Action.RefuseWork -> runner.refuse(action)
        is Action.CancelOnServer -> runner.cancel(action)
        is Action.SendAttempt -> completions.sendAttempt(action)
        is Action.FailRequest -> completions.fail(action)
        is Action.SendCall -> calls.send(action)
        is Action.AnswerCall -> calls.answer(action)
        is Action.FailCall -> calls.fail(action)
        is Action.EditFolded -> editor.folded(action)
        is Action.EditFailed -> editor.failed(action)
    }

    private fun append(action: Action.AppendRecords) {
        platformLog.append(action.records).thenAccept { result ->
            log.debug { "Append of ${action.records.size} records: $result." }
            control.post(Event.AppendAnswered(ids = action.records.map { it.id }, result = result))
        }
    }
}
