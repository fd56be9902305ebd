package org.bulrushtack.daemon.life

import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerLink
import org.bulrushtack.daemon.taking.CallEdge
import org.bulrushtack.daemon.taking.CompletionEdge

/** The parts of the daemon that carry decisions out. */
internal data class DaemonEdges(
    val peers: PeerLink,
    val runner: WorkRunner,
    val completions: CompletionEdge,
    val calls: CallEdge,
    val editor: TreeEditor,
)
