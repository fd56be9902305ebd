package org.bulrushtack.core.placement

/**
 * A request for a placement on model engines. All times are on the steady clock of the daemon that decides on it.
 *
 * @property ingressDaemon the daemon to which the caller is connected and which sends the request to the engine
 * @property tokenGapMillis the target for the time between two events of its answer
 * @property objectiveAtMillis when its first token should reach the caller
 * @property giveUpAtMillis when it is refused if it still has no placement
 * @property excluded the ids of servers on which it has failed
 * @property spread whether other daemons may place requests at the same time without the knowledge of the deciding one;
 *   if each of them packed requests by the same rules, all would select the same engines
 * @property workspace the name of the caller's workspace, or empty
 * @property kind the name of its route; requests of one kind are compared by size with one another
 */
public data class PlacementRequest(
    val id: String,
    val ingressDaemon: String,
    val service: String,
    val dataCentre: String,
    val shape: PromptShape,
    val tokenGapMillis: Long,
    val priority: Int,
    val receivedAtMillis: Long,
    val objectiveAtMillis: Long,
    val giveUpAtMillis: Long,
    val excluded: Set<String> = emptySet(),
    val spread: Boolean = false,
    val workspace: String = "",
    val kind: String = "",
)
