package org.bulrushtack.daemon.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A settings file; its section `forward` tells which kind of daemon it is for. */
class SettingsFile(
    private val path: Path,
) {
    /** The settings, or every fault of the file. */
    fun read(): Either<List<SettingsFault>, DaemonSettings> = load().flatMap { ini ->
        if (FORWARD_SECTION in ini.sections) {
            ForwardSettingsReader().read(file = "$path", ini = ini).map { DaemonSettings.Forwarding(it) }
        } else {
            ProcessSettingsReader().read(file = "$path", ini = ini).map { DaemonSettings.Entry(it) }
        }
    }

    private fun load(): Either<List<SettingsFault>, INIConfiguration> = try {
        Files.newBufferedReader(path).use { reader -> INIConfiguration().apply { read(reader) } }.right()
    } catch (exception: IOException) {
        listOf(SettingsFault("$path", "", "", "can't be read: ${exception.message}")).left()
    } catch (exception: ConfigurationException) {
        listOf(SettingsFault("$path", "", "", "is not INI: ${exception.message}")).left()
    }
}

private const val FORWARD_SECTION = "forward"
