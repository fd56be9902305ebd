package org.bulrushtack.core.quarantine

/**
 * Prompt parts under which servers crashed. Usually one; several while they only came together, so that nothing tells
 * which of them it is. A request is affected if it contains all of them.
 *
 * @property parts the ids of the parts
 * @property crashes how many servers crashed under them
 * @property untilMillis when requests with them are admitted again
 */
public data class QuarantinedGroup(
    val parts: Set<String>,
    val crashes: Int,
    val untilMillis: Long,
)
