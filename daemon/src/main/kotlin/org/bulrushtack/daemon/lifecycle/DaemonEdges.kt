package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.daemon.ingress.CallEdge
import org.bulrushtack.daemon.ingress.CompletionEdge
import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerLink

/** The parts of the daemon that carry decisions out. */
internal data class DaemonEdges(
    val peers: PeerLink,
    val runner: WorkRunner,
    val completions: CompletionEdge,
    val calls: CallEdge,
    val editor: TreeEditor,
)
