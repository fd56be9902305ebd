package org.bulrushtack.core.placement

/**
 * Work that needs a place on an engine. All times are on the steady clock of the daemon that places it.
 *
 * @property taker the daemon that sends the request
 * @property pauseMillis the longest pause between two events of its answer that counts as in time
 * @property objectiveAtMillis when its first event should reach the caller
 * @property giveUpAtMillis when it is refused if it still has no place
 * @property excluded the ids of servers that have failed it
 * @property spread whether other daemons may place work at this moment that the deciding one doesn't know of; work that
 *   each of them packs by the same rules would meet on the same engines
 */
public data class PlacementRequest(
    val id: String,
    val taker: String,
    val service: String,
    val dataCentre: String,
    val shape: PromptShape,
    val pauseMillis: Long,
    val priority: Int,
    val receivedAtMillis: Long,
    val objectiveAtMillis: Long,
    val giveUpAtMillis: Long,
    val excluded: Set<String> = emptySet(),
    val spread: Boolean = false,
)
