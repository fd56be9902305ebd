package org.bulrushtack.core.testing

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/**
 * One prompt of a simulated load.
 *
 * @property objectiveMillis the time to its first event that counts as in time
 * @property pauseMillis the longest pause between its events that counts as in time
 * @property worth what it earns in time; late it earns a quarter
 */
internal data class FakePrompt(
    val id: String,
    val kind: String,
    val arrivesAtMillis: Long,
    val promptTokens: Long,
    val events: Int,
    val objectiveMillis: Long,
    val pauseMillis: Long,
    val worth: Double,
) {
    fun request(nowMillis: Long) = PlacementRequest(
        id = id,
        taker = "vm-1",
        service = SERVICE,
        dataCentre = "a",
        shape = PromptShape(promptTokens, events * EVENT_TOKENS, events * EVENT_TOKENS),
        pauseMillis = pauseMillis,
        priority = 1,
        receivedAtMillis = nowMillis,
        objectiveAtMillis = arrivesAtMillis + objectiveMillis,
        giveUpAtMillis = arrivesAtMillis + maxOf(1_000, 2 * objectiveMillis),
    )

    companion object {
        const val SERVICE = "guide"
        const val EVENT_TOKENS = 51L
    }
}
