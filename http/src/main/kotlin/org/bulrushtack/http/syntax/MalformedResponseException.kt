package org.bulrushtack.http.syntax

import io.netty.handler.codec.DecoderException

/** A response is malformed; [breach] describes how, on one short line without bytes of the response. */
internal class MalformedResponseException(
    breach: String,
) : DecoderException(breach)
