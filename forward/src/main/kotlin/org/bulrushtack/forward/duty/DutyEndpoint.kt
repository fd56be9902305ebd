package org.bulrushtack.forward.duty

import org.bulrushtack.forward.wire.DutyCodec

/**
 * Where duty calls go and how they are written.
 *
 * @property address sends the calls
 * @property codec writes the calls
 */
internal class DutyEndpoint(
    val address: DutyAddress,
    val codec: DutyCodec,
)
