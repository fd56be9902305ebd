package org.bulrushtack.daemon.settings

import io.netty.util.NetUtil
import org.bulrushtack.http.HostAndPort

/** An IP number and a port to connect to, or null where none is given. */
internal fun SettingsFileValidator.hostAndPortOrNull(key: SettingsKey): HostAndPort? {
    val text = validated(key) { value ->
        val host = HostAndPort.parse(value)?.host?.removeSurrounding("[", "]")
        if (value.isBlank() || NetUtil.createByteArrayFromIpAddressString(host.orEmpty()) != null) {
            null
        } else {
            "'$value' is not an IP number and a port"
        }
    }
    return HostAndPort.parse(text)
}
