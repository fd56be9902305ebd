package org.bulrushtack.standin.platform

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.platform.standin.StoreFaults
import org.bulrushtack.platform.standin.StoreOptions
import org.bulrushtack.platform.standin.StoreStandIn
import org.bulrushtack.platform.standin.StoreTopics
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInRouter
import org.bulrushtack.standin.StandInTimer

/** Simulates the platform: a store whose topics include the VM list. */
class PlatformStandIn(
    options: StoreOptions,
) {
    private val store = StoreStandIn(
        options = options.copy(laggingTopics = setOf(StoreTopics.VMS)),
        timer = StandInTimer.create(name = "platform"),
    )

    /** Starts its service and control ports. */
    fun start(listen: ListenOptions): StandIn =
        StandIn.start(options = listen, service = store, control = controlRoutes())

    private fun controlRoutes(): StandInRouter = StandInRouter().apply {
        route("POST", "/control/faults") { exchange ->
            store.faults = StandInRouter.mapper.treeToValue(StandInRouter.body(exchange), StoreFaults::class.java)
            exchange.respond(StandInRouter.json(status = 200, value = store.faults))
        }
        route("POST", "/control/vms") { exchange ->
            val row = StandInRouter.body(exchange) as ObjectNode
            val value = StandInRouter.mapper.writeValueAsBytes(row)
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
        val message = StandInRouter.mapper.createObjectNode()
        message.putArray("vms").addAll(store.topics.values(StoreTopics.VMS).map { StandInRouter.mapper.readTree(it) })
        exchange.respond(StandInRouter.json(status = 200, value = message))
    }
}
