package org.bulrushtack.standin.platform

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.platform.standin.StoreFaults
import org.bulrushtack.platform.standin.StoreOptions
import org.bulrushtack.platform.standin.StoreStandIn
import org.bulrushtack.platform.standin.StoreTopics
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import org.bulrushtack.standin.StandInTimer

/** Stands in for the platform: its store, in which VMs register themselves. */
class PlatformStandIn(
    options: StoreOptions,
) {
    private val store = StoreStandIn(
        options = options.copy(laggingTopics = setOf(StoreTopics.VMS)),
        timer = StandInTimer.create(name = "platform"),
    )

    /** Opens its ports. */
    fun start(listen: ListenOptions): StandIn =
        StandIn.start(options = listen, service = store, control = controlRoutes())

    private fun controlRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            store.faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), StoreFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = store.faults))
        }
        route("POST", "/control/vms") { exchange ->
            val row = StandInServer.body(exchange) as ObjectNode
            val value = StandInServer.mapper.writeValueAsBytes(row)
            store.topics.put(topic = StoreTopics.VMS, key = row["name"].asText(), value = value)
            respondVms(exchange)
        }
        route("DELETE", "/control/vms/") { exchange ->
            val name = exchange.request.path.substringAfterLast('/')
            store.topics.put(topic = StoreTopics.VMS, key = name, value = ByteArray(0))
            respondVms(exchange)
        }
    }

    private fun respondVms(exchange: HttpExchange) {
        val message = StandInServer.mapper.createObjectNode()
        message.putArray("vms").addAll(store.topics.values(StoreTopics.VMS).map { StandInServer.mapper.readTree(it) })
        exchange.respond(StandInServer.json(status = 200, value = message))
    }
}
