package org.bulrushtack.core.route

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class RoutingTableTest : AnnotationSpec() {
    private val testSubject = RoutingTable(
        RoutingConfiguration(
            version = 3,
            routes = listOf(route("wide", "/a/"), route("narrow", "/a/b/"), route("root", "/", host = "other.example")),
            services = emptyList(),
            limits = CallerLimits(),
            workspaces = listOf(Workspace(name = "dock", keys = listOf("old", "new"), priority = 0)),
        ),
    )

    private fun route(name: String, prefix: String, host: String = "one.example") = Route(
        name = name,
        host = host,
        pathPrefix = prefix,
        streamed = false,
        repeatability = Repeatability.ONCE,
        timeoutMillis = 800,
        objectiveMillis = 100,
        tokenGapMillis = null,
        priority = 1,
        split = listOf(WeightedService("first", 90), WeightedService("second", 10)),
        maximumSends = 1,
        open = false,
    )

    @Test
    fun `the route with the longest matching path prefix is selected`() {
        testSubject.route("one.example", "/a/b/c")?.name shouldBe "narrow"
        testSubject.route("one.example", "/a/bc")?.name shouldBe "wide"
        testSubject.route("one.example", "/a/")?.name shouldBe "wide"
    }

    @Test
    fun `a path without a matching prefix has no route`() {
        testSubject.route("one.example", "/a") shouldBe null
        testSubject.route("one.example", "/b/a/") shouldBe null
        testSubject.route("unknown.example", "/a/") shouldBe null
    }

    @Test
    fun `a host matches regardless of case and port`() {
        testSubject.route("OTHER.example:8080", "/x")?.name shouldBe "root"
    }

    @Test
    fun `services are selected by weight`() {
        val route = checkNotNull(testSubject.route("one.example", "/a/"))

        route.service(point = 0.0) shouldBe "first"
        route.service(point = 0.89) shouldBe "first"
        route.service(point = 0.91) shouldBe "second"
        route.service(point = 0.9999) shouldBe "second"
    }

    @Test
    fun `each key of a workspace identifies it, and no other key does`() {
        testSubject.workspace("old")?.name shouldBe "dock"
        testSubject.workspace("new")?.name shouldBe "dock"
        testSubject.workspace("") shouldBe null
    }
}
