package org.bulrushtack.backend

import com.fasterxml.jackson.databind.JsonNode

/** The integer [name], which is 0 or above; an error if it is missing or anything else. */
internal fun JsonNode.requireCount(name: String): Long =
    requireNotNull(get(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() && it.longValue() >= 0 }) {
        "'$name' is not a count"
    }.longValue()

/** The boolean [name]; an error if it is missing or anything else. */
internal fun JsonNode.requireFlag(name: String): Boolean =
    requireNotNull(get(name)?.takeIf { it.isBoolean }) { "'$name' is not a boolean" }.booleanValue()
