package org.bulrushtack.core.scaling

import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.ScaleLimits

/**
 * A service whose servers are ordered.
 *
 * @property longestObjectiveMillis the objective of its least urgent prompts, which are the longest
 */
public data class ScaledService(
    val name: String,
    val profile: EngineProfile,
    val limits: ScaleLimits,
    val longestObjectiveMillis: Long,
)
