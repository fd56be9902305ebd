package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.daemon.ingress.CallIngress
import org.bulrushtack.daemon.ingress.CompletionIngress
import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerClient

/** The components of the daemon that execute the controllers' actions. */
internal data class ActionHandlers(
    val peers: PeerClient,
    val runner: WorkRunner,
    val completions: CompletionIngress,
    val calls: CallIngress,
    val editor: TreeEditor,
)
