package org.bulrushtack.core.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class SettingsSchemaTest : AnnotationSpec() {
    private fun path(text: String) = SettingsPath.parse(text).getOrNull()!!

    @Test
    fun `every default is valid for its type`() {
        SettingsSchema.specifications.forEach { it.type.validationError(it.default).shouldBeNull() }
    }

    @Test
    fun `the error for a mistyped key names the nearest valid key`() {
        val error = SettingsSchema.validationError(path("/workspaces/dock"), "max-runing", "1")

        error.shouldNotBeNull() shouldContain "'max-running'"
    }

    @Test
    fun `a value out of range, at a wrong branch or for an inherited secret is invalid`() {
        SettingsSchema.validationError(path("/workspaces/dock"), "max-running", "-1")
            .shouldNotBeNull() shouldContain "between"
        SettingsSchema.validationError(path("/data-centres/a"), "max-running", "5")
            .shouldNotBeNull() shouldContain "no meaning"
        SettingsSchema.validationError(path("/workspaces"), "key-hashes", "")
            .shouldNotBeNull() shouldContain "inherited"
        SettingsSchema.validationError(path("/places/a"), "state", "out")
            .shouldNotBeNull() shouldContain "unknown branch"
    }

    @Test
    fun `a setting resolves to the branch's own value, else the nearest ancestor's, else the default`() {
        val tree = SettingsTree().apply(
            changes = listOf(
                SettingChange(SettingAddress(path("/backend-servers"), "ramp-seconds"), "5", 0),
                SettingChange(SettingAddress(path("/backend-servers/engine-1"), "ramp-seconds"), "9", 0),
            ),
            version = 1,
        )

        tree.resolve(path("/backend-servers/engine-1"), "ramp-seconds").value shouldBe "9"
        tree.resolve(path("/backend-servers/engine-2"), "ramp-seconds").source shouldBe path("/backend-servers")
        tree.resolve(path("/backend-servers/engine-2"), "cold-concurrency").source.shouldBeNull()
        tree.children(path("/backend-servers")) shouldBe listOf("engine-1")
    }

    @Test
    fun `a path with an invalid name is rejected`() {
        SettingsPath.parse("/workspaces/Dock Team").leftOrNull().shouldNotBeNull() shouldContain "Dock Team"
    }
}
