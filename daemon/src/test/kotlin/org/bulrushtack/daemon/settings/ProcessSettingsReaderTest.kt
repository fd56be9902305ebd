package org.bulrushtack.daemon.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.http.HostAndPort
import java.io.StringReader

class ProcessSettingsReaderTest : AnnotationSpec() {
    private val validFile = """
        [daemon]
        name = vm-1
        data-centre = a
        [listen]
        http = 127.0.0.1:8080
        peer = 127.0.0.1:8081
        [platform]
        address = 127.0.0.1:9000
    """.trimIndent()

    private fun ini(text: String) = INIConfiguration().apply { read(StringReader(text)) }

    private fun errors(text: String): List<String> =
        ProcessSettingsReader().read("vm.ini", ini(text)).leftOrNull().orEmpty().map { it.toString() }

    @Test
    fun `a file with only the required keys gets defaults for the rest`() {
        val settings = ProcessSettingsReader().read("vm.ini", ini(validFile)).getOrNull()

        settings?.httpListen shouldBe HostAndPort("127.0.0.1", 8080)
        settings?.bodyBytes shouldBe 8_388_608
    }

    @Test
    fun `every error names the file, section, key and the nearest known key`() {
        val text = validFile.replace("name = vm-1", "nam = vm-1").replace("[platform]", "[plattform]") +
            "\n[limits]\nbody-bytes = -5\n"

        errors(text) shouldBe listOf(
            "vm.ini: [daemon] nam: unknown key; the nearest is 'name'",
            "vm.ini: [plattform] : unknown section; the nearest is 'platform'",
            "vm.ini: [daemon] name: is missing: the VM's name",
            "vm.ini: [platform] address: is missing: IP number and port of the platform's service",
            "vm.ini: [limits] body-bytes: '-5' is not a whole number from 1024 to 67108864",
        )
    }

    @Test
    fun `an address must be an IP number and a port`() {
        errors(validFile.replace("127.0.0.1:8080", "localhost:8080")) shouldBe
            listOf("vm.ini: [listen] http: 'localhost:8080' is not an IP number and a port")
        errors(validFile.replace("127.0.0.1:8080", "127.0.0.1:99999")) shouldBe
            listOf("vm.ini: [listen] http: there is no port 99999")
    }
}
