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

/** A settings file. One with a section `forward` is for a forwarding daemon, any other for an entry daemon. */
class SettingsFile(
    private val path: Path,
) {
    /** Returns the settings, or all errors of the file. */
    fun read(): Either<List<SettingsFileError>, DaemonSettings> = load().flatMap { ini ->
        if (FORWARD_SECTION in ini.sections) {
            ForwardSettingsReader().read(file = "$path", ini = ini).map { DaemonSettings.Forwarding(it) }
        } else {
            ProcessSettingsReader().read(file = "$path", ini = ini).map { DaemonSettings.Entry(it) }
        }
    }

    private fun load(): Either<List<SettingsFileError>, INIConfiguration> = try {
        Files.newBufferedReader(path).use { reader -> uninterpolated().apply { read(reader) } }.right()
    } catch (exception: IOException) {
        listOf(SettingsFileError("$path", "", "", "can't be read: ${exception.message}")).left()
    } catch (exception: ConfigurationException) {
        listOf(SettingsFileError("$path", "", "", "is not INI: ${exception.message}")).left()
    }
}

/** Values are taken as they are written; a reference to another value or to the environment is none. */
private fun uninterpolated() = INIConfiguration().apply { setInterpolator(null) }

private const val FORWARD_SECTION = "forward"
