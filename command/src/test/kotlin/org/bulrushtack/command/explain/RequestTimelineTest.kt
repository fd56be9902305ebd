package org.bulrushtack.command.explain

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class RequestTimelineTest : AnnotationSpec() {
    private val log = """
        vm-2 2026-09-18T14:43:52.100Z INFO  [front] A send finished. request="4c1d" server="i-7" outcome="unknown" reason="no response in time" sends="1" again="true" first_event_millis="null" age_millis="1201"
        vm-2 2026-09-18T14:43:50.900Z INFO  [front] A request was placed. request="4c1d-0" server="i-7" helpers="0" waited_millis="1" predicted_millis="212" left_millis="298" prompt_tokens="5503" version="4"
        vm-3 2026-09-18T14:43:50.950Z INFO  [front] A request was placed. request="4c1d9-0" server="i-7" waited_millis="1"
        vm-2 2026-09-18T14:43:52.300Z WARN  [front] A request could not be placed. request="4c1d-1" kind="overloaded" waited_millis="200"
        vm-2 2026-09-18T14:43:52.301Z INFO  [front] A request finished. request="4c1d" route="guide" how="backend-lost" age_millis="1402" objective_millis="300"
        Exception in thread "main"
    """.trimIndent().lines()

    private fun render(id: String) = RequestTimeline(id).render(log.asSequence().mapNotNull { LogLineParser.parse(it) })

    @Test
    fun `the timeline orders all attempts by time and concludes with the outcome that the caller saw`() {
        val timeline = render("4c1d")

        timeline.filter { it.startsWith("+") } shouldBe
            listOf("+0 ms vm-2 front", "+1200 ms vm-2 front", "+1400 ms vm-2 front", "+1401 ms vm-2 front")
        timeline shouldContain "  server i-7"
        timeline.takeLast(2) shouldBe listOf("it ended: backend-lost, after 1402 ms")
            .let { listOf("  objective_millis 300") + it }
    }

    @Test
    fun `no line is longer than 40 characters`() {
        render("4c1d").maxOf { it.length } shouldBeLessThanOrEqual 40
    }

    @Test
    fun `a request without log lines has an empty timeline`() {
        render("4c1") shouldBe emptyList()
    }
}
