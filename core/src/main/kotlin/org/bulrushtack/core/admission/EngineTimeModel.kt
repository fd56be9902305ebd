package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.EngineProfile

/** Computes the engine time that requests need on engines of [profile]. */
public class EngineTimeModel(
    private val profile: EngineProfile,
) {
    private val model = EngineModel(profile)

    /** The engine time of a request of [shape]: its prefill, and its share of a full batch while it decodes. */
    public fun millis(shape: PromptShape): Double =
        model.prefillMillis(shape.promptTokens) + model.decodeMillis(shape) / maxOf(1, profile.slots)
}
