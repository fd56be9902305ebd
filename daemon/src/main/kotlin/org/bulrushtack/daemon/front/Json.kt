package org.bulrushtack.daemon.front

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.http.HttpMessageResponse

/** JSON encoding and decoding for callers and operators; unknown properties are ignored. */
internal object Json {
    val mapper: ObjectMapper = jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)

    /** A response with [value] as its JSON body. */
    fun response(status: Int, value: Any): HttpMessageResponse =
        HttpMessageResponse(status = status, body = mapper.writeValueAsBytes(value))
}
