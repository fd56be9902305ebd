package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route

class AnswerTimeEstimateTest : AnnotationSpec() {
    private val profile = EngineProfile(
        slots = 11,
        memoryTokens = 315_000,
        stride = 51,
        stepMillis = 0.85,
        requestMillis = 0.0,
        contextMillis = 0.003,
        prefillTokensPerMilli = 177.0,
        attentionMillisPerMillionPairs = 0.184,
        chunkTokens = 2_048,
        hopMillis = 0.05,
        meanAnswerTokens = 1_600,
    )

    private fun route(objectiveMillis: Long) = Route(
        name = "route",
        host = "one.example",
        pathPrefix = "/",
        streamed = true,
        repeatability = Repeatability.RESUMABLE,
        timeoutMillis = 15_000,
        objectiveMillis = objectiveMillis,
        tokenGapMillis = 1_000,
        priority = 1,
        split = emptyList(),
        maximumSends = 2,
        open = false,
    )

    private fun estimate(
        promptTokens: Long,
        answerTokens: Long,
        engines: Int = 18,
        objectiveMillis: Long = 3_000,
    ): Long = AnswerTimeEstimate.ofPrompt(
        route = route(objectiveMillis),
        shape = PromptShape(promptTokens, answerTokens, maximumAnswerTokens = answerTokens),
        profile = profile,
        engines = engines,
    ).let { it.firstEventMillis + it.remainderMillis }

    @Test
    fun `a short prompt takes its objective and the decoding of its answer on a shared engine`() {
        estimate(promptTokens = 5_000, answerTokens = 1_000, objectiveMillis = 300) shouldBeInRange 2_000L..2_500L
    }

    @Test
    fun `a prompt whose prefill exceeds its objective on all engines takes that prefill`() {
        val manyEngines = estimate(promptTokens = 300_000, answerTokens = 16)

        estimate(promptTokens = 300_000, answerTokens = 16, engines = 2) shouldBeGreaterThan manyEngines + 1_500
    }

    @Test
    fun `a longer answer takes longer`() {
        estimate(promptTokens = 5_000, answerTokens = 2_000) shouldBeGreaterThan estimate(5_000, answerTokens = 1_000)
    }

    @Test
    fun `a call takes a few of its objectives`() {
        AnswerTimeEstimate.ofCall(route(objectiveMillis = 120)) shouldBe AnswerTimeEstimate(360, remainderMillis = 0)
    }
}
